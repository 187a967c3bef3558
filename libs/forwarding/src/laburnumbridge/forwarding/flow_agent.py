"""The process beside an upstream that forwards packets of flows."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from msgspec.structs import replace

from laburnumbridge.core import Event
from laburnumbridge.core import hash64
from laburnumbridge.flows import AgentContacts
from laburnumbridge.flows import ExpiringMap
from laburnumbridge.flows import FlowLocations
from laburnumbridge.flows import FlowState
from laburnumbridge.flows import FlowTracker
from laburnumbridge.flows import MalformedPacketError
from laburnumbridge.flows import MalformedPeerDatagramError
from laburnumbridge.flows import OutlierDetector
from laburnumbridge.flows import RecordRecovery
from laburnumbridge.flows import UpstreamSelector
from laburnumbridge.flows import WorkEstimator
from laburnumbridge.flows.peer_datagrams import FLOWS_PER_DATAGRAM
from laburnumbridge.flows.peer_datagrams import DatagramKind
from laburnumbridge.flows.peer_datagrams import Envelope
from laburnumbridge.flows.peer_datagrams import FlowAnswer
from laburnumbridge.flows.peer_datagrams import FlowLocationUpdate
from laburnumbridge.flows.peer_datagrams import FlowPresence
from laburnumbridge.flows.peer_datagrams import LoadReport
from laburnumbridge.flows.peer_datagrams import SearchStage
from laburnumbridge.flows.peer_datagrams import WorkReport
from laburnumbridge.flows.peer_datagrams import decode_envelope
from laburnumbridge.flows.peer_datagrams import decode_flow_answer
from laburnumbridge.flows.peer_datagrams import decode_flow_query
from laburnumbridge.flows.peer_datagrams import decode_load
from laburnumbridge.flows.peer_datagrams import decode_load_detail
from laburnumbridge.flows.peer_datagrams import decode_locations
from laburnumbridge.flows.peer_datagrams import encode_envelope
from laburnumbridge.flows.peer_datagrams import encode_load
from laburnumbridge.flows.peer_datagrams import encode_load_detail
from laburnumbridge.flows.peer_datagrams import encode_locations
from laburnumbridge.flows.peer_datagrams import requests_detail
from laburnumbridge.forwarding.admission_control import AdmissionControl
from laburnumbridge.forwarding.detail_requester import DetailRequester
from laburnumbridge.forwarding.endpoints import parse_endpoint
from laburnumbridge.forwarding.flow_inquiries import FlowInquiries
from laburnumbridge.forwarding.flow_search import FlowSearch
from laburnumbridge.forwarding.forwarding_process import PAUSE_THRESHOLD_S
from laburnumbridge.forwarding.forwarding_process import STOP_MARGIN_S
from laburnumbridge.forwarding.forwarding_process import ForwardingProcess
from laburnumbridge.forwarding.forwarding_process import flow_text
from laburnumbridge.forwarding.load_reporter import REPORT_INTERVAL_S
from laburnumbridge.forwarding.load_reporter import LoadReporter
from laburnumbridge.forwarding.refusal_check import RefusalCheck
from laburnumbridge.forwarding.upstream_watch import UpstreamWatch
from laburnumbridge.forwarding.warm_up_control import WarmUpControl

if TYPE_CHECKING:
    from collections.abc import Iterable

    from laburnumbridge.catalog import CatalogUpdate
    from laburnumbridge.catalog import UpstreamEntry
    from laburnumbridge.flows import FlowKey
    from laburnumbridge.flows import FlowPacket
    from laburnumbridge.forwarding.endpoints import Endpoint

FLOWS_LIMIT = 20_000
"""Ten times the connections that an upstream holds; closed flows stay in the table for a time."""
DEFAULT_IDLE_S = 15.0
"""Idle time-out of flows until a configuration is received."""
ENTRY_ADDRESS_TTL_S = 3.0
"""The upstream answers a packet of a flow that it holds within this time."""
MAX_RECORD_HOPS = 8
"""Records of handovers and locations are followed this far: an opening packet is handed over three
times, and again each time that it has waited. Copies of it go different ways, so that the records
may form a cycle."""
RECORD_STAGES = frozenset(SearchStage) - {
    SearchStage.RANKED_NO_RECORDS,
    SearchStage.OTHER_SERVICES,
    SearchStage.CANDIDATES,
}
"""Stages of a search in which records are followed."""
DEFAULT_SLOTS = 16
"""Slots assumed until the upstream's entry is received: openings needn't be held back then, since
the upstream has a queue of its own."""
UPKEEP_INTERVAL_S = 0.05
EXPIRY_INTERVAL_S = 0.5
STOP_WAIT_S = 0.3
"""A planned stop waits this long at most for running requests: three times the mean of one."""
DELIVERIES_LIMIT = 4_096
"""Packets kept in case the upstream returns them, which it does within a millisecond."""


class FlowAgent(ForwardingProcess):
    """Forwards packets between clients and the upstream beside it.

    It tracks the flows that are open here, hands opening packets that its upstream can't take over
    to other agents, and forwards packets of other flows until the agent of the flow is found.
    """

    def __init__(self, **arguments: Any) -> None:
        super().__init__(**arguments)
        upstream = self.settings.upstream
        assert upstream is not None, "an agent's settings name its upstream"
        self._upstream_endpoint = parse_endpoint(upstream.endpoint)
        self._own_service = upstream.service
        self._outputs = self.network.datagram_port(
            parse_endpoint(upstream.output_endpoint), self._on_upstream_datagram
        )
        self._outlier_detector = OutlierDetector()
        self._was_failing = False
        self._work = WorkEstimator()
        self._upstream_started_ms: int | None = None
        self._flows = FlowTracker(
            limit=FLOWS_LIMIT,
            idle_s=DEFAULT_IDLE_S,
            max_age_s=self.settings.flow_max_age_s,
            outlier_detector=self._outlier_detector,
            started_at=self.loop.now(),
            work_observer=self._work,
            route_name=self._route_name,
        )
        self._expired_at = self.loop.now()
        self._record_recovery = RecordRecovery()
        self._locations = FlowLocations(agent=self.settings.address)
        self._entry_address_by_flow: ExpiringMap[FlowKey, str] = ExpiringMap(
            ttl_s=ENTRY_ADDRESS_TTL_S, limit=FLOWS_LIMIT
        )
        self._selector = UpstreamSelector(
            seed=hash64(self.settings.process.encode()),
            failure_domain=self.settings.failure_domain,
        )
        self._delivered_by_echo: dict[int, tuple[FlowKey, Envelope]] = {}
        self._next_echo = 1
        self._contacts = AgentContacts()
        self._inquiries = FlowInquiries(process=self, presence=self._presence)
        self._search = FlowSearch(
            process=self,
            inquiries=self._inquiries,
            contacts=self._contacts,
            forward=self._forward,
            reset=self._reset_not_found,
        )
        self._reporter = LoadReporter(port=self.peers, peer_port=self.settings.peer_port)
        self._detail_requester = DetailRequester(port=self.peers, peer_port=self.settings.peer_port)
        self._was_listed = False
        self._upstream = UpstreamWatch(
            loop=self.loop,
            network=self.network,
            endpoint=self._upstream_endpoint,
            log=self.log,
            metrics=self.metrics,
            on_down=self._on_upstream_down,
            on_up=lambda: self._warm_up.on_restart(self.loop.now()),
        )
        self._warm_up = WarmUpControl(
            process=self, service=upstream.service, entry=lambda: self._own_entry
        )
        self._admission = AdmissionControl(
            process=self,
            service=upstream.service,
            flows=self._flows,
            selector=self._selector,
            outlier_detector=self._outlier_detector,
            expected_work_s=self.expected_work_s,
            slots=lambda: self._slots,
            is_available=lambda: self._is_available,
            expected_s=self._expected_answer_s,
            is_evacuated=lambda: self._is_evacuated,
            warm_up=self._warm_up,
            admit=self._admit,
            forward=self._forward_opening,
            reset=self._refuse_opening,
        )
        self._refusal_check = RefusalCheck(
            process=self,
            inquiries=self._inquiries,
            is_open_here=self._is_open_here,
            reset=self._reset,
        )

    def start(self) -> None:
        """Open all sockets. Raises OSError."""
        super().start()
        self._outputs.start()
        self.loop.call_every(UPKEEP_INTERVAL_S, self._upkeep)
        self.loop.call_every(REPORT_INTERVAL_S, self._send_load)
        self.loop.call_every(EXPIRY_INTERVAL_S, self._expire)

    def close(self) -> None:
        """Close all sockets."""
        self._upstream.close()
        self._outputs.close()
        super().close()

    def stop(self) -> None:
        """Take no new flow and end within ``STOP_WAIT_S``, or when a running probe ends after that.

        If the probe shows that the upstream has ended, its flows are reset. Beside an upstream that
        drains the agent forwards until its flows have ended or the grace period is almost over.
        """
        if not self.begin_stop(
            flows=self._flows.open_flows, busy=self._flows.busy, arriving=self._flows.arriving
        ):
            return
        self._send_load()
        self._locations.announce_all()
        self._send_records(self.loop.now())
        self._upstream.probe()

    def on_view_change(self, update: CatalogUpdate) -> None:
        """Update the idle time-out and the slots, and drop the load of removed agents."""
        idle_s = self.directory.idle_timeout_s
        if idle_s is not None and idle_s != self._flows.idle_s:
            # Flows that were dropped after the shorter time may be open still.
            self._flows.note_gap(self.loop.now())
            self._flows.idle_s = idle_s
        entry = self._own_entry
        if entry is not None:
            self._was_listed = True
        self._flows.slots = 0 if entry is None else entry.slots
        self._warm_up.on_view_change(self.loop.now(), is_evacuated=self._is_evacuated)
        if entry is not None:
            self._work.slots = entry.slots
            if self._upstream_started_ms not in (None, entry.started_ms):
                self._work.on_restart()
            self._upstream_started_ms = entry.started_ms
        if update.entries or update.removals:
            self._selector.retain(self.directory.listed_agents)
            self._detail_requester.retain(self.directory.listed_agents)
            self._contacts.retain(self.directory.listed_agents)
        if self._upstream.is_down and not self._has_draining_upstream:
            self._reset_open_flows()

    @property
    def _own_entry(self) -> UpstreamEntry | None:
        """The entry of the upstream beside this agent; other writers may name its address too."""
        return self.directory.entry(
            self._upstream_endpoint[0], self._upstream_endpoint[1], self._own_service
        )

    @property
    def _has_draining_upstream(self) -> bool:
        """True while the upstream beside this agent is listed as draining.

        It refuses new connections before its last flows have ended, so a probe proves nothing.
        """
        entry = self._own_entry
        return entry is not None and entry.is_draining

    @property
    def _is_available(self) -> bool:
        """True while this agent takes new flows.

        An agent without a view takes them too: the balancer that sent the packet has the entry.
        """
        if self.is_stopping or not self._upstream.is_usable(self.loop.now()):
            return False
        if self._is_evacuated:
            return False
        entry = self._own_entry
        return not self._was_listed if entry is None else not entry.is_draining

    @property
    def _is_evacuated(self) -> bool:
        """True while the failure domain of this agent or of its upstream's entry is evacuated."""
        evacuated = self.view.catalog.evacuated_domains
        if not evacuated:
            return False
        entry = self._own_entry
        return self.settings.failure_domain in evacuated or (
            entry is not None and entry.failure_domain in evacuated
        )

    @property
    def _slots(self) -> int:
        entry = self._own_entry
        return DEFAULT_SLOTS if entry is None else entry.slots

    def expected_work_s(self, flow: FlowKey) -> float | None:
        """Return the expected work of a request of ``flow`` at this upstream, in seconds.

        It is None until the upstream has answered a request.
        """
        return self._work.expected_s(self._route_name(flow))

    def _route_name(self, flow: FlowKey) -> str:
        route = self.directory.route(flow)
        return "" if route is None else route.name

    # Packets from balancers and agents.

    def on_peer_datagram(self, datagram: bytes, sender: Endpoint) -> None:
        """Handle packets, load reports, probes and records of flow locations."""
        kind = datagram[0] if datagram else 0
        now = self.loop.now()
        try:
            if kind == DatagramKind.PACKET:
                self._on_envelope(decode_envelope(datagram), sender, now)
            elif kind == DatagramKind.LOAD:
                self._selector.on_load_report(sender[0], decode_load(datagram), now)
                self._inquiries.on_load_report(sender[0], now)
            elif kind == DatagramKind.LOAD_DETAIL:
                self._selector.on_load_report(sender[0], decode_load_detail(datagram), now)
            elif kind == DatagramKind.PROBE:
                self._on_probe(datagram, sender, now)
            elif kind == DatagramKind.RECORDS:
                located = decode_locations(datagram)
                self._record_recovery.on_reply(sender[0])
                for flow in located.flows:
                    self._locations.put(flow, located.agent_address, now)
            elif kind == DatagramKind.RECORDS_REQUEST:
                self._inquiries.note_answering(sender[0], now)
                self._send_recovered_records(sender[0], now)
            elif kind == DatagramKind.FLOW_QUERY:
                self._inquiries.answer(decode_flow_query(datagram), sender, now)
            elif kind == DatagramKind.FLOW_ANSWER:
                self._inquiries.on_answer(sender[0], decode_flow_answer(datagram), now)
            else:
                raise MalformedPeerDatagramError(reason=f"kind {kind}", size=len(datagram))
        except MalformedPeerDatagramError as error:
            self.drop("peer_malformed", peer=sender[0], fault=error.reason)
        except MalformedPacketError as error:
            self.drop(error.reason, peer=sender[0], size=error.size)
        else:
            if kind != DatagramKind.PACKET:
                self._contacts.on_heard(sender[0])

    def _on_probe(self, datagram: bytes, sender: Endpoint, now: float) -> None:
        if requests_detail(datagram):
            self._reporter.on_detail_request(sender[0], now)
            self.peers.send(encode_load_detail(self._load_report), sender)
        else:
            self.peers.send(encode_load(self._load_report), sender)

    def _on_envelope(self, envelope: Envelope, sender: Endpoint, now: float) -> None:
        packet = self.packet_codec.decode_from_client(envelope.raw)
        self._reporter.on_packet(sender[0], now)
        if packet.is_opening:
            self._refusal_check.on_opening(packet, envelope.tried, now)
            self._admission.on_opening(packet, envelope, now)
        else:
            self._on_flow_packet(packet, envelope, now)

    def _admit(self, packet: FlowPacket, envelope: Envelope, now: float) -> None:
        """Hand an opening packet to the upstream."""
        self._flows.track_opening(packet.flow, now)
        self._warm_up.on_opening(now)
        if envelope.hops:
            self._report_location(packet.flow, envelope.entry_address)
        if envelope.hops or packet.copy_number:
            # An agent that holds another copy asks the directory nodes before it refuses that.
            ranking = self.directory.agent_ranking
            for node in self._locations.announce(packet.flow, ranking, now):
                self._send_records_to(node, self.settings.address, [packet.flow])
        self._deliver(packet, envelope)
        self._upstream.on_opening(packet.flow, envelope, now)

    def _on_flow_packet(self, packet: FlowPacket, envelope: Envelope, now: float) -> None:
        if self._flows.track_client_packet(packet, now):
            if envelope.stage is not SearchStage.DIRECT or envelope.hops:
                self._report_location(packet.flow, envelope.entry_address)
            self._deliver(packet, envelope)
            return
        if self._search.drop_after_max_hops(packet, envelope):
            return
        if envelope.stage in RECORD_STAGES and envelope.hops < MAX_RECORD_HOPS:
            agent = self._admission.handover_agent(packet.flow, now)
            if envelope.stage is not SearchStage.RECORDED:
                agent = agent or self._locations.find(packet.flow, now)
            is_other = agent != self.settings.address
            if agent is not None and is_other and agent in self.directory.listed_agents:
                self._forward(envelope, agent, SearchStage.RECORDED)
                return
        if not self._may_be_open_here(packet.flow, envelope, now):
            self._search.forward(packet, envelope, now)
            return
        # The upstream may hold a flow that was opened before this process started.
        self._entry_address_by_flow.put(packet.flow, envelope.entry_address, now)
        self._deliver(packet, envelope)

    def _may_be_open_here(self, flow: FlowKey, envelope: Envelope, now: float) -> bool:
        """Return whether to try the upstream with a packet whose flow isn't tracked."""
        if self._upstream.is_down:
            return False
        if self._locations.find(flow, now) == self.settings.address:
            return True
        is_directory = envelope.stage is SearchStage.DIRECTORY
        return not is_directory and not self._flows.is_absent(flow, now)

    def _presence(self, flow: FlowKey, now: float) -> FlowAnswer:
        """Return what this agent knows of a flow."""
        agent = self.settings.address
        presence = FlowPresence.UNCERTAIN
        record = self._flows.get(flow)
        located = self._locations.find(flow, now)
        if record is not None:
            is_closed = record.state is FlowState.CLOSED
            presence = FlowPresence.CLOSED if is_closed else FlowPresence.OPEN
        elif located == agent and not self._upstream.is_down:
            presence = FlowPresence.OPEN
        elif located not in (None, agent):
            agent, presence = located or agent, FlowPresence.RECORDED
        elif self._upstream.is_down or self._flows.is_absent(flow, now):
            presence = FlowPresence.ABSENT
        return FlowAnswer(flow=flow, presence=presence, agent=agent)

    def _forward_opening(self, envelope: Envelope, agent: str, stage: SearchStage) -> None:
        self._detail_requester.on_sent(agent, self.loop.now())
        self._forward(envelope, agent, stage)

    def _forward(self, envelope: Envelope, agent: str, stage: SearchStage) -> None:
        forwarded = replace(envelope, hops=min(envelope.hops + 1, 255), stage=stage)
        self.peers.send(encode_envelope(forwarded), (agent, self.settings.peer_port))

    def _report_location(self, flow: FlowKey, entry_address: str) -> None:
        """Report to the balancer that received a packet that its flow is open here."""
        located = FlowLocationUpdate(agent_address=self.settings.address, flows=(flow,))
        self.metrics.count("flows_located_total")
        self.log.write(Event.FLOW_LOCATED, flow=flow_text(flow), balancer=entry_address)
        self.peers.send(
            encode_locations(DatagramKind.LOCATED, located),
            (entry_address, self.settings.peer_port),
        )

    # Packets to and from the upstream.

    def _deliver(self, packet: FlowPacket, envelope: Envelope) -> None:
        """Hand a packet to the upstream, which returns one that it can't use with the same echo."""
        echo = self._next_echo
        self._next_echo = echo % DELIVERIES_LIMIT + 1
        self._delivered_by_echo[echo] = (packet.flow, envelope)
        self._outputs.send(self.packet_codec.with_echo(packet.raw, echo), self._upstream_endpoint)

    def _on_upstream_datagram(self, datagram: bytes, _sender: Endpoint) -> None:
        now = self.loop.now()
        try:
            packet = self.packet_codec.decode_from_upstream(datagram)
        except MalformedPacketError as error:
            self.drop(error.reason, sender="upstream", size=error.size)
            return
        self._upstream.on_packet(packet.flow)
        if packet.is_bounced:
            self._on_bounced(packet, now)
            return
        if self._flows.track_upstream_packet(packet, now):
            entry_address = self._entry_address_by_flow.get(packet.flow, now)
            if entry_address is not None:
                self._report_location(packet.flow, entry_address)
            ranking = self.directory.agent_ranking
            for node in self._locations.announce(packet.flow, ranking, now):
                self._send_records_to(node, self.settings.address, [packet.flow])
        self._outputs.send(datagram, self.client_endpoint(packet.flow))
        self._admission.admit_held(now)

    def _on_bounced(self, packet: FlowPacket, now: float) -> None:
        flow, delivered = self._delivered_by_echo.get(packet.echo, (None, None))
        record = self._flows.get(packet.flow)
        was_open_here = record is not None and record.state is FlowState.OPEN
        self._flows.forget_returned(packet.flow, now)
        if delivered is None or flow != packet.flow:
            # The upstream returned it so late that its number belongs to a later delivery.
            self.drop("unknown_echo", flow=flow_text(packet.flow))
            return
        self._locations.forget(packet.flow)
        raw = self.packet_codec.with_echo(packet.raw, 0)
        envelope = replace(delivered, raw=raw)
        packet = self.packet_codec.decode_from_client(raw)
        if packet.is_opening:
            self._upstream.on_refusal(now)
            self._admission.on_refused_by_upstream(packet, envelope, now)
        elif was_open_here:
            # The flow was open here and its upstream has lost it: no other upstream can hold it.
            self._warm_up.on_restart(now)
            self._work.on_restart()
            if not packet.is_reset:
                self._reset(packet.flow, packet.acknowledged, "lost_by_upstream")
        else:
            self._search.forward(packet, envelope, now)

    def _is_open_here(self, flow: FlowKey) -> bool:
        """Return whether this agent has admitted or holds an opening packet of ``flow``."""
        return self._flows.get(flow) is not None or self._admission.is_holding(flow)

    def _refuse_opening(self, flow: FlowKey, acknowledged: int, reason: str) -> None:
        now = self.loop.now()
        agent = self._admission.handover_agent(flow, now)
        self._refusal_check.refuse(flow, acknowledged, reason, handover_agent=agent, now=now)

    def _reset(self, flow: FlowKey, acknowledged: int, reason: str, **fields: object) -> None:
        reset = self.reset_flow(flow, acknowledged=acknowledged, reason=reason, **fields)
        self._outputs.send(reset, self.client_endpoint(flow))

    def _reset_not_found(
        self, flow: FlowKey, acknowledged: int, agents: int, unanswered: int
    ) -> None:
        self._reset(flow, acknowledged, "not_found", agents=agents, unanswered=unanswered)

    # Upkeep.

    def _upkeep(self) -> None:
        now = self.loop.now()
        self._request_records(now)
        self._probe_unconfigured(now)
        self._admission.upkeep(now)
        self.report_unevenness(self._selector)
        for envelope in self._upstream.take_unanswered(now):
            packet = self.packet_codec.decode_from_client(envelope.raw)
            self._admission.hand_over(packet, envelope, "unanswered", now)
        if self.is_stopping and not self._upstream.is_probing:
            stopping_s = now - self.stopping_since
            is_complete = self._is_stop_complete(stopping_s)
            if is_complete or stopping_s > STOP_WAIT_S:
                self._admission.refuse_held()
            if is_complete:
                self.finish()

    def _is_stop_complete(self, stopping_s: float) -> bool:
        if self._has_draining_upstream and self._flows.open_flows:
            # No other agent can forward for it.
            return stopping_s > self.settings.stop_grace_s - STOP_MARGIN_S
        unfinished = self._flows.busy + self._flows.arriving
        return unfinished == 0 or stopping_s > STOP_WAIT_S or self._upstream.is_down

    def _on_upstream_down(self) -> None:
        """Reset all open flows of the upstream that has ended, unless it is only draining."""
        self._work.on_restart()
        self.log.write(
            Event.UPSTREAM_DOWN,
            outcome="draining" if self._has_draining_upstream else None,
            upstream=self._upstream_endpoint[0],
            flows=self._flows.open_flows,
        )
        if not self._has_draining_upstream:
            self._reset_open_flows()

    def _reset_open_flows(self) -> None:
        for flow in self._flows.opened_at_by_flow():
            record = self._flows.get(flow)
            if record is not None:
                self._reset(flow, record.client_acknowledged, "upstream_down")
            self._flows.forget(flow, self.loop.now())

    def _expire(self) -> None:
        now = self.loop.now()
        if now - self._expired_at > PAUSE_THRESHOLD_S + EXPIRY_INTERVAL_S:
            # Packets that arrived while the process was paused may be lost.
            self._flows.note_gap(now)
        self._expired_at = now
        self._flows.expire(now)
        self._inquiries.expire(now)
        self._search.expire(now)
        self._refusal_check.expire(now)
        self._locations.expire(now)
        self._admission.expire(now)
        self._entry_address_by_flow.expire(now)
        self._reporter.expire(now)
        self._send_records(now)
        self.metrics.gauge("flows_open", self._flows.open_flows)
        self.metrics.gauge("requests_busy", self._flows.busy)
        self.metrics.gauge("requests_arriving", self._flows.arriving)
        self.metrics.gauge("upstream_warming_up", self._warm_up.is_in_force(now))
        for seconds in self._flows.answer_seconds:
            self.metrics.observe("upstream_answer_seconds", seconds)
        self._flows.answer_seconds.clear()
        self._report_work(now)

    def _report_work(self, now: float) -> None:
        self.metrics.gauge("expected_work_seconds", self._work.expected_s() or 0.0)
        self.metrics.gauge("expected_wait_seconds", self._expected_wait_s(now))
        self.metrics.gauge("flow_demand", self._work.demand(now))
        for ratio in self._work.error_ratios:
            self.metrics.observe("work_error_ratio", ratio)
        self._work.error_ratios.clear()

    def _expected_wait_s(self, now: float) -> float:
        # Flows that are about to send their first request count as busy and aren't complete yet.
        due = max(self._flows.busy - self._work.requests, 0) + self._admission.held
        return self._work.expected_wait_s(now, due=due)

    def _expected_answer_s(self, now: float) -> float | None:
        work_s = self._work.expected_s()
        return None if work_s is None else self._expected_wait_s(now) + work_s

    def _send_records(self, now: float) -> None:
        """Announce open flows to their directory nodes.

        They are announced again before the records expire, and after the agents have changed.
        """
        if self.directory.agents_changed_at > now - 2 * EXPIRY_INTERVAL_S:
            self._locations.announce_all()
        self._send_due_records(now)

    def _send_due_records(self, now: float) -> None:
        flows_by_node = self._locations.due_announcements(
            self._flows.opened_at_by_flow(), self.directory.agent_ranking, now
        )
        for node, flows in flows_by_node.items():
            self._send_records_to(node, self.settings.address, flows)

    def _send_records_to(self, node: str, holder: str, flows: list[FlowKey]) -> None:
        for start in range(0, len(flows), FLOWS_PER_DATAGRAM):
            located = FlowLocationUpdate(
                agent_address=holder, flows=tuple(flows[start : start + FLOWS_PER_DATAGRAM])
            )
            self.peers.send(
                encode_locations(DatagramKind.RECORDS, located), (node, self.settings.peer_port)
            )

    def _request_records(self, now: float) -> None:
        """After the start, request the records that this agent should have."""
        if self._record_recovery.is_complete:
            return
        self._send_due_records(now)
        for agent in self._record_recovery.due(self._others(self.directory.all_agents), now):
            request = bytes((DatagramKind.RECORDS_REQUEST,))
            self.peers.send(request, (agent, self.settings.peer_port))

    def _probe_unconfigured(self, now: float) -> None:
        """Find out at which addresses of services that aren't configured an agent runs."""
        for agent in self._contacts.due(self._others(self.directory.unconfigured_agents), now):
            self.peers.send(bytes((DatagramKind.PROBE,)), (agent, self.settings.peer_port))

    def _others(self, agents: Iterable[str]) -> list[str]:
        return [agent for agent in agents if agent != self.settings.address]

    def _send_recovered_records(self, agent: str, now: float) -> None:
        """Answer an agent's request for records; an empty datagram says that there are none."""
        records = self._locations.records_for(agent, now)
        for holder, flows in records.items():
            self._send_records_to(agent, holder, flows)
        if not any(records.values()):
            none = FlowLocationUpdate(agent_address=self.settings.address, flows=())
            self.peers.send(
                encode_locations(DatagramKind.RECORDS, none), (agent, self.settings.peer_port)
            )

    @property
    def _load_report(self) -> LoadReport:
        now = self.loop.now()
        return LoadReport(
            busy=self._flows.busy,
            open_flows=self._flows.open_flows,
            slots=self._slots,
            is_available=self._is_available and self._warm_up.has_room(now),
            is_failing=self._outlier_detector.is_failing(now),
            arriving=self._flows.arriving,
            work=WorkReport(
                wait_s=self._expected_wait_s(now),
                work_s=self._work.expected_s(),
                demand=self._work.demand(now),
                samples=self._work.samples,
            ),
        )

    def _report_failing_change(self, now: float) -> None:
        """Log when the upstream starts to fail and new flows avoid it, and when that ends."""
        is_failing = self._outlier_detector.is_failing(now)
        if is_failing != self._was_failing:
            self._was_failing = is_failing
            self.log.write(
                Event.UPSTREAM_FAILING,
                outcome="avoided" if is_failing else "back",
                upstream=self._upstream_endpoint[0],
                usual_answer_s=round(self._outlier_detector.baseline_s, 4),
                flows=self._flows.open_flows,
            )
            self.metrics.gauge("upstream_failing", is_failing)

    def _send_load(self) -> None:
        self._flows.settle(self.loop.now())
        self._report_failing_change(self.loop.now())
        self._reporter.send(self._load_report, self.loop.now())
