"""Identity of one running agent."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from laburnumbridge.core import Incarnation
from laburnumbridge.core import ProcessId
from laburnumbridge.core import hash64


@dataclass(frozen=True, order=True, slots=True)
class AgentId:
    """An agent process; a restarted agent has another incarnation and remembers nothing."""

    process_id: ProcessId
    incarnation: Incarnation


def agent_set_digest(agents: Iterable[AgentId]) -> int:
    """Return a hash by which two agents tell whether they see the same set of agents."""
    names = [f"{agent.process_id}/{agent.incarnation}" for agent in sorted(agents)]
    return hash64("\n".join(names).encode())
