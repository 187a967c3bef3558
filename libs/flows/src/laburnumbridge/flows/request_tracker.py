"""What the upstream of one flow is doing: waiting for a request, receiving one or running one."""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING

from laburnumbridge.flows.flow_packet import MAX_DATA_BYTES
from laburnumbridge.flows.receive_window import ReceiveWindow

if TYPE_CHECKING:
    from laburnumbridge.flows.flow_packet import FlowPacket

REQUEST_PENDING_S = 0.25
"""An open flow counts as busy for this time while its first request is due. The client sends the
request with its next packet, and one round trip is 4 ms."""
MIN_GAP_S = 0.01
"""Shortest pause that ends a request whose last packet is full: two round trips between a client
and an upstream of one region."""
MAX_GAP_S = 0.25
"""Longest pause within a request, unless packets are missing. A client repeats a lost packet after
0.2 s."""
GAP_ROUND_TRIPS = 2.0
"""Pauses within a request last a round trip, in which the client waits for acknowledgements."""
SAME_WRITE_S = 0.005
"""Clients send some requests in several short packets, which arrive within a millisecond. Data that
follows an unanswered request sooner than this belongs to it, unless the client pipelines."""
UPSTREAM_TURN_S = 0.005
"""The upstream is on this VM. If it has sent nothing for this time after the client acknowledged
everything, its answer is complete."""
USUAL_TIMES_PER_REQUEST = 4.0
"""A request that may be answered counts as running for this multiple of the usual time."""


class RequestPhase(Enum):
    """What a flow asks of its upstream."""

    IDLE = 1
    EXPECTED = 2
    """The first request is due."""
    ARRIVING = 3
    """The client is still sending a request, which takes no slot yet."""
    RUNNING = 4
    """A complete request has no answer yet."""


