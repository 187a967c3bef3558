"""The search for the agent that holds a flow."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from laburnumbridge.flows.peer_datagrams import SearchStage
from laburnumbridge.forwarding.forwarding_process import flow_text

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.flows import FlowKey
    from laburnumbridge.flows import FlowPacket
    from laburnumbridge.flows.peer_datagrams import Envelope
    from laburnumbridge.forwarding.forwarding_process import ForwardingProcess

MAX_HOPS = 200
"""Ends a search in which agents use different rankings; any other ends with the last agent."""
SETTLE_S = 0.3
"""A search that found nothing is final only if no agent was added for this long: the first agents
of the search may not have had the new entry yet. A change reaches all processes within a tenth of
this. A removed agent can't hold a flow, since its upstream has ended."""
REPEATED_SEARCHES_LIMIT = 512
"""Packets that may wait for another search; at 1.3 KB each they stay below a megabyte."""
MAX_VIEW_AGE_S = 5.0
"""Another process starts to read the platform after 2.7 s at the latest. A view older than this
means that the platform is unavailable, and the view may lack an agent that has started since."""


class FlowSearch:
    """Forwards a packet whose flow isn't held here to the next agent of its search.

    Calls ``reset`` with the flow and the acknowledged sequence number once no agent can hold it.
    """

    def __init__(
        self,
        *,
        process: ForwardingProcess,
        forward: Callable[[Envelope, str, SearchStage], None],
        reset: Callable[[FlowKey, int], None],
    ) -> None:
        self._process = process
        self._forward = forward
        self._reset = reset
        self._pending_repeats = 0

    def drop_after_max_hops(self, packet: FlowPacket, envelope: Envelope) -> bool:
        """Drop a packet that was forwarded ``MAX_HOPS`` times; return whether it was dropped."""
        if envelope.hops < MAX_HOPS:
            return False
        self._process.drop("hops", flow=flow_text(packet.flow))
        return True

    def forward(self, packet: FlowPacket, envelope: Envelope, now: float) -> None:
        """Forward a packet to the next agent of the search, or end the search."""
        step = self._process.directory.search_order(envelope.service_tag).next_step(
            packet.flow, agent=self._process.settings.address, stage=envelope.stage
        )
        if step is None:
            self._end_search(packet, envelope, now)
            return
        self._process.metrics.count("search_hops_total")
        self._forward(envelope, step.agent, step.stage)

    def _end_search(self, packet: FlowPacket, envelope: Envelope, now: float) -> None:
        """Reset a flow that no agent holds, if the view is fresh and settled.

        Otherwise search again after ``SETTLE_S``: the client repeats its packet only after up to
        1.6 s.
        """
        age_s = self._process.view.catalog.confirmed_age_s(now)
        # A peer's heartbeat confirms a view that this process may not have received yet.
        has_view = self._process.view.catalog.is_ready
        is_settled = has_view and now - self._process.directory.agents_added_at > SETTLE_S
        flow = flow_text(packet.flow)
        if packet.is_reset:
            self._process.drop("flow_over", flow=flow, hops=envelope.hops)
        elif age_s is not None and age_s <= MAX_VIEW_AGE_S and is_settled:
            self._reset(packet.flow, packet.acknowledged)
        elif self._pending_repeats < REPEATED_SEARCHES_LIMIT:
            self._pending_repeats += 1
            self._process.loop.call_later(SETTLE_S, lambda: self._repeat(packet, envelope))
        else:
            self._process.drop("not_found_yet", flow=flow, hops=envelope.hops)

    def _repeat(self, packet: FlowPacket, envelope: Envelope) -> None:
        self._pending_repeats -= 1
        if not self.drop_after_max_hops(packet, envelope):
            repeated = replace(envelope, stage=SearchStage.RECORDED)
            self.forward(packet, repeated, self._process.loop.now())
