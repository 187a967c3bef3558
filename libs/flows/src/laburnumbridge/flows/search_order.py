"""The order in which agents are asked for a flow that the asking process doesn't know."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from laburnumbridge.flows.flow_locations import DIRECTORY_NODES
from laburnumbridge.flows.peer_datagrams import SearchStage

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.flows.agent_ranking import AgentRanking
    from laburnumbridge.flows.flow_packet import FlowKey

SEARCH_STARTS = 4
"""Agents at which searches begin in turn: the directory nodes may all be restarting, and any other
agent can ask for the flow as well."""

_WALK_AFTER = {
    SearchStage.DIRECT: SearchStage.RANKED,
    SearchStage.DIRECTORY: SearchStage.RANKED,
    SearchStage.RECORDED: SearchStage.RANKED_NO_RECORDS,
}


class SearchStep(msgspec.Struct, frozen=True, kw_only=True):
    """The next agent of a search, and the stage in which it gets the packet."""

    agent: str
    stage: SearchStage


class SearchOrder:
    """Asks a flow's directory nodes, then the agents of its route's service, then all others.

    ``agents`` are those of all services that are configured, and ``service_agents`` those of the
    flow's route. ``all_agents`` has those of other services as well, which the operator may have
    dropped while flows are open there; without it there are none.

    A route may have moved to another service, or its weights may have changed, while the flow
    stays where it is. So directory nodes are taken from the agents of all configured services:
    processes agree on them wherever the routes lead, and a search takes two hops however many
    agents the service has. The agents of other services end a search for which there is no record.

    Within a stage the ranks only decrease, and stages only follow each other, so a search ends also
    between agents with different views.
    """

    def __init__(
        self,
        *,
        agents: AgentRanking,
        service_agents: AgentRanking,
        all_agents: AgentRanking | None = None,
    ) -> None:
        self._agents = agents
        self._service_agents = service_agents
        self._all_agents = agents if all_agents is None else all_agents

    def first_step(
        self,
        flow: FlowKey,
        *,
        attempt: int = 0,
        is_responsive: Callable[[str], bool] = lambda _agent: True,
    ) -> SearchStep | None:
        """Return the first step of a search, or None without agents.

        ``attempt`` counts the searches before that weren't answered. Unresponsive agents are
        skipped while another one of the ``SEARCH_STARTS`` first agents is responsive.
        """
        nodes = self._agents.directory_nodes(flow, SEARCH_STARTS)
        if len(nodes) < SEARCH_STARTS:
            # Few agents are left of the configured services; any other one can search as well.
            ranked = self._all_agents.directory_nodes(flow, 2 * SEARCH_STARTS)
            nodes = list(dict.fromkeys([*nodes, *ranked]))[:SEARCH_STARTS]
        if not nodes:
            return None
        start = attempt % len(nodes)
        in_turn = [*nodes[start:], *nodes[:start]]
        agent = next((node for node in in_turn if is_responsive(node)), in_turn[0])
        return SearchStep(agent=agent, stage=SearchStage.DIRECTORY)

    def first_walk_step(self, flow: FlowKey, *, uses_records: bool) -> SearchStep | None:
        """Return the first agent of the ranking, which may be the asking one; None without any."""
        agent = self._service_agents.first(flow)
        if agent is None:
            return self._other_service_step(self._all_agents.first(flow))
        stage = SearchStage.RANKED if uses_records else SearchStage.RANKED_NO_RECORDS
        return SearchStep(agent=agent, stage=stage)

    def next_step(self, flow: FlowKey, *, agent: str, stage: SearchStage) -> SearchStep | None:
        """Return the step after ``agent``, which got the packet in ``stage`` and hasn't the flow.

        Returns None after the last agent.
        """
        if stage in (SearchStage.DIRECT, SearchStage.DIRECTORY):
            node = self._next_directory_node(flow, agent, stage)
            if node is not None:
                return SearchStep(agent=node, stage=SearchStage.DIRECTORY)
        if stage is SearchStage.OTHER_SERVICES:
            following = self._all_agents.next_after(flow, agent, excluded=self._service_agents)
            return self._other_service_step(following)
        if stage in _WALK_AFTER:
            # A directory node hasn't tried its own upstream yet, so its turn in the walk comes.
            has_tried = stage is not SearchStage.DIRECTORY
            following = self._service_agents.first(flow)
            if following == agent and has_tried:
                following = self._service_agents.next_after(flow, agent)
        else:
            following = self._service_agents.next_after(flow, agent)
        if following is not None:
            return SearchStep(agent=following, stage=_WALK_AFTER.get(stage, stage))
        return self._other_service_step(self._all_agents.first(flow, excluded=self._service_agents))

    def _next_directory_node(self, flow: FlowKey, agent: str, stage: SearchStage) -> str | None:
        nodes = self._agents.directory_nodes(flow, DIRECTORY_NODES)
        if stage is SearchStage.DIRECTORY:
            # Only a node that is first in its own view passes the packet on, to a lower rank.
            return nodes[1] if nodes[:1] == [agent] and len(nodes) > 1 else None
        return next((node for node in nodes if node != agent), None)

    @staticmethod
    def _other_service_step(agent: str | None) -> SearchStep | None:
        if agent is None:
            return None
        return SearchStep(agent=agent, stage=SearchStage.OTHER_SERVICES)
