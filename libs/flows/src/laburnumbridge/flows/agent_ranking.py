"""The order in which agents are searched for a flow."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from laburnumbridge.core import hash64

if TYPE_CHECKING:
    from collections.abc import Container
    from collections.abc import Iterable
    from collections.abc import Iterator

    from laburnumbridge.flows.flow_packet import FlowKey


class AgentRanking:
    """Orders agents for each flow by rendezvous hashing.

    Of all agents, the first of the order are the flow's directory nodes. They record where it is
    open, so an entry VM without a record of the flow finds it in two hops. ``next_after`` computes
    the weight of the given agent itself, so that agent needn't be listed. Weights only decrease
    along a search: agents with different views search in the same direction.
    """

    def __init__(self, *, agents: Iterable[str] = ()) -> None:
        self._prefix_by_agent = {agent: agent.encode() + b"\0" for agent in agents}

    def __len__(self) -> int:
        return len(self._prefix_by_agent)

    def __contains__(self, agent: object) -> bool:
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

    def ranked(self, flow: FlowKey) -> list[str]:
        """Return all agents in the order for ``flow``."""
        return [agent for _, agent in sorted(self._weighted(flow, ()), reverse=True)]

    def first(self, flow: FlowKey, *, excluded: Container[str] = ()) -> str | None:
        """Return the first agent for ``flow`` that isn't excluded, or None."""
        return max(self._weighted(flow, excluded), default=(0, None))[1]

    def next_after(self, flow: FlowKey, agent: str, *, excluded: Container[str] = ()) -> str | None:
        """Return the agent ranked after ``agent`` that isn't excluded, or None after the last."""
        agent_weight = (hash64(agent.encode() + b"\0" + flow), agent)
        lower = (weight for weight in self._weighted(flow, excluded) if weight < agent_weight)
        return max(lower, default=(0, None))[1]

    def _weighted(self, flow: FlowKey, excluded: Container[str]) -> Iterator[tuple[int, str]]:
        for agent, prefix in self._prefix_by_agent.items():
            if agent not in excluded:
                yield hash64(prefix + flow), agent
