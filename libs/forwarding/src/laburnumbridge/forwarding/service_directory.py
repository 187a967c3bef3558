"""Index of the routes and of each service's agents in the view."""

from __future__ import annotations

import zlib
from functools import lru_cache
from typing import TYPE_CHECKING

from laburnumbridge.catalog import RouteIndex
from laburnumbridge.flows import AgentRanking
from laburnumbridge.flows import Candidate
from laburnumbridge.flows import SearchOrder

if TYPE_CHECKING:
    from collections.abc import KeysView

    from laburnumbridge.catalog import Catalog
    from laburnumbridge.catalog import CatalogUpdate
    from laburnumbridge.catalog import Route
    from laburnumbridge.catalog import UpstreamEntry
    from laburnumbridge.flows import FlowKey

SLOW_START_SHARE = 0.6
"""Share of its slots that an upstream counts with during warm-up: requests take about 1.6 times as
long on an upstream that has just started."""

SERVICE_TAG_CACHE_SIZE = 4_096
"""Tags kept: more than the services that the 2,900 addresses at full size have."""

_NO_AGENTS = AgentRanking()


@lru_cache(maxsize=SERVICE_TAG_CACHE_SIZE)
def service_tag(service: str) -> int:
    """Return the 32-bit tag of a service in envelopes."""
    return zlib.crc32(service.encode())


class ServiceDirectory:
    """Routes, candidates and rankings, rebuilt from the catalog when it changes.

    ``agent_ranking`` ranks all agents, beside draining upstreams and of all services.
    ``agents_changed_at`` is the time of the last change to the set of agents, and
    ``agents_added_at`` that of the last added one; both are 0 before the first.
    """

    def __init__(self, *, catalog: Catalog) -> None:
        self._catalog = catalog
        self._routes: RouteIndex | None = None
        self._entries_by_tag: dict[int, list[UpstreamEntry]] = {}
        self._ranking_by_tag: dict[int, AgentRanking] = {}
        self._warm_up_ends_at_by_name: dict[str, float] = {}
        self._entry_by_agent: dict[str, UpstreamEntry] = {}
        self.agent_ranking = _NO_AGENTS
        self.agents_changed_at = 0.0
        self.agents_added_at = 0.0

    @property
    def has_routes(self) -> bool:
        """True after a configuration was applied."""
        return self._routes is not None

    @property
    def idle_timeout_s(self) -> float | None:
        """How long a flow may be idle, in seconds, or None before a configuration is received."""
        configuration = self._catalog.configuration
        return None if configuration is None else configuration.idle_timeout_ms / 1000

    def apply(self, update: CatalogUpdate, now: float) -> None:
        """Rebuild what ``update`` has changed; it must be merged into the catalog before."""
        configuration = self._catalog.configuration
        if configuration is not None and (update.configuration or update.configuration_change):
            self._routes = RouteIndex(configuration=configuration)
        for entry in update.entries:
            if self._entry_by_agent.get(entry.address) == entry:
                continue  # sent again for peers that lack it
            self._warm_up_ends_at_by_name[entry.name] = now + entry.warm_up_left_ms / 1000
        for removal in update.removals:
            self._warm_up_ends_at_by_name.pop(removal.name, None)
        if not update.entries and not update.removals:
            return
        before = set(self._entry_by_agent)
        self._entries_by_tag = {}
        self._entry_by_agent = {}
        # An address that is listed twice belongs to the entry that was written last.
        for entry in sorted(self._catalog.entry_by_name.values(), key=lambda entry: entry.revision):
            self._entry_by_agent[entry.address] = entry
        for entry in self._entry_by_agent.values():
            self._entries_by_tag.setdefault(service_tag(entry.service), []).append(entry)
        self._ranking_by_tag = {
            tag: AgentRanking(agents=[entry.address for entry in entries])
            for tag, entries in self._entries_by_tag.items()
        }
        self.agent_ranking = AgentRanking(agents=self._entry_by_agent)
        after = set(self._entry_by_agent)
        if before != after:
            self.agents_changed_at = now
        if after - before:
            self.agents_added_at = now

    def route(self, flow: FlowKey) -> Route | None:
        """Return the route of a flow, or None if its destination has none."""
        return None if self._routes is None else self._routes.find(flow)

    def entry(self, agent: str) -> UpstreamEntry | None:
        """Return the upstream entry with the address of ``agent``, or None if there is none."""
        return self._entry_by_agent.get(agent)

    @property
    def agents(self) -> KeysView[str]:
        """Addresses of all agents that are listed."""
        return self._entry_by_agent.keys()

    def search_order(self, tag: int) -> SearchOrder:
        """Return the order of search for flows of a route whose service now has the tag."""
        return SearchOrder(
            agents=self.agent_ranking, service_agents=self._ranking_by_tag.get(tag, _NO_AGENTS)
        )

    def candidates(self, tag: int, now: float) -> list[Candidate]:
        """Return the agents of a service whose upstreams aren't draining."""
        return [
            Candidate(
                agent=entry.address,
                failure_domain=entry.failure_domain,
                slots=entry.slots,
                slow_start=(
                    SLOW_START_SHARE
                    if self._warm_up_ends_at_by_name.get(entry.name, 0.0) > now
                    else 1.0
                ),
            )
            for entry in self._entries_by_tag.get(tag, ())
            if not entry.is_draining
        ]
