"""The credit of one limit at one agent, as its holder counts it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class AgentLine:
    """Credit of one limit that an agent may hold, and what it reported.

    ``share`` is the credit last granted. ``out`` is the most that the agent may hold: the largest
    share granted that the agent has not confirmed as replaced. ``used``, ``needed`` and ``wanted``
    are as last reported. ``denied`` is the credit denied since the last rebalancing.
    """

    share: int = 0
    out: int = 0
    used: int = 0
    needed: int = 0
    wanted: int = 0
    denied: int = 0

    @property
    def committed(self) -> int:
        """The credit that counts against the limit; open work counts even without a lease."""
        return max(self.out, self.used)
