"""Until when an opening packet that waits for a slot is of use to its client."""

from __future__ import annotations

import msgspec

MAX_WAIT_S = 1.2
"""An opening packet that waited this long is refused: the client gives up after 1.4 s, so it has
0.2 s left to try again."""
SENT_AFTER_S_BY_COPY = (0.0, 0.2, 0.6)
"""When a client sends its opening packet and the copies of it, in seconds after the first."""
ANSWER_TRAVEL_S = 0.02
"""Time from the start of a request at the upstream to its answer at the client, beside the work: a
handshake, the request and the answer, at 3 ms one way."""


class OpeningDeadline(msgspec.Struct, frozen=True, kw_only=True):
    """Monotonic times of one opening packet.

    ``since`` is when its client sent the first copy, ``start_by`` the latest start of the request
    whose answer is still in time. ``target_by`` is the latest start for an answer within the
    route's target latency, ``start_by`` where the route has none.
    """

    since: float
    start_by: float
    target_by: float

    @classmethod
    def of_copy(
        cls,
        copy_number: int,
        now: float,
        *,
        timeout_s: float,
        usual_answer_s: float,
        target_s: float = 0.0,
        expected_answer_s: float = 0.0,
    ) -> OpeningDeadline:
        """Return the times of a copy that arrives now.

        ``timeout_s`` is the route's time-out and ``target_s`` its target latency, 0 if it has none;
        ``usual_answer_s`` is the time that the upstream usually takes, ``expected_answer_s`` that
        from handing this opening to it until its answer.
        """
        since = now - SENT_AFTER_S_BY_COPY[min(copy_number, len(SENT_AFTER_S_BY_COPY) - 1)]
        wait_s = MAX_WAIT_S
        if timeout_s:
            wait_s = min(wait_s, timeout_s - usual_answer_s - ANSWER_TRAVEL_S)
        target_wait_s = wait_s
        if target_s:
            target_wait_s = min(wait_s, target_s - expected_answer_s - ANSWER_TRAVEL_S)
        return cls(since=since, start_by=since + wait_s, target_by=since + target_wait_s)
