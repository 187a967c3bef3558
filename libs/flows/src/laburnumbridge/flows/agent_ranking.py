"""The order in which the agents of a service are searched for a flow."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from laburnumbridge.core import hash64

if TYPE_CHECKING:
    from collections.abc import Iterable

    from laburnumbridge.flows.flow_packet import FlowKey


class AgentRanking:
    """Orders a service's agents for each flow by rendezvous hashing.

    The first agents of the order are the flow's directory nodes. They record where it is open, so
    an entry VM without a record of the flow finds it in two hops. ``next_after`` computes the
    weight of the given agent itself, so that agent needn't be listed. Weights only decrease along
    a search: agents with different views search in the same direction, and every search ends.
    """

    def __init__(self, *, agents: Iterable[str] = ()) -> None:
        self._prefix_by_agent = {agent: agent.encode() + b"\0" for agent in agents}

    def __len__(self) -> int:
        return len(self._prefix_by_agent)

    def __contains__(self, agent: str) -> bool:
        return agent in self._prefix_by_agent

    @property
    def agents(self) -> tuple[str, ...]:
        """Addresses of all agents, in no particular order."""
        return tuple(self._prefix_by_agent)

    def directory_nodes(self, flow: FlowKey, count: int) -> list[str]:
        """Return up to ``count`` agents that record where ``flow`` is open, first in rank first."""
        weighted = (
            (hash64(prefix + flow), agent) for agent, prefix in self._prefix_by_agent.items()
        )
        return [agent for _, agent in heapq.nlargest(count, weighted)]

    def first(self, flow: FlowKey) -> str | None:
        """Return the first agent for ``flow``, or None without agents."""
        nodes = self.directory_nodes(flow, 1)
        return nodes[0] if nodes else None

    def next_after(self, flow: FlowKey, agent: str) -> str | None:
        """Return the agent ranked after ``agent`` for ``flow``, or None after the last one."""
        agent_weight = (hash64(agent.encode() + b"\0" + flow), agent)
        following = None
        for candidate, prefix in self._prefix_by_agent.items():
            weight = (hash64(prefix + flow), candidate)
            if weight < agent_weight and (following is None or weight > following):
                following = weight
        return following[1] if following else None
