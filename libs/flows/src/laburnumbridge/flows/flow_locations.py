"""Records of where flows are open, which agents keep as directory nodes of one another's flows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.flows.expiring_map import ExpiringMap

if TYPE_CHECKING:
    from collections.abc import Mapping

    from laburnumbridge.flows.agent_ranking import AgentRanking
    from laburnumbridge.flows.flow_packet import FlowKey

RECORDS_LIMIT = 50_000
"""8,500 agents with 565 flows each and two directory nodes a flow give 1,130 records an agent."""
REFRESH_S = 5.0
RECORD_TTL_S = 3 * REFRESH_S
"""A record survives the loss of two refreshes."""
DIRECTORY_NODES = 2
"""Agents that record where a flow is open; losing one costs nothing."""
RECORD_AGE_S = 0.3
"""Shorter flows get no record: they are over before the fabric's hash is likely to change."""


class FlowLocations:
    """The records that an agent keeps for others, and the announcements of its own open flows.

    With them a search takes two hops, however many agents a service has.
    """

    def __init__(self, *, agent: str) -> None:
        self._agent = agent
        self._kept: ExpiringMap[FlowKey, str] = ExpiringMap(ttl_s=RECORD_TTL_S, limit=RECORDS_LIMIT)
        self._told_at_by_flow: dict[FlowKey, float] = {}

    def put(self, flow: FlowKey, agent: str, now: float) -> None:
        """Keep the record that ``flow`` is open at ``agent``."""
        self._kept.put(flow, agent, now)

    def find(self, flow: FlowKey, now: float) -> str | None:
        """Return the agent of a kept record."""
        return self._kept.get(flow, now)

    def expire(self, now: float) -> None:
        """Drop records that were not refreshed."""
        self._kept.expire(now)

    def announce_all(self) -> None:
        """Announce all flows again, since their directory nodes may have changed."""
        self._told_at_by_flow.clear()

    def due_announcements(
        self, opened_at_by_flow: Mapping[FlowKey, float], ranking: AgentRanking, now: float
    ) -> dict[str, list[FlowKey]]:
        """Return the open flows to announce now, by directory node."""
        for flow in [flow for flow in self._told_at_by_flow if flow not in opened_at_by_flow]:
            del self._told_at_by_flow[flow]
        flows_by_node: dict[str, list[FlowKey]] = {}
        for flow, opened_at in opened_at_by_flow.items():
            told_at = self._told_at_by_flow.get(flow)
            if now - opened_at < RECORD_AGE_S:
                continue
            if told_at is not None and now - told_at < REFRESH_S:
                continue
            self._told_at_by_flow[flow] = now
            for node in ranking.directory_nodes(flow, DIRECTORY_NODES):
                if node != self._agent:
                    flows_by_node.setdefault(node, []).append(flow)
        return flows_by_node
