"""Records of where flows are open; agents keep them as directory nodes for each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.flows.expiring_map import ExpiringMap

if TYPE_CHECKING:
    from collections.abc import Mapping

    from laburnumbridge.flows.agent_ranking import AgentRanking
    from laburnumbridge.flows.flow_packet import FlowKey

RECORDS_LIMIT = 50_000
"""8,500 agents with 565 flows each and 2 directory nodes per flow give 1,130 records per agent."""
REFRESH_S = 5.0
RECORD_TTL_S = 3 * REFRESH_S
"""A record outlives two lost refreshes."""
DIRECTORY_NODES = 2
"""Number of agents that record where a flow is open; the loss of one has no effect."""
OWN_RECORD_TTL_S = 30.0
"""How long an agent relies on records from other agents that name itself, unless packets of the
flow pass: twice the usual idle time-out."""
RECORD_AGE_S = 0.3
"""Age from which a flow is recorded; shorter flows end before the fabric's hash is likely to
change."""


class FlowLocations:
    """Keeps the records of other agents' flows and schedules announcements of an agent's own flows.

    With these records a search takes two hops, whatever the number of agents of a service.

    An agent that has restarted gets both kinds of records back from the other agents: those that it
    keeps as a directory node, and those that name itself. So the records of a flow are only lost if
    its agent and both of its directory nodes restart within a second.
    """

    def __init__(self, *, agent: str) -> None:
        self._agent = agent
        self._agent_by_flow: ExpiringMap[FlowKey, str] = ExpiringMap(
            ttl_s=RECORD_TTL_S, limit=RECORDS_LIMIT
        )
        self._own_flows: ExpiringMap[FlowKey, bool] = ExpiringMap(
            ttl_s=OWN_RECORD_TTL_S, limit=RECORDS_LIMIT
        )
        self._announced_at_by_flow: dict[FlowKey, float] = {}
        self._nodes_by_flow: dict[FlowKey, list[str]] = {}

    def put(self, flow: FlowKey, agent: str, now: float) -> None:
        """Record that ``flow`` is open at ``agent``."""
        if agent == self._agent:
            self._own_flows.put(flow, True, now)
        else:
            self._agent_by_flow.put(flow, agent, now)

    def find(self, flow: FlowKey, now: float) -> str | None:
        """Return the agent where ``flow`` is open, or None without a record."""
        if self._own_flows.get(flow, now):
            return self._agent
        return self._agent_by_flow.get(flow, now)

    def forget(self, flow: FlowKey) -> None:
        """Remove the record that ``flow`` is open at this agent, since its upstream lacks it."""
        self._own_flows.pop(flow)

    def records_for(self, agent: str, now: float) -> dict[str, list[FlowKey]]:
        """Return the records that ``agent`` needs after a restart, by the agent that they name."""
        own = [flow for flow, nodes in self._nodes_by_flow.items() if agent in nodes]
        theirs = [flow for flow, holder in self._agent_by_flow.items(now) if holder == agent]
        return {self._agent: own, agent: theirs}

    def expire(self, now: float) -> None:
        """Remove records that were not refreshed."""
        self._agent_by_flow.expire(now)
        self._own_flows.expire(now)

    def announce_all(self) -> None:
        """Make all open flows due again, since their directory nodes may have changed."""
        self._announced_at_by_flow.clear()
        self._nodes_by_flow.clear()

    def announce(self, flow: FlowKey, ranking: AgentRanking, now: float) -> list[str]:
        """Mark ``flow`` as announced, and return the directory nodes to announce it to."""
        self._announced_at_by_flow[flow] = now
        if flow not in self._nodes_by_flow:
            self._nodes_by_flow[flow] = ranking.directory_nodes(flow, DIRECTORY_NODES)
        return [node for node in self._nodes_by_flow[flow] if node != self._agent]

    def due_announcements(
        self, opened_at_by_flow: Mapping[FlowKey, float], ranking: AgentRanking, now: float
    ) -> dict[str, list[FlowKey]]:
        """Return the open flows to announce now, by directory node, and mark them as announced."""
        for flow in opened_at_by_flow:
            self._own_flows.pop(flow)
        open_flows = {**opened_at_by_flow, **dict.fromkeys(self._own_flows.keys(), 0.0)}
        for flow in [flow for flow in self._announced_at_by_flow if flow not in open_flows]:
            del self._announced_at_by_flow[flow]
            del self._nodes_by_flow[flow]
        flows_by_node: dict[str, list[FlowKey]] = {}
        for flow, opened_at in open_flows.items():
            announced_at = self._announced_at_by_flow.get(flow)
            if now - opened_at < RECORD_AGE_S:
                continue
            if announced_at is not None and now - announced_at < REFRESH_S:
                continue
            for node in self.announce(flow, ranking, now):
                flows_by_node.setdefault(node, []).append(flow)
        return flows_by_node
