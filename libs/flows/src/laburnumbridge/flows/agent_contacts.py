"""Tells addresses where an agent runs from those that have never answered."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from laburnumbridge.flows.record_recovery import REQUESTS_AFTER_S

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

PROBES_AFTER_S = REQUESTS_AFTER_S
"""Times of the probes of an address, which like the requests outlast the restart of an agent."""
ANSWER_WAIT_S = 1.6
"""Time after the last probe in which an agent that restarts answers or is heard from."""
ADDRESSES_AT_ONCE = 16
"""Addresses that are probed at a time. If thousands of agents of a dropped service restart together
and answer each probe within the 50 ms until the next ones are due, each sends 320 probes and as
many answers a second, 22 KB/s with headers."""


class _Probes(msgspec.Struct):
    began_at: float
    count: int = 0
    last_at: float = 0.0


class AgentContacts:
    """Probes addresses until an agent there is heard from.

    Entries of services that aren't configured may be of a service that was dropped, whose agents
    still hold flows, or of another writer, at an address without an agent. Only an answer tells
    them apart.
    """

    def __init__(self) -> None:
        self._heard: set[str] = set()
        self._probes_by_agent: dict[str, _Probes] = {}

    def on_heard(self, agent: str) -> None:
        """Note that something was received from ``agent``."""
        self._heard.add(agent)
        self._probes_by_agent.pop(agent, None)

    def retain(self, agents: Collection[str]) -> None:
        """Forget all addresses that are not in ``agents``."""
        self._heard.intersection_update(agents)
        for agent in self._probes_by_agent.keys() - agents:
            del self._probes_by_agent[agent]

    def due(self, agents: Iterable[str], now: float) -> list[str]:
        """Return the addresses of ``agents`` to probe now; each call counts as their probe."""
        unheard = [agent for agent in agents if agent not in self._heard]
        new = [agent for agent in unheard if agent not in self._probes_by_agent]
        begun = [
            agent
            for agent in unheard
            if (probes := self._probes_by_agent.get(agent)) is not None
            and probes.count < len(PROBES_AFTER_S)
        ]
        for agent in new[: max(ADDRESSES_AT_ONCE - len(begun), 0)]:
            self._probes_by_agent[agent] = _Probes(began_at=now)
            begun.append(agent)
        return [agent for agent in begun if self._is_due(self._probes_by_agent[agent], now)]

    @staticmethod
    def _is_due(probes: _Probes, now: float) -> bool:
        if now - probes.began_at < PROBES_AFTER_S[probes.count]:
            return False
        probes.count += 1
        probes.last_at = now
        return True

    def unanswered(self, agents: Iterable[str], now: float) -> frozenset[str]:
        """Return the addresses of ``agents`` that have left all probes unanswered."""
        return frozenset(agent for agent in agents if self._is_unanswered(agent, now))

    def _is_unanswered(self, agent: str, now: float) -> bool:
        probes = self._probes_by_agent.get(agent)
        return (
            probes is not None
            and probes.count == len(PROBES_AFTER_S)
            and now - probes.last_at > ANSWER_WAIT_S
        )
