"""What the view says of each service's agents."""

from __future__ import annotations

import zlib
from functools import lru_cache
from typing import TYPE_CHECKING

from laburnumbridge.catalog import RouteIndex
from laburnumbridge.flows import AgentRanking
from laburnumbridge.flows import Candidate

if TYPE_CHECKING:
    from collections.abc import KeysView

    from laburnumbridge.catalog import Catalog
    from laburnumbridge.catalog import CatalogUpdate
    from laburnumbridge.catalog import Route
    from laburnumbridge.catalog import UpstreamEntry
    from laburnumbridge.flows import FlowKey

SLOW_START_SHARE = 0.6
"""Requests take about 1.6 times as long on an upstream that has just started."""

SERVICES_CACHED = 4_096
"""More than the 2,900 addresses at full size have services."""

_NO_AGENTS = AgentRanking()


@lru_cache(maxsize=SERVICES_CACHED)
def service_tag(service: str) -> int:
    """Return the 32-bit tag of a service in envelopes."""
    return zlib.crc32(service.encode())


class ServiceDirectory:
    """Routes, candidates and rankings, rebuilt from the catalog when it changes."""

    def __init__(self, *, catalog: Catalog) -> None:
        self._catalog = catalog
        self._routes: RouteIndex | None = None
        self._entries_by_tag: dict[int, list[UpstreamEntry]] = {}
        self._ranking_by_tag: dict[int, AgentRanking] = {}
        self._warm_at_by_name: dict[str, float] = {}
        self._entry_by_agent: dict[str, UpstreamEntry] = {}
        self.agents_changed_at = 0.0
        self.agents_added_at = 0.0

    @property
    def has_routes(self) -> bool:
        """True once a configuration is known."""
        return self._routes is not None

    @property
    def idle_timeout_s(self) -> float | None:
        """How long a flow may be idle, or None before a configuration is known."""
        configuration = self._catalog.configuration
        return None if configuration is None else configuration.idle_timeout_ms / 1000

    def apply(self, update: CatalogUpdate, now: float) -> None:
        """Rebuild what ``update``, already merged into the catalog, has changed."""
        configuration = self._catalog.configuration
        if configuration is not None and (update.configuration or update.configuration_change):
            self._routes = RouteIndex(configuration=configuration)
        for entry in update.entries:
            self._warm_at_by_name[entry.name] = now + entry.warm_up_left_ms / 1000
        for removal in update.removals:
            self._warm_at_by_name.pop(removal.name, None)
        if not update.entries and not update.removals:
            return
        before = set(self._entry_by_agent)
        self._entries_by_tag = {}
        self._entry_by_agent = {}
        # An address that is listed twice belongs to the entry that was written last.
        for entry in sorted(self._catalog.entry_by_name.values(), key=lambda one: one.revision):
            self._entry_by_agent[entry.address] = entry
        for entry in self._entry_by_agent.values():
            self._entries_by_tag.setdefault(service_tag(entry.service), []).append(entry)
        self._ranking_by_tag = {
            tag: AgentRanking(agents=[entry.address for entry in entries])
            for tag, entries in self._entries_by_tag.items()
        }
        after = set(self._entry_by_agent)
        if before != after:
            self.agents_changed_at = now
        if after - before:
            self.agents_added_at = now

    def route(self, flow: FlowKey) -> Route | None:
        """Return the route of a flow, or None."""
        return None if self._routes is None else self._routes.find(flow)

    def entry(self, agent: str) -> UpstreamEntry | None:
        """Return the upstream that is listed beside ``agent``."""
        return self._entry_by_agent.get(agent)

    @property
    def agents(self) -> KeysView[str]:
        """Addresses of all agents that are listed."""
        return self._entry_by_agent.keys()

    def ranking(self, tag: int) -> AgentRanking:
        """Return the ranking of a service's agents, draining ones included."""
        return self._ranking_by_tag.get(tag, _NO_AGENTS)

    def candidates(self, tag: int, now: float) -> list[Candidate]:
        """Return the agents that may take a new flow of a service."""
        return [
            Candidate(
                agent=entry.address,
                failure_domain=entry.failure_domain,
                slots=entry.slots,
                slow_start=(
                    SLOW_START_SHARE if self._warm_at_by_name.get(entry.name, 0.0) > now else 1.0
                ),
            )
            for entry in self._entries_by_tag.get(tag, ())
            if not entry.is_draining
        ]
