"""Decides whether an upstream takes an opening packet now, later or not at all."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from laburnumbridge.core import Event
from laburnumbridge.flows import ExpiringMap
from laburnumbridge.flows import OpeningDeadline
from laburnumbridge.flows import OpeningQueue
from laburnumbridge.flows.peer_datagrams import MAX_TRIED
from laburnumbridge.flows.peer_datagrams import SearchStage
from laburnumbridge.forwarding.forwarding_process import flow_text
from laburnumbridge.forwarding.service_directory import service_tag

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.flows import FlowKey
    from laburnumbridge.flows import FlowPacket
    from laburnumbridge.flows import FlowTracker
    from laburnumbridge.flows import OutlierDetector
    from laburnumbridge.flows import UpstreamSelector
    from laburnumbridge.flows.peer_datagrams import Envelope
    from laburnumbridge.forwarding.forwarding_process import ForwardingProcess

OVERRIDABLE_REASONS = ("busy", "failing")
"""If no other agent is left, this agent takes an opening packet despite these reasons."""
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
SLOTS_PER_SPARE_REQUEST = 4
"""An upstream gets one request above its slots for this many slots. A handshake takes about 5 ms, a
tenth of a request, so a quarter more than the slots covers it."""
ARRIVING_PER_SLOT = 16
"""Requests that may arrive at a time for each slot. With uploads of a second each this is a third
of what a slot runs at 20 ms a request. If more are complete at once than the upstream queues, it
rejects the rest, which have not run."""


class AdmissionControl:
    """Admits opening packets to an upstream, holds them, hands them over or refuses them.

    ``slots`` returns the requests that the upstream runs at once, and ``is_available`` whether it
    takes new flows. ``expected_s`` returns the seconds in which a new request would be answered
    here, or None if that isn't known. ``admit`` hands a packet to the upstream, ``forward`` sends
    it to another agent, and ``reset`` resets a flow with an acknowledged sequence number and a
    reason.
    """

    def __init__(
        self,
        *,
        process: ForwardingProcess,
        service: str,
        flows: FlowTracker,
        selector: UpstreamSelector,
        outlier_detector: OutlierDetector,
        slots: Callable[[], int],
        is_available: Callable[[], bool],
        expected_s: Callable[[float], float | None],
        admit: Callable[[FlowPacket, Envelope, float], None],
        forward: Callable[[Envelope, str, SearchStage], None],
        reset: Callable[[FlowKey, int, str], None],
    ) -> None:
        self._process = process
        self._service_tag = service_tag(service)
        self._flows = flows
        self._selector = selector
        self._outlier_detector = outlier_detector
        self._slots = slots
        self._is_available = is_available
        self._expected_s = expected_s
        self._admit = admit
        self._forward = forward
        self._reset = reset
        self._held_openings: OpeningQueue[Envelope] = OpeningQueue(limit=HELD_OPENINGS_LIMIT)
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
        if self._flows.get(packet.flow) is None:
            reason = self._reason_to_hand_over(envelope, now)
            if reason is not None and self.hand_over(packet, envelope, reason, now):
                return
            if reason not in (None, *OVERRIDABLE_REASONS):
                self._refuse(packet, envelope, reason or "", now)
                return
            if not self._has_room:
                self._hold(packet, envelope, now)
                return
        self._admit(packet, envelope, now)

    def on_refused_by_upstream(self, packet: FlowPacket, envelope: Envelope, now: float) -> None:
        """Hand over an opening packet that the upstream returned, or refuse it."""
        reason = "refused_by_upstream"
        if not self.hand_over(packet, envelope, reason, now):
            self._refuse(packet, envelope, reason, now)

    def admit_held(self, now: float) -> None:
        """Hand held packets to the upstream while it is below its limit, the newest first."""
        while self._held_openings and self._is_available() and self._has_room:
            waiting = self._held_openings.pop_newest()
            if waiting is None:
                return
            packet = self._process.packet_codec.decode_from_client(waiting.item.raw)
            self._process.metrics.observe("opening_wait_seconds", now - waiting.deadline.since)
            self._admit(packet, waiting.item, now)

    def upkeep(self, now: float) -> None:
        """Admit held packets, hand them over to idle agents, refuse those that would be late."""
        if not self._held_openings:
            return
        self.admit_held(now)
        self._hand_over_to_idle(now)
        is_available = self._is_available()
        interval_s = self._outlier_detector.baseline_s / self._slots() if is_available else 0.0
        for waiting in self._held_openings.expire(now, start_interval_s=interval_s):
            self._reset(waiting.flow, 0, "queue_timeout")

    def refuse_held(self) -> None:
        """Refuse the held packets that no other agent could take; nothing has run."""
        while (waiting := self._held_openings.pop_newest()) is not None:
            self._reset(waiting.flow, 0, "stopping")

    def expire(self, now: float) -> None:
        """Drop expired records of handovers."""
        self._handover_agent_by_flow.expire(now)

    def hand_over(self, packet: FlowPacket, envelope: Envelope, reason: str, now: float) -> bool:
        """Send an opening packet to another agent; return False if there is none to send it to."""
        if len(envelope.tried) >= MAX_TRIED:
            return False
        others = self._process.directory.candidates(envelope.service_tag, now)
        own_address = self._process.settings.address
        tag = envelope.service_tag
        agent = self._selector.choose(
            others,
            is_long=False,
            now=now,
            excluded=(own_address, *envelope.tried),
            service_tag=tag,
        )
        if agent is None and reason not in OVERRIDABLE_REASONS:
            # All others were tried; one that was only busy may take the packet now.
            agent = self._selector.choose(
                others, is_long=False, now=now, excluded=(own_address,), service_tag=tag
            )
        if agent is None:
            return False
        self._send_handover(packet.flow, envelope, agent, reason, now)
        return True

    @property
    def _has_room(self) -> bool:
        """True while the upstream gets openings: a few above its slots cover the handshakes."""
        slots = self._slots()
        limit = slots + max(1, slots // SLOTS_PER_SPARE_REQUEST)
        return self._flows.busy < limit and not self._has_full_arrivals

    @property
    def _has_full_arrivals(self) -> bool:
        unanswered = self._flows.arriving + self._flows.busy
        return unanswered >= ARRIVING_PER_SLOT * self._slots()

    def _hold(self, packet: FlowPacket, envelope: Envelope, now: float) -> None:
        """Hold an opening packet that no tried agent has taken until a slot is free.

        It is refused at once if its answer would be too late even with a free slot.
        """
        route = self._process.directory.route(packet.flow)
        deadline = OpeningDeadline.of_copy(
            packet.copy_number,
            now,
            timeout_s=0.0 if route is None else route.timeout_ms / 1000,
            usual_answer_s=self._outlier_detector.baseline_s,
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
        displaced = self._held_openings.put(packet.flow, envelope, deadline)
        if displaced is not None:
            self._reset(displaced.flow, 0, "queue_full")

    def _hand_over_to_idle(self, now: float) -> None:
        own_address = self._process.settings.address
        others = self._process.directory.candidates(self._service_tag, now)
        while self._held_openings:
            if self._is_available():
                agent = self._selector.choose_idle(
                    others, now=now, excluded=(own_address,), service_tag=self._service_tag
                )
            else:
                agent = self._selector.choose(
                    others,
                    is_long=False,
                    now=now,
                    excluded=(own_address,),
                    service_tag=self._service_tag,
                )
            waiting_newest = self._held_openings.pop_newest() if agent is not None else None
            if agent is None or waiting_newest is None:
                return
            envelope = replace(waiting_newest.item, tried=())
            self._send_handover(waiting_newest.flow, envelope, agent, "waiting", now)

    def _reason_to_hand_over(self, envelope: Envelope, now: float) -> str | None:
        if envelope.service_tag != self._service_tag:
            return "other_service"
        if not self._is_available():
            return "unavailable"
        is_busy = self._flows.busy >= self._slots() or self._has_full_arrivals
        if is_busy and len(envelope.tried) < MAX_HANDOVERS:
            return None if self._is_quicker_here(envelope, now) else "busy"
        if not envelope.tried and self._outlier_detector.is_failing(now):
            return "failing"
        return None

    def _is_quicker_here(self, envelope: Envelope, now: float) -> bool:
        """Return whether the upstream's queue is expected to be quicker than any other upstream.

        An opening that would be held here is handed over all the same, since the requests of open
        flows aren't held and would overtake it.
        """
        if not self._has_room or self._outlier_detector.is_failing(now):
            return False
        own_s = self._expected_s(now)
        return own_s is not None and self._selector.is_quicker_here(
            self._process.directory.candidates(envelope.service_tag, now),
            own_s=own_s,
            now=now,
            excluded=(self._process.settings.address, *envelope.tried),
            service_tag=envelope.service_tag,
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
        if is_ready or envelope.service_tag != self._service_tag:
            self._reset(packet.flow, packet.acknowledged, reason)
        else:
            self._hold(packet, envelope, now)
