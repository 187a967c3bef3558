"""Decides whether an upstream takes an opening packet now, later or not at all."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from msgspec.structs import replace

from laburnumbridge.core import Event
from laburnumbridge.flows import ExpiringMap
from laburnumbridge.flows import FlowState
from laburnumbridge.flows import NewestFirstQueue
from laburnumbridge.flows import OpeningDeadline
from laburnumbridge.flows import PlannedQueue
from laburnumbridge.flows import WaitingOpening
from laburnumbridge.flows.peer_datagrams import MAX_TRIED
from laburnumbridge.flows.peer_datagrams import SearchStage
from laburnumbridge.forwarding.forwarding_process import flow_text

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.flows import FlowKey
    from laburnumbridge.flows import FlowPacket
    from laburnumbridge.flows import FlowTracker
    from laburnumbridge.flows import OpeningQueue
    from laburnumbridge.flows import OutlierDetector
    from laburnumbridge.flows import UpstreamSelector
    from laburnumbridge.flows.peer_datagrams import Envelope
    from laburnumbridge.forwarding.forwarding_process import ForwardingProcess
    from laburnumbridge.forwarding.warm_up_control import WarmUpControl

OVERRIDABLE_REASONS = ("busy", "failing")
"""If no other agent is left, this agent takes an opening packet despite these reasons."""
WARMING_UP = "warming_up"
"""If no other agent is left, this agent holds an opening packet for this reason."""
HANDOVER_TTL_S = 3.0
"""Longer than the time in which an opening packet's copies arrive and the first agent forwards the
answer."""
HANDOVERS_LIMIT = 20_000
"""Ten times the connections that an upstream holds."""
MAX_HANDOVERS = 3
"""After this many handovers a busy agent takes the opening packet: a fifth agent would hardly be
free."""
HELD_OPENINGS_LIMIT = 256
"""At 5 ms a request an upstream runs fewer openings than this within ``MAX_WAIT_S``."""
OVERLOAD_END_S = 1.0
"""An overload ends when no opening has waited beyond its target for this long; in a burst late
ones follow each other sooner than that."""
SLOTS_PER_SPARE_REQUEST = 4
"""An upstream gets one request above its slots for this many slots. A handshake takes about 5 ms, a
tenth of a request, so a quarter more than the slots covers it."""
MAX_EVACUATION_HOPS = 24
"""An opening packet of an evacuated domain is handed over until it has been forwarded this often.
While two agents have views of different age, each may take the other's domain for the usable one.
"""
ARRIVING_PER_SLOT = 16
"""Requests that may arrive at a time for each slot. With uploads of a second each this is a third
of what a slot runs at 20 ms a request. If more are complete at once than the upstream queues, it
rejects the rest, which have not run."""


class AdmissionControl:
    """Admits opening packets to an upstream, holds them, hands them over or refuses them.

    Held openings are served newest first; from the first one of a route with a target latency until
    none waits, they are served in the order of ``PlannedQueue``.

    ``slots`` returns the requests that the upstream runs at once, ``is_available`` whether it takes
    new flows, and ``is_evacuated`` whether its failure domain is evacuated. ``expected_work_s``
    returns the work of a flow's request in seconds, None if it isn't known; the usual time of
    answers is used then. ``expected_s`` returns the seconds in which a new request would be
    answered here, or None if that isn't known. ``admit`` hands a packet to the upstream,
    ``forward`` sends it to another agent, and ``reset`` resets a flow with an acknowledged sequence
    number and a reason.
    """

    def __init__(
        self,
        *,
        process: ForwardingProcess,
        service: str,
        flows: FlowTracker,
        selector: UpstreamSelector,
        outlier_detector: OutlierDetector,
        expected_work_s: Callable[[FlowKey], float | None],
        slots: Callable[[], int],
        is_available: Callable[[], bool],
        is_evacuated: Callable[[], bool],
        warm_up: WarmUpControl,
        expected_s: Callable[[float], float | None],
        admit: Callable[[FlowPacket, Envelope, float], None],
        forward: Callable[[Envelope, str, SearchStage], None],
        reset: Callable[[FlowKey, int, str], None],
    ) -> None:
        self._process = process
        self._service = service
        self._flows = flows
        self._selector = selector
        self._outlier_detector = outlier_detector
        self._slots = slots
        self._is_available = is_available
        self._is_evacuated = is_evacuated
        self._warm_up = warm_up
        self._expected_s = expected_s
        self._admit = admit
        self._forward = forward
        self._reset = reset
        self._expected_work_s = expected_work_s
        self._newest_first: OpeningQueue[Envelope] = NewestFirstQueue(
            limit=HELD_OPENINGS_LIMIT, usual_work_s=lambda: outlier_detector.baseline_s
        )
        self._planned: OpeningQueue[Envelope] = PlannedQueue(
            limit=HELD_OPENINGS_LIMIT, expected_work_s=self._work_s
        )
        self._held_openings: OpeningQueue[Envelope] = self._newest_first
        self._overdue_at = 0.0
        self._is_overloaded = False
        self._waiting_by_priority: Counter[int] = Counter()
        self._handover_agent_by_flow: ExpiringMap[FlowKey, str] = ExpiringMap(
            ttl_s=HANDOVER_TTL_S, limit=HANDOVERS_LIMIT
        )

    def handover_agent(self, flow: FlowKey, now: float) -> str | None:
        """Return the agent that an opening packet of ``flow`` was handed over to, or None."""
        return self._handover_agent_by_flow.get(flow, now)

    def on_opening(self, packet: FlowPacket, envelope: Envelope, now: float) -> None:
        """Admit, hold, hand over or refuse an opening packet or a copy of one."""
        handover_agent = self._handover_agent_by_flow.get(packet.flow, now)
        if handover_agent is not None and envelope.hops == 0:
            if self._selector.is_responsive(handover_agent, now):
                self._forward(envelope, handover_agent, SearchStage.DIRECT)
                return
            envelope = replace(envelope, tried=(handover_agent,))
        self._flows.settle(now)
        if packet.flow in self._held_openings:
            return  # a copy of a packet that is held until a slot is free
        if self._is_evacuated() and self._drop_or_forget_tracked(packet.flow, now):
            return
        if self._flows.get(packet.flow) is None:
            reason = self._reason_to_hand_over(packet, envelope, now)
            if reason is not None and self.hand_over(packet, envelope, reason, now):
                return
            if reason not in (None, WARMING_UP, *OVERRIDABLE_REASONS):
                self._refuse(packet, envelope, reason or "", now)
                return
            if reason == WARMING_UP or not self._has_room:
                self._hold(packet, envelope, now)
                return
        elif not self._warm_up.has_room(now):
            # The first packet was delivered here, so this copy can't open the flow elsewhere.
            self._process.drop(WARMING_UP, flow=flow_text(packet.flow))
            return
        self._admit(packet, envelope, now)

    def is_holding(self, flow: FlowKey) -> bool:
        """Return whether an opening packet of ``flow`` waits for a slot."""
        return flow in self._held_openings

    def _drop_or_forget_tracked(self, flow: FlowKey, now: float) -> bool:
        """Keep an opening packet of a tracked flow from an evacuated upstream.

        Return whether it was dropped. A copy for a half-open flow is delivered: its first packet
        was, at most 1.5 s ago.
        """
        record = self._flows.get(flow)
        if record is None or record.state is FlowState.HALF_OPEN:
            return False
        if record.state is FlowState.OPEN:
            self._process.drop("evacuated", flow=flow_text(flow))
            return True
        self._flows.forget(flow, now)  # the client opens a new flow from the same port
        return False

    def on_refused_by_upstream(self, packet: FlowPacket, envelope: Envelope, now: float) -> None:
        """Hand over an opening packet that the upstream returned, or refuse it."""
        reason = "refused_by_upstream"
        if not self.hand_over(packet, envelope, reason, now):
            self._refuse(packet, envelope, reason, now)

    def admit_held(self, now: float) -> None:
        """Hand held packets to the upstream while it is below its limits."""
        while (
            self._held_openings
            and self._is_available()
            and self._has_room
            and self._warm_up.has_room(now)
        ):
            waiting = self._pop_next(now)
            if waiting is None:
                return
            packet = self._process.packet_codec.decode_from_client(waiting.item.raw)
            self._process.metrics.observe(
                "opening_wait_seconds", now - waiting.deadline.since, priority=waiting.priority
            )
            self._admit(packet, waiting.item, now)

    def upkeep(self, now: float) -> None:
        """Admit held packets, hand them over to idle agents, refuse those that would be late."""
        self._update_overload(now)
        if not self._held_openings:
            return
        self.admit_held(now)
        self._hand_over_to_idle(now)
        if self._is_evacuated() and self._process.view.catalog.is_ready:
            self._refuse_all_held("evacuated")
            return
        slots = self._slots() if self._is_available() else 0
        for waiting in self._held_openings.expire(now, slots=slots, backlog_s=self._backlog_s):
            self._reset(waiting.flow, 0, "queue_timeout")

    def refuse_held(self) -> None:
        """Refuse the held packets that no other agent could take; nothing has run."""
        self._refuse_all_held("stopping")

    def _refuse_all_held(self, reason: str) -> None:
        for waiting in self._held_openings.drain():
            self._reset(waiting.flow, 0, reason)

    def expire(self, now: float) -> None:
        """Drop expired records of handovers, and set the gauges of held openings."""
        self._handover_agent_by_flow.expire(now)
        waiting = Counter(opening.priority for opening in self._held_openings)
        for priority in waiting.keys() | self._waiting_by_priority.keys():
            self._process.metrics.gauge("openings_waiting", waiting[priority], priority=priority)
        self._waiting_by_priority = waiting

    def hand_over(self, packet: FlowPacket, envelope: Envelope, reason: str, now: float) -> bool:
        """Send an opening packet to another agent; return False if there is none to send it to."""
        if len(envelope.tried) >= MAX_TRIED:
            if reason != "evacuated":
                return False
            # Any upstream elsewhere is preferred to a refusal, also one that was busy before.
            envelope = replace(envelope, tried=())
        if reason == "evacuated" and envelope.hops >= MAX_EVACUATION_HOPS:
            return False
        service = self._wanted_service(packet.flow, envelope)
        others = self._process.directory.candidates(service, now)
        own_address = self._process.settings.address
        if reason == WARMING_UP:
            others = [one for one in others if self._selector.is_available(one.agent, now)]
        agent = self._selector.choose(
            others,
            is_long=False,
            now=now,
            excluded=(own_address, *envelope.tried),
            service=service,
        )
        if agent is None and reason not in (WARMING_UP, *OVERRIDABLE_REASONS):
            # All others were tried; one that was only busy may take the packet now.
            agent = self._selector.choose(
                others, is_long=False, now=now, excluded=(own_address,), service=service
            )
        if agent is None:
            return False
        self._send_handover(packet.flow, envelope, agent, reason, now)
        return True

    @property
    def _busy_limit(self) -> int:
        """Requests that the upstream may have in progress: a few above its slots for handshakes."""
        slots = self._slots()
        return slots + max(1, slots // SLOTS_PER_SPARE_REQUEST)

    @property
    def _has_room(self) -> bool:
        """True while the upstream gets openings."""
        return self._flows.busy < self._busy_limit and not self._has_full_arrivals

    @property
    def _backlog_s(self) -> float:
        """Seconds that the upstream needs for requests above its limit, of open flows."""
        above_limit = max(0, self._flows.busy - self._busy_limit)
        return above_limit * self._outlier_detector.baseline_s / self._slots()

    def _work_s(self, flow: FlowKey) -> float:
        """Expected work of a flow's request, 0 before the first answer of the upstream."""
        expected_s = self._expected_work_s(flow)
        return self._outlier_detector.baseline_s if expected_s is None else expected_s

    def _answer_s(self, flow: FlowKey) -> float:
        """Expected seconds from handing an opening to the full upstream until its answer.

        It then waits there for the requests above the slots.
        """
        slots = self._slots()
        return self._work_s(flow) * self._busy_limit / slots

    def _pop_next(self, now: float) -> WaitingOpening[Envelope] | None:
        """Remove and return the held packet to serve next, or None if none can be in time."""
        slots = self._slots() if self._is_available() else 0
        return self._held_openings.pop_next(now, slots=slots, backlog_s=self._backlog_s)

    @property
    def _has_full_arrivals(self) -> bool:
        unanswered = self._flows.arriving + self._flows.busy
        return unanswered >= ARRIVING_PER_SLOT * self._slots()

    def _hold(self, packet: FlowPacket, envelope: Envelope, now: float) -> None:
        """Hold an opening packet that no tried agent has taken until a slot is free.

        It is refused at once if its answer would be too late even with a free slot.
        """
        route = self._process.directory.route(packet.flow)
        target_s = 0.0 if route is None else route.target_latency_ms / 1000
        deadline = OpeningDeadline.of_copy(
            packet.copy_number,
            now,
            timeout_s=0.0 if route is None else route.timeout_ms / 1000,
            usual_answer_s=self._outlier_detector.baseline_s,
            target_s=target_s,
            expected_answer_s=self._answer_s(packet.flow) if target_s else 0.0,
        )
        if deadline.start_by < now:
            self._reset(packet.flow, packet.acknowledged, "too_late")
            return
        self._process.metrics.count("openings_held_total")
        self._process.log.write(
            Event.FLOW_HELD,
            flow=flow_text(packet.flow),
            waiting=len(self._held_openings),
            busy=self._flows.busy,
            arriving=self._flows.arriving,
            slots=self._slots(),
            wait_s=round(deadline.start_by - now, 3),
        )
        self._select_queue(has_target=target_s > 0)
        priority = 0 if route is None else route.priority
        self._put(
            WaitingOpening(flow=packet.flow, item=envelope, deadline=deadline, priority=priority)
        )

    def _select_queue(self, *, has_target: bool) -> None:
        """Hold all openings in the queue that the next one's route asks for."""
        if not has_target and self._held_openings:
            return
        queue = self._planned if has_target else self._newest_first
        if queue is self._held_openings:
            return
        moved = self._held_openings.drain()
        self._held_openings = queue
        for waiting in reversed(moved):
            self._put(waiting)

    def _put(self, waiting: WaitingOpening[Envelope]) -> None:
        displaced = self._held_openings.put(waiting)
        if displaced is not None:
            self._reset(displaced.waiting.flow, 0, displaced.reason)

    def _update_overload(self, now: float) -> None:
        """Report when openings begin to wait beyond their target, and when none does any more."""
        if self._held_openings.has_overdue(now):
            self._overdue_at = now
            if not self._is_overloaded:
                self._report_overload("entered")
        elif self._is_overloaded and now - self._overdue_at >= OVERLOAD_END_S:
            self._report_overload("left")

    def _report_overload(self, outcome: str) -> None:
        self._is_overloaded = outcome == "entered"
        self._process.log.write(
            Event.OVERLOAD_CHANGED,
            outcome=outcome,
            waiting=len(self._held_openings),
            busy=self._flows.busy,
            slots=self._slots(),
            usual_answer_s=round(self._outlier_detector.baseline_s, 4),
        )

    def _hand_over_to_idle(self, now: float) -> None:
        own_address = self._process.settings.address
        others = self._process.directory.candidates(self._service, now)
        while self._held_openings:
            if self._is_available():
                agent = self._selector.choose_idle(
                    others, now=now, excluded=(own_address,), service=self._service
                )
            else:
                agent = self._selector.choose(
                    others,
                    is_long=False,
                    now=now,
                    excluded=(own_address,),
                    service=self._service,
                )
            waiting = self._pop_next(now) if agent is not None else None
            if agent is None or waiting is None:
                return
            envelope = replace(waiting.item, tried=())
            reason = "evacuated" if self._is_evacuated() else "waiting"
            self._send_handover(waiting.flow, envelope, agent, reason, now)

    def _reason_to_hand_over(
        self, packet: FlowPacket, envelope: Envelope, now: float
    ) -> str | None:
        if self._wanted_service(packet.flow, envelope) != self._service:
            return "other_service"
        if self._is_evacuated():
            return "evacuated"
        if not self._is_available():
            return "unavailable"
        if not self._warm_up.has_room(now):
            return WARMING_UP
        is_busy = self._flows.busy >= self._slots() or self._has_full_arrivals
        if is_busy and len(envelope.tried) < MAX_HANDOVERS:
            return None if self._is_quicker_here(envelope, now) else "busy"
        if not envelope.tried and self._outlier_detector.is_failing(now):
            return "failing"
        return None

    def _wanted_service(self, flow: FlowKey, envelope: Envelope) -> str:
        """Return the service that an opening packet is for."""
        return self._process.directory.tagged_service(
            envelope.service_tag, flow, preferred=self._service
        )

    def _is_quicker_here(self, envelope: Envelope, now: float) -> bool:
        """Return whether the upstream's queue is expected to be quicker than any other upstream.

        An opening that would be held here is handed over all the same, since the requests of open
        flows aren't held and would overtake it.
        """
        if not self._has_room or self._outlier_detector.is_failing(now):
            return False
        own_s = self._expected_s(now)
        return own_s is not None and self._selector.is_quicker_here(
            self._process.directory.candidates(self._service, now),
            own_s=own_s,
            now=now,
            excluded=(self._process.settings.address, *envelope.tried),
            service=self._service,
        )

    @property
    def held(self) -> int:
        """Number of openings that wait for a slot."""
        return len(self._held_openings)

    def _send_handover(
        self, flow: FlowKey, envelope: Envelope, agent: str, reason: str, now: float
    ) -> None:
        """Forward an opening packet to ``agent``, and record that for the packet's copies."""
        self._selector.on_sent(agent, now)
        self._handover_agent_by_flow.put(flow, agent, now)
        self._process.metrics.count("flows_handed_over_total", reason)
        self._process.log.write(
            Event.FLOW_HANDED_OVER,
            outcome=reason,
            flow=flow_text(flow),
            agent=agent,
            hops=envelope.hops,
            busy=self._flows.busy,
            slots=self._slots(),
            revision=self._process.view.catalog.revision,
        )
        tried = (*envelope.tried, self._process.settings.address)
        self._forward(replace(envelope, tried=tried), agent, SearchStage.DIRECT)

    def _refuse(self, packet: FlowPacket, envelope: Envelope, reason: str, now: float) -> None:
        """Reset the flow of an opening packet that no agent takes; nothing has run.

        Before this process has a view, other agents may be able to take the packet, so it is held.
        A packet for another service is never held: held packets go to this agent's upstream.
        """
        is_ready = self._process.view.catalog.is_ready
        if is_ready or self._wanted_service(packet.flow, envelope) != self._service:
            self._reset(packet.flow, packet.acknowledged, reason)
        else:
            self._hold(packet, envelope, now)
