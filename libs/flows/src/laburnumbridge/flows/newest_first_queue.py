"""The queue of openings for routes without a target latency."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from laburnumbridge.flows.opening_queue import DisplacedOpening
from laburnumbridge.flows.opening_queue import OpeningQueue

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.flows.opening_queue import WaitingOpening

T = TypeVar("T")


class NewestFirstQueue(OpeningQueue[T]):
    """Queues opening packets and returns the newest first.

    After an outage the requests of a second arrive at once and take several seconds to run. In
    order of arrival every request would be late until the backlog is gone. With the newest first,
    new requests are still on time, and the older ones, already late, run in between. Packets
    whose turn can't come in time leave the queue at once, so that their clients needn't wait for
    nothing. Beyond ``limit`` packets the oldest is dropped.

    ``usual_work_s`` returns the seconds that a request usually takes. Work before the first opening
    isn't counted.
    """

    def __init__(self, *, limit: int, usual_work_s: Callable[[], float]) -> None:
        super().__init__()
        self._limit = limit
        self._usual_work_s = usual_work_s

    def put(self, waiting: WaitingOpening[T]) -> DisplacedOpening[T] | None:
        """Add a packet; return the oldest if the queue was full, or None."""
        self._by_flow[waiting.flow] = waiting
        if len(self._by_flow) <= self._limit:
            return None
        oldest = self._by_flow.pop(next(iter(self._by_flow)))
        return DisplacedOpening(waiting=oldest, reason="queue_full")

    def pop_next(self, now: float, *, slots: int, backlog_s: float) -> WaitingOpening[T] | None:
        """Remove and return the packet added last, or None if the queue is empty."""
        if not self._by_flow:
            return None
        return self._by_flow.popitem()[1]

    def expire(self, now: float, *, slots: int, backlog_s: float) -> list[WaitingOpening[T]]:
        """Remove and return the packets that can't start in time, the newest first.

        A packet starts after all that are newer, so its turn comes that many times the usual work,
        divided by the slots, from now, or later.
        """
        start_interval_s = self._usual_work_s() / slots if slots else 0.0
        late = []
        starts_at = now
        for waiting in reversed(list(self._by_flow.values())):
            if starts_at > waiting.deadline.start_by:
                late.append(waiting)
                del self._by_flow[waiting.flow]
            else:
                starts_at += start_interval_s
        return late

    def has_overdue(self, now: float) -> bool:
        """Return False: the routes have no target latency."""
        return False
