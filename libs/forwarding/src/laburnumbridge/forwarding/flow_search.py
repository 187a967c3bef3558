"""The search for the agent that holds a flow."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from msgspec.structs import replace

from laburnumbridge.flows import ExpiringMap
from laburnumbridge.flows.peer_datagrams import MAX_CANDIDATES
from laburnumbridge.flows.peer_datagrams import NO_AGENT
from laburnumbridge.flows.peer_datagrams import SearchStage
from laburnumbridge.forwarding.forwarding_process import flow_text

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.flows import AgentContacts
    from laburnumbridge.flows import FlowKey
    from laburnumbridge.flows import FlowPacket
    from laburnumbridge.flows import InquiryResult
    from laburnumbridge.flows import SearchOrder
    from laburnumbridge.flows.peer_datagrams import Envelope
    from laburnumbridge.forwarding.flow_inquiries import FlowInquiries
    from laburnumbridge.forwarding.forwarding_process import ForwardingProcess

MAX_HOPS = 200
"""Ends a search in which agents use different rankings; any other ends with the last agent."""
SETTLE_S = 0.3
"""A search that found nothing is final only if no agent was added for this long: the first agents
of the search may not have had the new entry yet. A change reaches all processes within a tenth of
this. A removed agent can't hold a flow, since its upstream has ended."""
REPEATED_SEARCHES_LIMIT = 512
"""Packets that may wait for another search; at 1.3 KB each they stay below a megabyte."""
REPEATS_PER_FLOW = 3
"""Ends the repetitions of a search while the platform is unavailable; the client's next packet
begins another one."""
REPEATS_TTL_S = 3.0
INQUIRY_STAGES = (SearchStage.DIRECT, SearchStage.DIRECTORY, SearchStage.RECORDED)
"""In the other stages the packet is on its way along the ranking."""
MAX_INQUIRY_HOPS = 8
"""Ends a search in which agents claim a flow that their upstreams return; the ranking follows."""
WAITING_PER_FLOW = 16
"""Packets of a flow that wait for an inquiry, 21 KB; the client repeats any others."""
MAX_VIEW_AGE_S = 5.0
"""Another process starts to read the platform after 2.7 s at the latest. A view older than this
means that the platform is unavailable, and the view may lack an agent that has started since."""


