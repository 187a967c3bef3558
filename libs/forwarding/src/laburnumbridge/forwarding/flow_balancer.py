"""The process on an entry VM that forwards packets of flows."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from laburnumbridge.catalog import RouteIndex
from laburnumbridge.core import Choice
from laburnumbridge.core import Event
from laburnumbridge.core import hash64
from laburnumbridge.flows import ExpiringMap
from laburnumbridge.flows import MalformedPacketError
from laburnumbridge.flows import MalformedPeerDatagramError
from laburnumbridge.flows import PacketBuffer
from laburnumbridge.flows import UpstreamSelector
from laburnumbridge.flows.peer_datagrams import DatagramKind
from laburnumbridge.flows.peer_datagrams import Envelope
from laburnumbridge.flows.peer_datagrams import SearchStage
from laburnumbridge.flows.peer_datagrams import decode_load
from laburnumbridge.flows.peer_datagrams import decode_load_detail
from laburnumbridge.flows.peer_datagrams import decode_locations
from laburnumbridge.flows.peer_datagrams import encode_envelope
from laburnumbridge.forwarding.detail_requester import DetailRequester
from laburnumbridge.forwarding.endpoints import parse_endpoint
from laburnumbridge.forwarding.forwarding_process import STOP_MARGIN_S
from laburnumbridge.forwarding.forwarding_process import ForwardingProcess
from laburnumbridge.forwarding.forwarding_process import flow_text
from laburnumbridge.forwarding.opening_decision import OpeningDecision
from laburnumbridge.forwarding.service_directory import service_tag

if TYPE_CHECKING:
    from collections.abc import Collection

    from laburnumbridge.catalog import CatalogUpdate
    from laburnumbridge.catalog import Route
    from laburnumbridge.flows import Candidate
    from laburnumbridge.flows import FlowKey
    from laburnumbridge.flows import FlowPacket
    from laburnumbridge.forwarding.endpoints import Endpoint
    from laburnumbridge.forwarding.placement_explanation import PlacementExplanation

FLOWS_LIMIT = 100_000
"""4.8 million flows on 780 balancers are 6,200 each; this allows 16 times that, for the time when
most balancers are lost."""
LOCATION_TTL_S = 30.0
"""How long a flow's location is kept: longer than the idle time-out of flows. A search finds the
flow afterwards."""
AVOID_S = 1.0
"""An agent that left an opening packet unanswered gets no new flow for this long, while another one
can take it."""
SEARCH_ATTEMPT_S = 0.1
"""Packets of a flow sent within this time belong to one attempt; the client's first retransmission
comes after 0.2 s."""
SEARCH_ATTEMPTS_TTL_S = 2.0
SEARCHES_LIMIT = 8_192
EARLY_MAX_WAIT_S = 1.0
"""A packet waits this long at most for the first view, which a process has 0.4 s after its start,
also when all processes start at once."""
EARLY_PACKETS_LIMIT = 512
"""At 1.3 KB a packet this is below a megabyte of the smallest VM's memory."""
IDLE_S = 0.6
"""A balancer without packets for this long is out of rotation: the fabric checks readiness twice a
second."""
MIN_STOP_S = 1.2
"""A stop takes at least this long: the fabric drops a balancer only after two failed checks."""
UPKEEP_INTERVAL_S = 0.25
PROBED_AGENTS = 3
"""Agents probed each ``UPKEEP_INTERVAL_S`` while none answers; more than one, since some may be
lost or have failed."""
PROBE_AFTER_S = 0.2
"""Agents are probed from this time of silence on, so that two rounds of probes come before the
balancer counts as isolated: the only agents that it has sent to may be those that are lost."""


