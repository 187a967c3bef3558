"""Checks that a flow isn't open elsewhere before an opening packet of it is refused."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from laburnumbridge.flows import ExpiringMap
from laburnumbridge.flows.flow_locations import DIRECTORY_NODES
from laburnumbridge.forwarding.forwarding_process import flow_text

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.flows import FlowKey
    from laburnumbridge.flows import FlowPacket
    from laburnumbridge.flows import InquiryResult
    from laburnumbridge.forwarding.flow_inquiries import FlowInquiries
    from laburnumbridge.forwarding.forwarding_process import ForwardingProcess

TRIED_TTL_S = 3.0
"""Longer than the copies of an opening packet are held or handed over."""
TRIED_LIMIT = 20_000
HELD_REASONS = ("queue_timeout", "queue_full", "client_share", "evacuated")
"""Reasons to refuse packets that were held; other copies may have been sent meanwhile."""


class RefusalCheck:
    """Calls ``reset`` for a refused opening packet, unless a copy of it has opened the flow.

    Copies of an opening packet go different ways. It asks the agents that had this copy before, the
    one that it was handed over to, and the flow's directory nodes: ten small queries at most.
    ``is_open_here`` returns whether a copy that came meanwhile was admitted or is held here.
    """

    def __init__(
        self,
        *,
        process: ForwardingProcess,
        inquiries: FlowInquiries,
        is_open_here: Callable[[FlowKey], bool],
        reset: Callable[[FlowKey, int, str], None],
    ) -> None:
        self._process = process
        self._inquiries = inquiries
        self._is_open_here = is_open_here
        self._reset = reset
        self._tried_by_flow: ExpiringMap[FlowKey, tuple[str, ...]] = ExpiringMap(
            ttl_s=TRIED_TTL_S, limit=TRIED_LIMIT
        )

    def on_opening(self, packet: FlowPacket, tried: tuple[str, ...], now: float) -> None:
        """Note an opening packet, unless no other copy can have reached another agent yet."""
        if tried or packet.copy_number:
            self._tried_by_flow.put(packet.flow, tried, now)

    def refuse(
        self,
        flow: FlowKey,
        acknowledged: int,
        reason: str,
        *,
        handover_agent: str | None,
        now: float,
    ) -> None:
        """Reset ``flow`` once the agents that may have opened it have denied that."""
        tried = self._tried_by_flow.get(flow, now)
        # A process that stops can't wait for answers.
        if self._process.is_stopping or (tried is None and reason not in HELD_REASONS):
            self._reset(flow, acknowledged, reason)
            return
        own_address = self._process.settings.address
        ranking = self._process.directory.agent_ranking
        agents = [
            *(tried or ()),
            *((handover_agent,) if handover_agent else ()),
            *ranking.directory_nodes(flow, DIRECTORY_NODES),
        ]
        asked = [agent for agent in dict.fromkeys(agents) if agent != own_address]
        on_result = partial(self._on_result, flow, acknowledged, reason)
        if not asked or not self._inquiries.start(flow, asked, on_result, is_repeated=False):
            self._reset(flow, acknowledged, reason)

    def expire(self, now: float) -> None:
        """Drop what was noted of earlier opening packets."""
        self._tried_by_flow.expire(now)

    def _on_result(
        self, flow: FlowKey, acknowledged: int, reason: str, result: InquiryResult
    ) -> None:
        if result.is_open:
            self._process.drop("open_elsewhere", flow=flow_text(flow), agent=result.holder)
        elif self._is_open_here(flow):
            # A copy has arrived here since.
            self._process.drop("open_elsewhere", flow=flow_text(flow))
        else:
            self._reset(flow, acknowledged, reason)
