"""Decides which agents are asked for records after a restart."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

REQUESTS_AFTER_S = (0.0, 0.2, 0.6, 1.4)
"""Times of the requests to agents that haven't replied: one that restarts is back within 1.4 s."""
AGENTS_LIMIT = 512
"""With more agents a restart of all would send millions of requests. There the records come back
with the next announcements, and flows are found by inquiries."""


class RecordRecovery:
    """Schedules requests for records from all other agents, from the first view on."""

    def __init__(self) -> None:
        self._began_at: float | None = None
        self._requests = 0
        self._replied: set[str] = set()

    @property
    def is_complete(self) -> bool:
        """True after the last request."""
        return self._requests == len(REQUESTS_AFTER_S)

    def on_reply(self, agent: str) -> None:
        """Note records, or the answer that there are none, from ``agent``."""
        if not self.is_complete:
            self._replied.add(agent)

    def due(self, agents: Iterable[str], now: float) -> list[str]:
        """Return the agents of ``agents`` to ask now; before the first view there are none."""
        missing = [agent for agent in agents if agent not in self._replied]
        if self.is_complete or not missing:
            return []
        if self._began_at is None:
            self._began_at = now
        if now - self._began_at < REQUESTS_AFTER_S[self._requests]:
            return []
        self._requests += 1
        return missing if len(missing) <= AGENTS_LIMIT else []