class RequestTracker:
    """Tells from sizes, order and pauses of packets whether a flow's request arrives or runs.

    It answers large uploads over slow links: a request of 80 KB arrives for 0.1 s to several
    seconds and then runs for milliseconds. A full packet announces more, a shorter one ends the
    request once nothing before it is missing. A request whose last packet is full ends after a
    pause of two round trips. Two requests that arrive together look like one in two parts; an
    answer that nothing seems to have asked for shows that the client pipelines, and from then on
    each part counts. Other wrong guesses count an idle flow as running, for a bounded time, so that
    they cost a wait and give no slot twice.

    All times are monotonic seconds. ``running_since`` is the arrival of the last byte of the
    request that runs.
    """

    __slots__ = (
        "_answer_data",
        "_caught_up_at",
        "_gap_s",
        "_has_leftover",
        "_is_answer_open",
        "_is_ended_by_pause",
        "_is_next_arriving",
        "_is_pipelining",
        "_is_rest_ignored",
        "_last_answer_data_at",
        "_last_request_data_at",
        "_opened_at",
        "_opening_answered_at",
        "_request_data",
        "_unanswered",
        "phase",
        "requests",
        "running_since",
    )

    def __init__(self, *, now: float) -> None:
        self.phase = RequestPhase.EXPECTED
        self.running_since: float | None = None
        self.requests = 0
        self._opened_at = now
        self._opening_answered_at: float | None = None
        self._request_data = ReceiveWindow()
        self._answer_data = ReceiveWindow()
        self._unanswered = 0
        self._is_answer_open = False
        self._is_rest_ignored = False
        self._is_ended_by_pause = False
        self._is_pipelining = False
        self._is_next_arriving = False
        self._has_leftover = False
        self._caught_up_at: float | None = None
        self._last_request_data_at = now
        self._last_answer_data_at = -math.inf
        self._gap_s = MIN_GAP_S

    def on_opening_answer(self, packet: FlowPacket, now: float) -> None:
        """Note the upstream's answer to the opening packet."""
        self._opening_answered_at = now
        self._request_data.acknowledge(packet.acknowledged)
        self._answer_data.acknowledge(packet.sequence + 1)

    def on_opened(self, now: float) -> None:
        """Note the client's first packet after the opening answer, which shows the round trip."""
        if self._opening_answered_at is not None:
            self._note_pause(now - self._opening_answered_at)

    def on_client_packet(self, packet: FlowPacket, now: float) -> None:
        """Follow a packet from the client."""
        # The client has parts of answers that this process has not seen, or seen in another order.
        self._answer_data.acknowledge(packet.acknowledged)
        if packet.data_length and self._request_data.add(packet.sequence, packet.data_length):
            self._on_request_data(packet, now)
        elif packet.acknowledged == self._answer_data.end and self._caught_up_at is None:
            self._caught_up_at = now
        if packet.is_final and self.phase is RequestPhase.ARRIVING:
            self._complete(now, is_by_pause=False)

    def _on_request_data(self, packet: FlowPacket, now: float) -> None:
        has_whole_answer = packet.acknowledged == self._answer_data.end
        if has_whole_answer or now - self._last_request_data_at > self._gap_s:
            self._is_rest_ignored = False
        if self.phase is RequestPhase.RUNNING and self._continues_request(now):
            self.phase = RequestPhase.ARRIVING
            self._unanswered -= 1
        elif self.phase is RequestPhase.RUNNING:
            self._is_next_arriving = True
        if self.phase is RequestPhase.ARRIVING:
            self._note_pause(now - self._last_request_data_at)
        elif self.phase in (RequestPhase.IDLE, RequestPhase.EXPECTED):
            self._begin(now)
        self._last_request_data_at = now
        if self._request_data.ends_below(MAX_DATA_BYTES):
            self._complete(now, is_by_pause=False)

    def _continues_request(self, now: float) -> bool:
        """Return whether data belongs to the request that seemed to be complete."""
        if self._is_ended_by_pause:
            return True
        if self._is_pipelining or self._is_next_arriving or self._has_leftover:
            return False
        return now - self._last_request_data_at <= SAME_WRITE_S

    def _begin(self, now: float) -> None:
        if self._caught_up_at is not None and now - self._caught_up_at >= UPSTREAM_TURN_S:
            self._is_answer_open = False
        if not self._is_rest_ignored:
            self.requests += 1
            self.phase = RequestPhase.ARRIVING

    def _complete(self, now: float, *, is_by_pause: bool) -> None:
        if self._is_rest_ignored:
            self._is_rest_ignored = False
            return
        self._unanswered += 1
        self._is_next_arriving = False
        self._is_ended_by_pause = is_by_pause
        if self.phase is not RequestPhase.RUNNING:
            self.running_since = self._last_request_data_at if is_by_pause else now
        self.phase = RequestPhase.RUNNING

    def _note_pause(self, seconds: float) -> None:
        self._gap_s = min(max(self._gap_s, GAP_ROUND_TRIPS * seconds), MAX_GAP_S)

    def on_upstream_packet(self, packet: FlowPacket, now: float) -> float | None:
        """Follow a packet from the upstream.

        Returns the seconds from the request's last byte to the answer if this packet is the first
        one of an answer, else None.
        """
        self._request_data.acknowledge(packet.acknowledged)
        is_new = packet.data_length and self._answer_data.add(packet.sequence, packet.data_length)
        if not is_new:
            return None
        self._caught_up_at = None
        self._last_answer_data_at = now
        is_first = not self._is_answer_open
        if is_first and self.phase is RequestPhase.IDLE and self.requests:
            self._is_pipelining = True
        self._is_answer_open = not self._answer_data.ends_below(MAX_DATA_BYTES)
        return self._on_answer(now) if is_first else None

    def _on_answer(self, now: float) -> float | None:
        if self.phase not in (RequestPhase.ARRIVING, RequestPhase.RUNNING):
            return None
        since = self.running_since
        if self.phase is RequestPhase.ARRIVING:
            # What the client may still send belongs to the request that this answers.
            self._is_rest_ignored = True
            since = self._last_request_data_at
            self._unanswered = 1
        self._unanswered -= 1
        self._has_leftover = self._unanswered > 0
        self.running_since = now if self._has_leftover else None
        if self._has_leftover:
            self.phase = RequestPhase.RUNNING
        else:
            self.phase = RequestPhase.ARRIVING if self._is_next_arriving else RequestPhase.IDLE
        return None if since is None else now - since

    def end(self) -> None:
        """Note that the flow asks for nothing more, because it closed or the upstream finished."""
        self.phase = RequestPhase.IDLE
        self._unanswered = 0
        self._is_next_arriving = False
        self._has_leftover = False
        self.running_since = None

    def settle(self, now: float, *, usual_s: float) -> None:
        """Apply what a pause shows; ``usual_s`` is the upstream's usual time for a request."""
        if self.phase is RequestPhase.EXPECTED:
            if now - self._opened_at > REQUEST_PENDING_S:
                self.phase = RequestPhase.IDLE
        elif self.phase is RequestPhase.ARRIVING:
            pause_s = now - self._last_request_data_at
            if not self._request_data.has_gap and pause_s > self._gap_s:
                self._complete(now, is_by_pause=True)
        elif self._may_be_answered:
            limit_s = max(REQUEST_PENDING_S, USUAL_TIMES_PER_REQUEST * usual_s)
            if now - self._last_answer_data_at > limit_s:
                self.end()

    @property
    def _may_be_answered(self) -> bool:
        """True if the upstream has sent data since the last request, but no answer was recognized.

        What looked like a pipelined request may have been a later part of an answered one, and an
        answer after one whose last packet was full looks like a continuation of that.
        """
        is_running = self.phase is RequestPhase.RUNNING
        return is_running and self._last_answer_data_at >= self._last_request_data_at
