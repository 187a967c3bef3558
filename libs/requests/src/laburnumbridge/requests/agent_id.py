"""Identity of one running agent."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from laburnumbridge.core import Incarnation
from laburnumbridge.core import ProcessId
from laburnumbridge.core import hash64
from laburnumbridge.core import rendezvous_winner


@dataclass(frozen=True, order=True, slots=True)
class AgentId:
    """An agent process; a restarted agent has a new incarnation and no records."""

    process_id: ProcessId
    incarnation: Incarnation


def winning_agent(key: bytes, agents: Iterable[AgentId]) -> AgentId | None:
    """Return the agent that ``key`` hashes to, or None without agents.

    Of several incarnations of one process only the newest is considered.
    """
    agents_by_name = {str(agent.process_id): agent for agent in sorted(agents)}
    winner = rendezvous_winner(key, agents_by_name)
    return None if winner is None else agents_by_name[winner]


def agent_set_digest(agents: Iterable[AgentId]) -> int:
    """Return a 64-bit hash that is the same for two agents that see the same set of agents."""
    names = [f"{agent.process_id}/{agent.incarnation}" for agent in sorted(agents)]
    return hash64("\n".join(names).encode())