class FlowSearch:
    """Finds the agent of a packet whose flow isn't held here, and forwards the packet there.

    It asks the agents first, so that no other upstream gets the packet. Only if none of them knows
    the flow does the packet visit those that can't tell. Agents of a version that doesn't answer
    queries are searched by forwarding the packet along the ranking.

    Agents of services that aren't configured are asked as well. Only if nobody has ever answered at
    such an address, as ``contacts`` tell, its silence doesn't keep the search from ending.

    Calls ``reset`` once no agent can hold the flow: with the flow, the acknowledged sequence
    number, the number of all agents, and that of addresses at which none seems to run.
    """

    def __init__(
        self,
        *,
        process: ForwardingProcess,
        inquiries: FlowInquiries,
        contacts: AgentContacts,
        forward: Callable[[Envelope, str, SearchStage], None],
        reset: Callable[[FlowKey, int, int, int], None],
    ) -> None:
        self._process = process
        self._inquiries = inquiries
        self._contacts = contacts
        self._forward = forward
        self._reset = reset
        self._pending_repeats = 0
        self._waiting_by_flow: dict[FlowKey, list[tuple[FlowPacket, Envelope]]] = {}
        self._repeats_by_flow: ExpiringMap[FlowKey, int] = ExpiringMap(
            ttl_s=REPEATS_TTL_S, limit=REPEATED_SEARCHES_LIMIT
        )

    def drop_after_max_hops(self, packet: FlowPacket, envelope: Envelope) -> bool:
        """Drop a packet that was forwarded ``MAX_HOPS`` times; return whether it was dropped."""
        if envelope.hops < MAX_HOPS:
            return False
        self._process.drop("hops", flow=flow_text(packet.flow))
        return True

    def forward(self, packet: FlowPacket, envelope: Envelope, now: float) -> None:
        """Search for the flow of a packet that this agent's upstream doesn't hold."""
        if envelope.stage is SearchStage.CANDIDATES:
            self._forward_to_next_candidate(packet, envelope, now)
        elif envelope.stage not in INQUIRY_STAGES or envelope.hops >= MAX_INQUIRY_HOPS:
            self._walk(packet, envelope, now)
        elif not self._process.view.catalog.is_ready:
            self._end_search(packet, envelope, now)
        else:
            self._inquire(packet, envelope, now)

    def expire(self, now: float) -> None:
        """Drop expired counts of repeated searches."""
        self._repeats_by_flow.expire(now)

    def _inquire(self, packet: FlowPacket, envelope: Envelope, now: float) -> None:
        waiting = self._waiting_by_flow.get(packet.flow)
        if waiting is not None:
            if len(waiting) == WAITING_PER_FLOW:
                waiting.pop(0)
            waiting.append((packet, envelope))
            return
        self._waiting_by_flow[packet.flow] = [(packet, envelope)]
        is_started = self._inquiries.start(
            packet.flow,
            self._ranked_agents(packet.flow),
            partial(self._on_result, packet.flow),
            optional=self._unanswered(now),
            # A packet in stage RECORDED has followed a record to an agent without the flow.
            uses_records=envelope.stage is not SearchStage.RECORDED,
        )
        if not is_started:
            del self._waiting_by_flow[packet.flow]
            self._walk_from_first(packet, envelope, now)

    def _ranked_agents(self, flow: FlowKey) -> list[str]:
        """Return all agents in the order for a flow, those of configured services first."""
        directory = self._process.directory
        return [*directory.agent_ranking.ranked(flow), *directory.further_ranking.ranked(flow)]

    def _unanswered(self, now: float) -> frozenset[str]:
        """Return the addresses at which no agent seems to run."""
        return self._contacts.unanswered(self._process.directory.unconfigured_agents, now)

    def _on_result(self, flow: FlowKey, result: InquiryResult) -> None:
        waiting = self._waiting_by_flow.pop(flow)
        if result.holder is not None:
            for _, envelope in waiting:
                self._process.metrics.count("search_hops_total")
                self._forward(envelope, result.holder, SearchStage.RECORDED)
            return
        # The client repeats the other packets; each would visit the upstreams of others.
        packet, envelope = waiting[-1]
        now = self._process.loop.now()
        if result.unaware or len(result.uncertain) >= MAX_CANDIDATES:
            self._walk_from_first(packet, envelope, now)
        elif result.uncertain:
            candidates = (*result.uncertain, *((NO_AGENT,) if result.silent else ()))
            visit = replace(envelope, stage=SearchStage.CANDIDATES, tried=candidates)
            self._forward_to_next_candidate(packet, visit, now)
        elif result.silent:
            self._process.drop("agent_silent", flow=flow_text(flow), agents=len(result.silent))
        else:
            self._end_search(packet, envelope, now)

    def _forward_to_next_candidate(
        self, packet: FlowPacket, envelope: Envelope, now: float
    ) -> None:
        following = envelope.tried[:1]
        if not following:
            self._end_search(packet, envelope, now)
        elif following[0] == NO_AGENT:
            self._process.drop("agent_silent", flow=flow_text(packet.flow))
        else:
            self._process.metrics.count("search_hops_total")
            remaining = replace(envelope, tried=envelope.tried[1:])
            self._forward(remaining, following[0], SearchStage.CANDIDATES)

    def _walk_from_first(self, packet: FlowPacket, envelope: Envelope, now: float) -> None:
        """Forward a packet to the first agent of the ranking, which may be this one.

        The second directory node would only ask the same agents again.
        """
        order = self._search_order(envelope, now)
        uses_records = envelope.stage is not SearchStage.RECORDED
        step = order.first_walk_step(packet.flow, uses_records=uses_records)
        if step is None:
            self._end_search(packet, envelope, now)
            return
        self._process.metrics.count("search_hops_total")
        self._forward(envelope, step.agent, step.stage)

    def _walk(self, packet: FlowPacket, envelope: Envelope, now: float) -> None:
        """Forward a packet to the next agent of the ranking, or end the search."""
        step = self._search_order(envelope, now).next_step(
            packet.flow, agent=self._process.settings.address, stage=envelope.stage
        )
        if step is None:
            self._end_search(packet, envelope, now)
            return
        self._process.metrics.count("search_hops_total")
        self._forward(envelope, step.agent, step.stage)

    def _search_order(self, envelope: Envelope, now: float) -> SearchOrder:
        return self._process.directory.search_order(
            envelope.service_tag, excluded=self._unanswered(now)
        )

    def _end_search(self, packet: FlowPacket, envelope: Envelope, now: float) -> None:
        """Reset a flow that no agent holds, if the view is fresh, complete and settled.

        Otherwise search again after ``SETTLE_S``: the client repeats its packet only after up to
        1.6 s. A process that has started gets heartbeats before it has the entries of upstreams.
        """
        catalog = self._process.view.catalog
        age_s = catalog.confirmed_age_s(now)
        is_fresh = catalog.is_ready and age_s is not None and age_s <= MAX_VIEW_AGE_S
        is_settled = now - self._process.directory.agents_added_at > SETTLE_S
        repeats = self._repeats_by_flow.get(packet.flow, now) or 0
        flow = flow_text(packet.flow)
        if packet.is_reset:
            self._process.drop("flow_over", flow=flow, hops=envelope.hops)
        elif is_fresh and is_settled:
            self._reset(
                packet.flow,
                packet.acknowledged,
                len(self._process.directory.all_agents),
                len(self._unanswered(now)),
            )
        elif self._pending_repeats < REPEATED_SEARCHES_LIMIT and repeats < REPEATS_PER_FLOW:
            self._pending_repeats += 1
            self._repeats_by_flow.put(packet.flow, repeats + 1, now)
            self._process.loop.call_later(SETTLE_S, lambda: self._repeat(packet, envelope))
        else:
            self._process.drop("not_found_yet", flow=flow, hops=envelope.hops)

    def _repeat(self, packet: FlowPacket, envelope: Envelope) -> None:
        self._pending_repeats -= 1
        if not self.drop_after_max_hops(packet, envelope):
            # After a walk the hops exceed what an inquiry may have.
            hops = min(envelope.hops, MAX_INQUIRY_HOPS - 1)
            repeated = replace(envelope, stage=SearchStage.RECORDED, tried=(), hops=hops)
            self.forward(packet, repeated, self._process.loop.now())
