"""Connection tracking for the flows of one upstream."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from laburnumbridge.flows.expiring_map import ExpiringMap
from laburnumbridge.flows.flow_packet import sequence_distance
from laburnumbridge.flows.request_tracker import RequestPhase
from laburnumbridge.flows.request_tracker import RequestTracker

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.flows.flow_packet import FlowKey
    from laburnumbridge.flows.flow_packet import FlowPacket
    from laburnumbridge.flows.outlier_detector import OutlierDetector
    from laburnumbridge.flows.work_observer import WorkObserver

HALF_OPEN_S = 1.5
"""A client abandons an unanswered opening after 1.4 s."""
CLOSED_S = 4.0
"""A closed flow is tracked for the retransmissions of the last packet, 0.2 + 0.4 + 0.8 + 1.6 s, and
a margin."""
COMPLETE_MARGIN_S = 1.0
"""An upstream closes an idle flow this much later at most than the idle time-out here says."""
UNTRACKED_TTL_S = 30.0
"""How long it is remembered whether the upstream may hold a flow that isn't tracked: twice the
usual idle time-out, in which the upstream closes a flow itself."""
UNANSWERED_PHASES = (RequestPhase.ARRIVING, RequestPhase.RUNNING)
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


class TrackedFlow(msgspec.Struct, kw_only=True):
    """The record of one flow; times are monotonic seconds.

    ``upstream_sequence`` is the upstream's first sequence number, or None for a flow whose opening
    this process has not received. ``has_waited`` is set if all slots were taken when the current
    request began to run. ``route`` is the name of the flow's route, or empty.
    """

    state: FlowState
    opened_at: float
    last_seen: float
    request: RequestTracker
    route: str = ""
    upstream_sequence: int | None = None
    client_acknowledged: int = 0
    has_waited: bool = False
    client_finished: bool = False
    upstream_finished: bool = False


class FlowTracker:
    """Tracks the flows of one upstream from the packets between it and its clients.

    Provides the open flows, the requests that the upstream is working on and those that are still
    arriving, and reports answers and resets to ``outlier_detector``, and flows and requests to
    ``work_observer`` by the name of their route, which ``route_name`` returns. Keeps at most
    ``limit`` records; idle and old flows expire. ``slots`` is the number of requests that the
    upstream runs at once, 0 until it is known. ``started_at`` is when the process began to receive
    packets.
    """

    def __init__(
        self,
        *,
        limit: int,
        idle_s: float,
        max_age_s: float,
        outlier_detector: OutlierDetector,
        started_at: float = 0.0,
        work_observer: WorkObserver | None = None,
        route_name: Callable[[FlowKey], str] | None = None,
    ) -> None:
        self._limit = limit
        self._outlier_detector = outlier_detector
        self._work_observer = work_observer
        self._route_name = route_name
        self._running: set[FlowKey] = set()
        self.slots = 0
        self.idle_s = idle_s
        self._max_age_s = max_age_s
        self._by_flow: dict[FlowKey, TrackedFlow] = {}
        self._busy: set[FlowKey] = set()
        self._arriving: set[FlowKey] = set()
        self._open = 0
        self.answer_seconds: list[float] = []
        self._gap_at = started_at
        self._may_hold_by_untracked: ExpiringMap[FlowKey, bool] = ExpiringMap(
            ttl_s=UNTRACKED_TTL_S, limit=limit
        )

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

    @property
    def arriving(self) -> int:
        """Number of requests that clients are still sending; they take no slot yet."""
        return len(self._arriving)

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

    def note_gap(self, now: float) -> None:
        """Note that packets may have been missed until now, as before the process has started."""
        self._gap_at = now

    def is_absent(self, flow: FlowKey, now: float) -> bool:
        """Return whether the upstream can't hold ``flow``.

        Each open flow has a packet within the idle time-out, so after that time all are tracked.
        """
        if flow in self._by_flow or len(self._by_flow) >= self._limit:
            return False
        may_hold = self._may_hold_by_untracked.get(flow, now)
        if may_hold is not None:
            return not may_hold
        return now - self._gap_at > self.idle_s + COMPLETE_MARGIN_S

    def track_opening(self, flow: FlowKey, now: float) -> None:
        """Track an opening packet passed to the upstream; the flow counts as busy from then on."""
        if flow in self._by_flow:
            return
        if len(self._by_flow) >= self._limit:
            self._gap_at = now
        else:
            self._by_flow[flow] = TrackedFlow(
                state=FlowState.HALF_OPEN,
                opened_at=now,
                last_seen=now,
                request=RequestTracker(now=now),
                route=self._route_of(flow),
            )
            self._busy.add(flow)

    def _route_of(self, flow: FlowKey) -> str:
        return "" if self._route_name is None else self._route_name(flow)

    def _set_open(self, record: TrackedFlow, now: float) -> None:
        record.state = FlowState.OPEN
        self._open += 1
        if self._work_observer is not None:
            self._work_observer.on_flow_opened(record.route, now)

    def _end_open(self, record: TrackedFlow, now: float) -> None:
        self._open -= 1
        if self._work_observer is not None:
            self._work_observer.on_flow_closed(record.route, now)

    def _count(self, flow: FlowKey, record: TrackedFlow, now: float) -> None:
        """Count the flow as the phase of its request says."""
        phase = record.request.phase
        if (phase is RequestPhase.RUNNING) != (flow in self._running):
            self._note_running(flow, record, now)
        if phase in (RequestPhase.EXPECTED, RequestPhase.RUNNING):
            self._busy.add(flow)
        else:
            self._busy.discard(flow)
        if phase is RequestPhase.ARRIVING:
            self._arriving.add(flow)
        else:
            self._arriving.discard(flow)

    def _note_running(self, flow: FlowKey, record: TrackedFlow, now: float) -> None:
        """Tell the work observer that a request is complete, or that it has ended."""
        if flow in self._running:
            self._running.discard(flow)
            if self._work_observer is not None:
                self._work_observer.on_request_ended(flow, now)
            return
        self._running.add(flow)
        if self._work_observer is not None:
            # A request that a pause has ended arrived earlier.
            since = record.request.running_since
            self._work_observer.on_request_complete(
                flow, record.route, now if since is None else since
            )

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
                self.forget(packet.flow, now)
                self._may_hold_by_untracked.put(packet.flow, True, now)
                return False
            self._set_open(record, now)
            record.request.on_opened(now)
        record.last_seen = now
        record.client_acknowledged = packet.acknowledged
        if packet.is_reset:
            self._close(packet.flow, record, now)
            return True
        if record.state is FlowState.OPEN:
            self._track_request(packet, record, now)
        if packet.is_final:
            record.client_finished = True
            self._finish(packet.flow, record, now)
        return True

    def _track_request(self, packet: FlowPacket, record: TrackedFlow, now: float) -> None:
        was_running = record.request.phase is RequestPhase.RUNNING
        record.request.on_client_packet(packet, now)
        if record.request.phase is RequestPhase.RUNNING and not was_running:
            other_busy = len(self._busy) - (packet.flow in self._busy)
            record.has_waited = other_busy >= self.slots
        self._count(packet.flow, record, now)

    def track_upstream_packet(self, packet: FlowPacket, now: float) -> bool:
        """Track a packet from the upstream; return whether it reveals a flow not tracked before."""
        record = self._by_flow.get(packet.flow)
        if packet.is_opening_answer:
            if record is not None and record.state is FlowState.CLOSED:
                self.forget(packet.flow, now)  # the client has opened a new flow from its port
            self.track_opening(packet.flow, now)
            record = self._by_flow.get(packet.flow)
            if record is not None and record.state is FlowState.HALF_OPEN:
                record.upstream_sequence = packet.sequence
                record.request.on_opening_answer(packet, now)
            return False
        discovered = record is None and not packet.is_reset
        if record is None:
            if not packet.is_reset and len(self._by_flow) >= self._limit:
                self._gap_at = now
            if packet.is_reset or len(self._by_flow) >= self._limit:
                return False
            request = RequestTracker(now=now)
            request.end()
            record = TrackedFlow(
                state=FlowState.OPEN,
                opened_at=now,
                last_seen=now,
                request=request,
                route=self._route_of(packet.flow),
            )
            self._by_flow[packet.flow] = record
            self._set_open(record, now)
        record.last_seen = now
        if packet.is_reset:
            if record.state is FlowState.OPEN and record.request.phase in UNANSWERED_PHASES:
                self._outlier_detector.on_reset(now)
            self._close(packet.flow, record, now)
            return False
        seconds = record.request.on_upstream_packet(packet, now)
        if seconds is not None:
            self._on_answer(seconds, record, now)
            if packet.flow in self._running:
                self._running.discard(packet.flow)
                if self._work_observer is not None:
                    self._work_observer.on_answer_begun(packet.flow, now)
        if packet.is_final:
            record.upstream_finished = True
            record.request.end()
            self._finish(packet.flow, record, now)
        self._count(packet.flow, record, now)
        return discovered

    def _on_answer(self, seconds: float, record: TrackedFlow, now: float) -> None:
        self._outlier_detector.on_answer(seconds, now, has_waited=record.has_waited)
        if len(self.answer_seconds) < ANSWER_TIMES_LIMIT:
            self.answer_seconds.append(seconds)

    def _finish(self, flow: FlowKey, record: TrackedFlow, now: float) -> None:
        if record.client_finished and record.upstream_finished:
            self._close(flow, record, now)

    def _close(self, flow: FlowKey, record: TrackedFlow, now: float) -> None:
        if record.state is FlowState.OPEN:
            self._end_open(record, now)
        record.state = FlowState.CLOSED
        record.request.end()
        self._count(flow, record, now)

    def forget(self, flow: FlowKey, now: float) -> None:
        """Drop the record of ``flow``."""
        record = self._by_flow.pop(flow, None)
        if record is None:
            return
        if record.state is FlowState.OPEN:
            self._end_open(record, now)
        if flow in self._running:
            self._note_running(flow, record, now)
        self._busy.discard(flow)
        self._arriving.discard(flow)

    def forget_returned(self, flow: FlowKey, now: float) -> None:
        """Drop the record of a flow of which the upstream has returned a packet."""
        self.forget(flow, now)
        self._may_hold_by_untracked.put(flow, False, now)

    def settle(self, now: float) -> None:
        """Apply what pauses show: requests that are complete, and first ones that never came."""
        usual_s = self._outlier_detector.baseline_s
        for flow in [*self._arriving, *self._busy]:
            record = self._by_flow[flow]
            record.request.settle(now, usual_s=usual_s)
            self._count(flow, record, now)

    def expire(self, now: float) -> None:
        """Drop expired flows."""
        self.settle(now)
        self._may_hold_by_untracked.expire(now)
        for flow, record in list(self._by_flow.items()):
            inactive_s = now - record.last_seen
            if record.state is FlowState.OPEN:
                if (
                    inactive_s > self.idle_s
                    or now - record.opened_at > self._max_age_s + self.idle_s
                ):
                    self.forget(flow, now)
                    self._may_hold_by_untracked.put(flow, True, now)
            elif record.state is FlowState.CLOSED:
                if inactive_s > CLOSED_S:
                    self.forget(flow, now)
            elif inactive_s > HALF_OPEN_S:
                self.forget(flow, now)
                self._may_hold_by_untracked.put(flow, True, now)
