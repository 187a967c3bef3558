"""One limit at one agent, as its holder counts it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class HeldLine:
    """Credit out at an agent.

    ``out`` is the most that the agent may hold: the largest share that was granted and not yet
    confirmed as replaced by ``share``, the last one granted. ``used``, ``needed`` and ``wanted``
    are as last reported; ``denied`` counts what was denied since the last rebalancing.
    """

    share: int = 0
    out: int = 0
    used: int = 0
    needed: int = 0
    wanted: int = 0
    denied: int = 0

    @property
    def committed(self) -> int:
        """What counts against the limit: work that is open counts after its lease ended."""
        return max(self.out, self.used)