class FlowBalancer(ForwardingProcess):
    """Sends opening packets to agents by load, and other packets to the agent of their flow.

    The locations of flows are only a cache: a packet whose flow has none goes to the agent that
    keeps the flow's record.
    """

    def __init__(self, **arguments: Any) -> None:
        super().__init__(**arguments)
        self._packets = self.network.datagram_port(
            parse_endpoint(self.settings.packet_endpoint), self._on_client_datagram
        )
        self._selector = UpstreamSelector(
            seed=hash64(self.settings.process.encode()),
            failure_domain=self.settings.failure_domain,
        )
        self._detail_requester = DetailRequester(port=self.peers, peer_port=self.settings.peer_port)
        self._agent_by_flow: ExpiringMap[FlowKey, str] = ExpiringMap(
            ttl_s=LOCATION_TTL_S, limit=FLOWS_LIMIT
        )
        self._search_by_flow: ExpiringMap[FlowKey, tuple[int, float]] = ExpiringMap(
            ttl_s=SEARCH_ATTEMPTS_TTL_S, limit=SEARCHES_LIMIT
        )
        self._early_packets: PacketBuffer[FlowPacket] = PacketBuffer(
            max_wait_s=EARLY_MAX_WAIT_S, limit=EARLY_PACKETS_LIMIT
        )
        self._had_view = False
        self._last_packet_at = self.loop.now()
        self._is_isolated = False
        self._probe_choice = Choice(seed=hash64(self.settings.process.encode()))

    def start(self) -> None:
        """Open all sockets. Raises OSError."""
        # First, so that the packets of clients wait in the socket during the rest of the start.
        self._packets.start()
        super().start()
        self.loop.call_every(UPKEEP_INTERVAL_S, self._upkeep)

    def close(self) -> None:
        """Close all sockets."""
        self._packets.close()
        super().close()

    def stop(self) -> None:
        """Leave the rotation, and end when the fabric sends no more packets."""
        self.begin_stop(flows=len(self._agent_by_flow))

    def on_view_change(self, update: CatalogUpdate) -> None:
        """Drop the load of removed agents; with the first view, dispatch the buffered packets."""
        if update.entries or update.removals:
            self._selector.retain(self.directory.listed_agents)
            self._detail_requester.retain(self.directory.listed_agents)
        if not self._had_view and self.view.catalog.is_ready:
            self._had_view = True
            self.metrics.count("packets_early_total", amount=len(self._early_packets))
            for packet in self._early_packets.pop_all():
                self._dispatch(packet, self.loop.now())

    def on_peer_datagram(self, datagram: bytes, sender: Endpoint) -> None:
        """Handle load reports and locations of flows."""
        kind = datagram[0] if datagram else 0
        now = self.loop.now()
        try:
            if kind == DatagramKind.LOAD:
                self._selector.on_load_report(sender[0], decode_load(datagram), now)
            elif kind == DatagramKind.LOAD_DETAIL:
                self._selector.on_load_report(sender[0], decode_load_detail(datagram), now)
            elif kind == DatagramKind.LOCATED:
                located = decode_locations(datagram)
                for flow in located.flows:
                    self.record_location(flow, located.agent_address)
            else:
                raise MalformedPeerDatagramError(reason=f"kind {kind}", size=len(datagram))
        except MalformedPeerDatagramError as error:
            self.drop("peer_malformed", peer=sender[0], fault=error.reason)
            return
        self._selector.on_received(sender[0], now)

    def record_location(self, flow: FlowKey, agent: str) -> None:
        """Record that ``flow`` is open at ``agent``."""
        self._agent_by_flow.put(flow, agent, self.loop.now())
        self._search_by_flow.pop(flow)

    def _on_client_datagram(self, datagram: bytes, sender: Endpoint) -> None:
        now = self.loop.now()
        self._last_packet_at = now
        try:
            packet = self.packet_codec.decode_from_client(datagram)
        except MalformedPacketError as error:
            self.drop(error.reason, sender=sender[0], size=error.size)
            return
        if self._had_view:
            self._dispatch(packet, now)
        elif not self._early_packets.put(packet, now):
            self.drop("too_many_early", flow=flow_text(packet.flow))

    def _dispatch(self, packet: FlowPacket, now: float) -> None:
        if not self.directory.has_routes:
            self.drop("no_view", flow=flow_text(packet.flow))
            return
        route = self.directory.route(packet.flow)
        if route is None:
            self._refuse_unrouted(packet, now)
        elif packet.is_opening:
            self._open(packet, route, now)
        else:
            self._forward(packet, route, now)

    def _open(self, packet: FlowPacket, route: Route, now: float) -> None:
        decision = self._decide(packet.flow, route, self._selector, now)
        agent = decision.agent
        if agent is None:
            self._reset(packet, decision.refusal)
            return
        service = decision.service
        if decision.is_repeated:
            self._send(packet, agent, service, SearchStage.DIRECT, now)
            return
        if decision.is_overflow:
            self.metrics.count("flows_overflowed_total")
        self._agent_by_flow.put(packet.flow, agent, now)
        self.metrics.count("flows_placed_total")
        self.metrics.count(
            "placements_total", "uneven" if self._selector.is_uneven(service) else "even"
        )
        self.log.write(
            Event.FLOW_PLACED,
            outcome="copy" if decision.located_agent else "first",
            flow=flow_text(packet.flow),
            route=route.name,
            agent=agent,
            candidates=len(decision.candidates),
            revision=self.view.catalog.revision,
            view_age_s=self.view_age_s(),
        )
        self._send(packet, agent, service, SearchStage.DIRECT, now)

    def _decide(
        self, flow: FlowKey, route: Route, selector: UpstreamSelector, now: float
    ) -> OpeningDecision:
        """Decide where an opening packet goes, and count a placement at ``selector`` only."""
        selected_service = RouteIndex.service(route, flow)
        is_long = route.is_retryable and not route.is_transfer
        located_agent = self._agent_by_flow.get(flow, now)
        excluded: tuple[str, ...] = ()
        if located_agent is not None:
            # A copy of an opening packet. A responsive agent has received the first one.
            if selector.is_responsive(located_agent, now):
                return OpeningDecision(
                    agent=located_agent,
                    service=self._located_service(route, selected_service, located_agent),
                    selected_service=selected_service,
                    is_long=is_long,
                    located_agent=located_agent,
                    is_repeated=True,
                )
            selector.avoid(located_agent, now + AVOID_S)
            excluded = (located_agent,)
        candidates = self.directory.candidates(selected_service, now)
        overflow = self._overflow(
            route, selected_service, candidates, selector, is_long=is_long, excluded=excluded
        )
        agent, service = overflow or (
            selector.choose(
                candidates, is_long=is_long, now=now, excluded=excluded, service=selected_service
            ),
            selected_service,
        )
        agent = agent or located_agent
        refusal = ""
        if agent is None:
            refusal = "evacuated" if self.directory.is_evacuated(service) else "no_upstream"
        return OpeningDecision(
            agent=agent,
            service=service,
            selected_service=selected_service,
            is_long=is_long,
            located_agent=located_agent,
            is_overflow=overflow is not None,
            refusal=refusal,
            candidates=candidates,
            excluded=excluded,
        )

    def serve_placement(self, path: str) -> tuple[int, bytes]:
        """Answer the query where an opening packet would be sent; nothing is sent or counted."""
        # Imported with the first query: urllib.parse would delay the start.
        from laburnumbridge.forwarding.placement_query import answer_placement_query

        if not self._had_view or not self.directory.has_routes:
            return 503, b"no view of the fleet yet\n"
        return answer_placement_query(path, self.explain_placement)

    def explain_placement(self, flow: FlowKey) -> PlacementExplanation:
        """Return where an opening packet of ``flow`` would be sent now, and why."""
        from laburnumbridge.forwarding.placement_explanation import ExcludedUpstream
        from laburnumbridge.forwarding.placement_explanation import PlacementExplanation

        now = self.loop.now()
        route = self.directory.route(flow)
        process, text, age_s = self.settings.process, flow_text(flow), self.view_age_s()
        if route is None:
            return PlacementExplanation(
                process=process, flow=text, outcome="no_route", view_age_s=age_s
            )
        trial = self._selector.copy()
        decision = self._decide(flow, route, trial, now)
        service = decision.service
        candidates = self.directory.candidates(service, now)
        scored = self._selector.explain(
            candidates,
            is_long=decision.is_long,
            now=now,
            excluded=decision.excluded,
            service=service,
            only_idle=decision.is_overflow,
        )
        excluded = [
            ExcludedUpstream(agent=entry.address, failure_domain=entry.failure_domain, reason=why)
            for entry, why in self.directory.excluded(service)
        ]
        usable = {one.agent for one in scored}
        excluded += [
            ExcludedUpstream(
                agent=one.agent,
                failure_domain=one.failure_domain,
                reason="unanswered" if one.agent in decision.excluded else "no_free_slot",
            )
            for one in candidates
            if one.agent not in usable
        ]
        outcome = "overflow" if decision.is_overflow else decision.refusal or "placed"
        return PlacementExplanation(
            process=process,
            flow=text,
            outcome="located" if decision.is_repeated else outcome,
            agent=decision.agent,
            route=route.name,
            priority=route.priority,
            target_latency_ms=route.target_latency_ms,
            is_long=decision.is_long,
            selected_service=decision.selected_service,
            service=service,
            method="uneven" if trial.is_uneven(service) else "even",
            view_age_s=age_s,
            candidates=scored,
            excluded=excluded,
        )

    def _overflow(
        self,
        route: Route,
        service: str,
        candidates: Collection[Candidate],
        selector: UpstreamSelector,
        *,
        is_long: bool,
        excluded: Collection[str],
    ) -> tuple[str, str] | None:
        """Return an agent with a free slot and its service, another one of the route.

        It is None unless all upstreams of the selected service are known to be full. Only routes
        with a target latency and services with uneven upstreams overflow, so that the weights hold
        strictly elsewhere.
        """
        if len(route.shares) == 1:
            return None
        if not route.target_latency_ms and not selector.is_uneven(service):
            return None
        now = self.loop.now()
        if not selector.is_full(candidates, now):
            return None
        for share in route.shares:
            if not share.weight or share.service == service:
                continue
            agent = selector.choose_idle(
                self.directory.candidates(share.service, now),
                now=now,
                is_long=is_long,
                excluded=excluded,
                service=share.service,
            )
            if agent is not None:
                return agent, share.service
        return None

    def _located_service(self, route: Route, service: str, agent: str) -> str:
        """Return the service that the first copy of an opening packet was sent with."""
        if len(route.shares) == 1 or self.directory.serves(agent, service):
            return service
        others = (share.service for share in route.shares)
        return next((other for other in others if self.directory.serves(agent, other)), service)

    def _forward(self, packet: FlowPacket, route: Route, now: float) -> None:
        service = RouteIndex.service(route, packet.flow)
        agent = self._agent_by_flow.touch(packet.flow, now)
        # An agent of any service: the route may have moved to another one since the flow opened.
        is_usable = agent in self.directory.listed_agents or (
            agent is not None and self._selector.is_responsive(agent, now)
        )
        if agent is not None and is_usable:
            self._send(packet, agent, service, SearchStage.DIRECT, now)
            return
        # No location, or an agent that is no longer listed and is unresponsive.
        step = self.directory.search_order(service_tag(service)).first_step(
            packet.flow,
            attempt=self._search_attempt(packet.flow, now),
            is_responsive=lambda agent: self._selector.is_responsive(agent, now),
        )
        if step is None:
            self.drop("no_agent", flow=flow_text(packet.flow), route=route.name)
            return
        self.metrics.count("flows_searched_total")
        self.log.write(
            Event.FLOW_SEARCHED, outcome="unknown", flow=flow_text(packet.flow), agent=step.agent
        )
        self._send(packet, step.agent, service, step.stage, now)

    def _search_attempt(self, flow: FlowKey, now: float) -> int:
        """Return how many searches for the flow were left unanswered."""
        attempt, began_at = self._search_by_flow.get(flow, now) or (-1, 0.0)
        if attempt < 0 or now - began_at > SEARCH_ATTEMPT_S:
            attempt += 1
            self._search_by_flow.put(flow, (attempt, now), now)
        return attempt

    def _refuse_unrouted(self, packet: FlowPacket, now: float) -> None:
        has_location = self._agent_by_flow.get(packet.flow, now) is not None
        if packet.is_opening or has_location:
            self._reset(packet, "no_route")
        else:
            # This view may lag: another balancer, with a newer configuration, may have opened it.
            self.drop("no_route", flow=flow_text(packet.flow))

    def _send(
        self, packet: FlowPacket, agent: str, service: str, stage: SearchStage, now: float
    ) -> None:
        self.metrics.count("packets_forwarded_total")
        self._selector.on_sent(agent, now)
        self._detail_requester.on_sent(agent, now)
        envelope = Envelope(
            stage=stage,
            hops=0,
            service_tag=service_tag(service),
            entry_address=self.settings.address,
            raw=packet.raw,
        )
        self.peers.send(encode_envelope(envelope), (agent, self.settings.peer_port))

    def _reset(self, packet: FlowPacket, reason: str) -> None:
        if packet.is_reset:
            return
        reset = self.reset_flow(packet.flow, acknowledged=packet.acknowledged, reason=reason)
        self._packets.send(reset, self.client_endpoint(packet.flow))

    @property
    def unready_reason(self) -> str | None:
        """Why the fabric should send packets to other balancers, or None when this one is ready."""
        if self._is_isolated:
            return "no agent answers"
        return super().unready_reason

    def _update_isolation(self, now: float) -> None:
        """Leave the rotation while no agent answers, also not the probed ones."""
        is_isolated = self._selector.is_isolated(now)
        if is_isolated != self._is_isolated:
            self._is_isolated = is_isolated
            self.log.write(Event.AGENTS_UNREACHABLE, outcome="lost" if is_isolated else "regained")
        if self._selector.silent_s(now) > PROBE_AFTER_S:
            agents = list(self.directory.agent_ranking.agents)
            for agent in self._probe_choice.sample(agents, PROBED_AGENTS):
                self.peers.send(bytes((DatagramKind.PROBE,)), (agent, self.settings.peer_port))

    def _upkeep(self) -> None:
        now = self.loop.now()
        self._update_isolation(now)
        self.report_unevenness(self._selector)
        for packet in self._early_packets.expire(now):
            self._dispatch(packet, now)
        self._agent_by_flow.expire(now)
        self._search_by_flow.expire(now)
        self.metrics.gauge("flows_known", len(self._agent_by_flow))
        if self.is_stopping:
            self._finish_when_idle(now)

    def _finish_when_idle(self, now: float) -> None:
        stopping_s = now - self.stopping_since
        is_idle = now - self._last_packet_at > IDLE_S
        if stopping_s > self.settings.stop_grace_s - STOP_MARGIN_S or (
            stopping_s > MIN_STOP_S and is_idle
        ):
            self.finish()
