"""Connection tracking for the flows of one upstream."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from laburnumbridge.flows.flow_packet import SEQUENCE_MODULUS
from laburnumbridge.flows.flow_packet import sequence_distance

if TYPE_CHECKING:
    from laburnumbridge.flows.flow_packet import FlowKey
    from laburnumbridge.flows.flow_packet import FlowPacket
    from laburnumbridge.flows.outlier_detector import OutlierDetector

HALF_OPEN_S = 1.5
"""A client abandons an unanswered opening after 1.4 s."""
CLOSED_S = 4.0
"""A closed flow is tracked for the retransmissions of the last packet, 0.2 + 0.4 + 0.8 + 1.6 s, and
a margin."""
REQUEST_PENDING_S = 0.25
"""An open flow counts as busy for this time while its first request is due. The client sends the
request with its next packet, and one round trip is 4 ms."""
ANSWER_TIMES_LIMIT = 1_024
"""Answer times kept between two collections. They are collected twice a second, and an upstream
answers at most some 200 requests in that time."""
OPEN_WINDOW_BYTES = 76_800
"""An acknowledgement at most this far after the upstream's first sequence number confirms that the
client chose this upstream."""


class FlowState(Enum):
    """The state of a tracked flow."""

    HALF_OPEN = 1
    OPEN = 2
    CLOSED = 3


@dataclass(kw_only=True, slots=True)
class TrackedFlow:
    """The record of one flow; times are monotonic seconds.

    ``upstream_sequence`` is the upstream's first sequence number, or None for a flow whose opening
    this process has not received. ``request_since`` is the arrival time of the request that the
    upstream is working on, or None between requests; ``has_waited`` is set if all slots were
    taken at that time.
    """

    state: FlowState
    opened_at: float
    last_seen: float
    upstream_sequence: int | None = None
    client_sequence: int | None = None
    client_acknowledged: int = 0
    request_since: float | None = None
    has_waited: bool = False
    answered_since_request: bool = True
    client_finished: bool = False
    upstream_finished: bool = False
    requests: int = 0


class FlowTracker:
    """Tracks the flows of one upstream from the packets between it and its clients.

    Provides the open flows and the number of requests that the upstream is working on, and reports
    answers and resets to ``outlier_detector``. Keeps at most ``limit`` records; idle and old flows
    expire. ``slots`` is the number of requests that the upstream runs at once, 0 until it is
    known.
    """

    def __init__(
        self, *, limit: int, idle_s: float, max_age_s: float, outlier_detector: OutlierDetector
    ) -> None:
        self._limit = limit
        self._outlier_detector = outlier_detector
        self.slots = 0
        self.idle_s = idle_s
        self._max_age_s = max_age_s
        self._by_flow: dict[FlowKey, TrackedFlow] = {}
        self._busy: set[FlowKey] = set()
        self._open = 0
        self.answer_seconds: list[float] = []

    def __len__(self) -> int:
        return len(self._by_flow)

    @property
    def open_flows(self) -> int:
        """Number of flows in state OPEN."""
        return self._open

    @property
    def busy(self) -> int:
        """Number of requests in progress and of flows about to send their first request."""
        return len(self._busy)

    def opened_at_by_flow(self) -> dict[FlowKey, float]:
        """Return the opening time of each open flow, in monotonic seconds."""
        return {
            flow: record.opened_at
            for flow, record in self._by_flow.items()
            if record.state is FlowState.OPEN
        }

    def get(self, flow: FlowKey) -> TrackedFlow | None:
        """Return the record of ``flow``, or None if it isn't tracked."""
        return self._by_flow.get(flow)

    def track_opening(self, flow: FlowKey, now: float) -> None:
        """Track an opening packet passed to the upstream; the flow counts as busy from then on."""
        if flow not in self._by_flow and len(self._by_flow) < self._limit:
            self._by_flow[flow] = TrackedFlow(
                state=FlowState.HALF_OPEN, opened_at=now, last_seen=now, request_since=now
            )
            self._busy.add(flow)

    def track_client_packet(self, packet: FlowPacket, now: float) -> bool:
        """Track a packet other than an opening one; return whether the flow is tracked.

        A half-open flow whose packet acknowledges another upstream's answer is dropped, since the
        client chose that upstream.
        """
        record = self._by_flow.get(packet.flow)
        if record is None:
            return False
        if record.state is FlowState.HALF_OPEN:
            if record.upstream_sequence is None or (
                sequence_distance(record.upstream_sequence, packet.acknowledged) > OPEN_WINDOW_BYTES
            ):
                self.forget(packet.flow)
                return False
            record.state = FlowState.OPEN
            self._open += 1
        record.last_seen = now
        record.client_acknowledged = packet.acknowledged
        if packet.is_reset:
            self._close(packet.flow, record)
            return True
        if packet.data_length:
            self._track_request(packet, record, now)
        if packet.is_final:
            record.client_finished = True
            self._finish(packet.flow, record)
        return True

    def _track_request(self, packet: FlowPacket, record: TrackedFlow, now: float) -> None:
        end = packet.sequence + packet.data_length
        last_end = record.client_sequence
        if (
            last_end is not None
            and not 0 < sequence_distance(last_end, end) <= SEQUENCE_MODULUS // 2
        ):
            return  # a retransmission
        record.client_sequence = end % SEQUENCE_MODULUS
        if record.answered_since_request:
            record.answered_since_request = False
            record.requests += 1
            record.request_since = now
            other_busy = len(self._busy) - (packet.flow in self._busy)
            record.has_waited = other_busy >= self.slots
        self._busy.add(packet.flow)

    def track_upstream_packet(self, packet: FlowPacket, now: float) -> bool:
        """Track a packet from the upstream; return whether it reveals a flow not tracked before."""
        record = self._by_flow.get(packet.flow)
        if packet.is_opening_answer:
            self.track_opening(packet.flow, now)
            record = self._by_flow.get(packet.flow)
            if record is not None and record.state is FlowState.HALF_OPEN:
                record.upstream_sequence = packet.sequence
            return False
        discovered = record is None and not packet.is_reset
        if record is None:
            if packet.is_reset or len(self._by_flow) >= self._limit:
                return False
            record = TrackedFlow(state=FlowState.OPEN, opened_at=now, last_seen=now)
            self._by_flow[packet.flow] = record
            self._open += 1
        record.last_seen = now
        if packet.is_reset:
            if record.state is FlowState.OPEN and not record.answered_since_request:
                self._outlier_detector.on_reset(now)
            self._close(packet.flow, record)
            return False
        if packet.data_length and not record.answered_since_request:
            self._on_answer(packet.flow, record, now)
        if packet.is_final:
            record.upstream_finished = True
            self._busy.discard(packet.flow)
            self._finish(packet.flow, record)
        return discovered

    def _on_answer(self, flow: FlowKey, record: TrackedFlow, now: float) -> None:
        record.answered_since_request = True
        self._busy.discard(flow)
        if record.request_since is not None:
            seconds = now - record.request_since
            self._outlier_detector.on_answer(seconds, now, has_waited=record.has_waited)
            if len(self.answer_seconds) < ANSWER_TIMES_LIMIT:
                self.answer_seconds.append(seconds)
        record.request_since = None

    def _finish(self, flow: FlowKey, record: TrackedFlow) -> None:
        if record.client_finished and record.upstream_finished:
            self._close(flow, record)

    def _close(self, flow: FlowKey, record: TrackedFlow) -> None:
        if record.state is FlowState.OPEN:
            self._open -= 1
        record.state = FlowState.CLOSED
        self._busy.discard(flow)

    def forget(self, flow: FlowKey) -> None:
        """Drop the record of ``flow``."""
        record = self._by_flow.pop(flow, None)
        if record is None:
            return
        if record.state is FlowState.OPEN:
            self._open -= 1
        self._busy.discard(flow)

    def expire(self, now: float) -> None:
        """Drop expired flows, and stop counting flows as busy whose first request is overdue."""
        for flow in list(self._busy):
            record = self._by_flow[flow]
            if record.requests == 0 and now - record.opened_at > REQUEST_PENDING_S:
                self._busy.discard(flow)
        for flow, record in list(self._by_flow.items()):
            inactive_s = now - record.last_seen
            if record.state is FlowState.OPEN:
                if (
                    inactive_s > self.idle_s
                    or now - record.opened_at > self._max_age_s + self.idle_s
                ):
                    self.forget(flow)
            elif record.state is FlowState.CLOSED:
                if inactive_s > CLOSED_S:
                    self.forget(flow)
            elif inactive_s > HALF_OPEN_S:
                self.forget(flow)
