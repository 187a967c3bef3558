"""The search for the agent that holds a flow."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from laburnumbridge.flows.peer_datagrams import SearchStage
from laburnumbridge.forwarding.forwarding_process import flow_text

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.flows import FlowKey
    from laburnumbridge.flows import FlowPacket
    from laburnumbridge.flows.peer_datagrams import Envelope
    from laburnumbridge.forwarding.forwarding_process import ForwardingProcess

MAX_HOPS = 200
"""Ends a search whose agents disagree; the ranking alone ends all others."""
SETTLED_S = 0.3
"""A search that found nothing counts only when no agent was added for so long, since those asked
first may not have known it; news reaches all processes within a tenth of this. An agent that was
removed can't hold a flow: its upstream has gone."""
REPEATED_SEARCHES_LIMIT = 512
"""Packets that wait for a second search; at 1.3 KB each they stay below a megabyte."""
FRESH_VIEW_S = 5.0
"""Another process reads the platform after 2.7 s at the latest, so an older view means that the
platform is away, and an agent may have come that this process doesn't know."""


class FlowSearch:
    """Passes a packet whose flow isn't held here to the next agent of the flow's ranking.

    ``reset`` tells the client that no agent holds the flow, once that is certain.
    """

    def __init__(
        self,
        *,
        process: ForwardingProcess,
        pass_on: Callable[[Envelope, str, SearchStage], None],
        reset: Callable[[FlowKey, int], None],
    ) -> None:
        self._process = process
        self._pass_on = pass_on
        self._reset = reset
        self._to_repeat = 0

    def drop_after_max_hops(self, packet: FlowPacket, envelope: Envelope) -> bool:
        """Drop a packet that was passed on too often, and return whether it was."""
        if envelope.hops < MAX_HOPS:
            return False
        self._process.drop("hops", flow=flow_text(packet.flow))
        return True

    def pass_on(self, packet: FlowPacket, envelope: Envelope, now: float) -> None:
        """Pass a packet on whose flow is not here."""
        ranking = self._process.directory.ranking(envelope.service_tag)
        own = self._process.settings.address
        stage = envelope.stage
        if stage in (SearchStage.DIRECT, SearchStage.RECORDED):
            is_direct = stage is SearchStage.DIRECT
            stage = SearchStage.RANKED if is_direct else SearchStage.RANKED_NO_RECORDS
            agent = ranking.first(packet.flow)
            if agent == own:
                agent = ranking.next_after(packet.flow, own)
        else:
            agent = ranking.next_after(packet.flow, own)
        if agent is None:
            self._end(packet, envelope, now)
            return
        self._process.metrics.count("search_hops_total")
        self._pass_on(envelope, agent, stage)

    def _end(self, packet: FlowPacket, envelope: Envelope, now: float) -> None:
        """No agent holds the flow: tell the client, if this process can be sure of that.

        Otherwise search once more a little later: the client sends its packet again only after
        up to 1.6 s.
        """
        age_s = self._process.view.catalog.confirmed_age_s(now)
        is_settled = now - self._process.directory.agents_added_at > SETTLED_S
        flow = flow_text(packet.flow)
        if packet.is_reset:
            self._process.drop("flow_over", flow=flow, hops=envelope.hops)
        elif age_s is not None and age_s <= FRESH_VIEW_S and is_settled:
            self._reset(packet.flow, packet.acknowledged)
        elif self._to_repeat < REPEATED_SEARCHES_LIMIT:
            self._to_repeat += 1
            self._process.loop.call_later(SETTLED_S, lambda: self._repeat(packet, envelope))
        else:
            self._process.drop("not_found_yet", flow=flow, hops=envelope.hops)

    def _repeat(self, packet: FlowPacket, envelope: Envelope) -> None:
        self._to_repeat -= 1
        if not self.drop_after_max_hops(packet, envelope):
            again = replace(envelope, stage=SearchStage.RECORDED)
            self.pass_on(packet, again, self._process.loop.now())
