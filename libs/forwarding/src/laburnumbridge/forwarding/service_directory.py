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
_Upstream = tuple[str, int, str]  # address, port and service


@lru_cache(maxsize=SERVICE_TAG_CACHE_SIZE)
def service_tag(service: str) -> int:
    """Return the 32-bit tag of a service in envelopes.

    Services are told apart by their names; ``ServiceDirectory.tagged_service`` returns the one that
    a tag stands for, also where names have the same tag.
    """
    return zlib.crc32(service.encode())


class ServiceDirectory:
    """Routes, candidates and rankings, rebuilt from the catalog when it changes.

    They depend on the catalog alone, so processes with the same view agree on them, whenever they
    were started.

    Entries may come from other writers, and one address may be named by several: of an upstream
    that has ended, of one that has started since, or of another writer. Entries with different
    ports or services don't affect each other. Of those that agree on address, port and service, the
    one with the latest start counts. A service that isn't configured gets no new flow, since no
    route names it. The operator may have dropped it while its flows are open, so its agents are
    searched after those of configured services.

    ``agent_ranking`` ranks the agents of configured services, also beside draining upstreams, or
    all agents if there are none of those; ``further_ranking`` ranks all others.
    ``unconfigured_agents`` are the addresses that only entries of other services name.
    ``agents_changed_at`` is the time of the last change to the agents in ``agent_ranking``, and
    ``agents_added_at`` that of the last agent added to any; both are 0 before the first.
    """

    def __init__(self, *, catalog: Catalog) -> None:
        self._catalog = catalog
        self._routes: RouteIndex | None = None
        self._configured_services: frozenset[str] = frozenset()
        self._entry_by_name: dict[str, UpstreamEntry] = {}
        self._entry_by_upstream: dict[_Upstream, UpstreamEntry] = {}
        self._entries_by_service: dict[str, list[UpstreamEntry]] = {}
        self._ranking_by_tag: dict[int, AgentRanking] = {}
        self._services_by_tag: dict[int, tuple[str, ...]] = {}
        self._warm_up_ends_at_by_name: dict[str, float] = {}
        self.agent_ranking = _NO_AGENTS
        self.further_ranking = _NO_AGENTS
        self.unconfigured_agents: tuple[str, ...] = ()
        self._all_ranking = _NO_AGENTS
        self.listed_agents: frozenset[str] = frozenset()
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
        has_other_services = False
        if update.configuration or update.configuration_change:
            has_other_services = self._apply_configuration()
        # Removals first: one that is sent again may be older than the entry in the same update.
        for removal in update.removals:
            self._warm_up_ends_at_by_name.pop(removal.name, None)
        for entry in update.entries:
            if self._entry_by_name.get(entry.name) == entry:
                continue  # sent again for peers that lack it
            self._warm_up_ends_at_by_name[entry.name] = now + entry.warm_up_left_ms / 1000
        if update.entries or update.removals or has_other_services:
            self._rebuild_agents(now)

    def _apply_configuration(self) -> bool:
        """Return whether the configured services have changed."""
        configuration = self._catalog.configuration
        if configuration is None:
            return False
        self._routes = RouteIndex(configuration=configuration)
        before = self._configured_services
        self._configured_services = frozenset(configuration.services).union(
            share.service for route in configuration.routes for share in route.shares
        )
        return before != self._configured_services

    def _rebuild_agents(self, now: float) -> None:
        before = set(self.agent_ranking.agents)
        listed_before = self.listed_agents
        self._entry_by_name = dict(self._catalog.entry_by_name)
        entries = self._entry_by_name.values()
        self.listed_agents = frozenset(entry.address for entry in entries)
        self._entry_by_upstream = {
            (entry.address, entry.port, entry.service): entry
            for entry in sorted(entries, key=lambda entry: (entry.started_ms, entry.revision))
        }
        self._entries_by_service = {}
        agents_by_tag: dict[int, list[str]] = {}
        for entry in self._entry_by_upstream.values():
            self._entries_by_service.setdefault(entry.service, []).append(entry)
            agents_by_tag.setdefault(service_tag(entry.service), []).append(entry.address)
        self._ranking_by_tag = {
            tag: AgentRanking(agents=agents) for tag, agents in agents_by_tag.items()
        }
        services_by_tag: dict[int, list[str]] = {}
        for service in sorted(self._configured_services | self._entries_by_service.keys()):
            services_by_tag.setdefault(service_tag(service), []).append(service)
        self._services_by_tag = {tag: tuple(names) for tag, names in services_by_tag.items()}
        self._rank_agents()
        if before != set(self.agent_ranking.agents):
            self.agents_changed_at = now
        if self.listed_agents - listed_before:
            self.agents_added_at = now

    def _rank_agents(self) -> None:
        # Before there is a configuration, no entry is of a service that it lacks.
        configured = {
            entry.address
            for entry in self._entry_by_upstream.values()
            if self._routes is None or entry.service in self._configured_services
        }
        self._all_ranking = AgentRanking(
            agents=[entry.address for entry in self._entry_by_upstream.values()]
        )
        agents = self._all_ranking.agents
        self.unconfigured_agents = tuple(agent for agent in agents if agent not in configured)
        self.agent_ranking = self._all_ranking
        self.further_ranking = _NO_AGENTS
        if configured and self.unconfigured_agents:
            self.agent_ranking = AgentRanking(agents=[one for one in agents if one in configured])
            self.further_ranking = AgentRanking(agents=self.unconfigured_agents)

    @property
    def all_agents(self) -> tuple[str, ...]:
        """Addresses of the agents of all services."""
        return self._all_ranking.agents

    def unconfigured(self, update: CatalogUpdate) -> list[UpstreamEntry]:
        """Return the entries of ``update`` that get no new flow: their service isn't configured."""
        if self._routes is None:
            return []
        return [entry for entry in update.entries if entry.service not in self._configured_services]

    def route(self, flow: FlowKey) -> Route | None:
        """Return the route of a flow, or None if its destination has none."""
        return None if self._routes is None else self._routes.find(flow)

    def entry(self, agent: str, port: int, service: str) -> UpstreamEntry | None:
        """Return the entry of an upstream at the address of ``agent``, or None if it isn't listed.

        The service needn't be configured: an agent knows that of its own upstream.
        """
        return self._entry_by_upstream.get((agent, port, service))

    def warm_up_ends_at(self, name: str) -> float:
        """Return when the warm-up of the upstream with this entry ends; 0 if it isn't known."""
        return self._warm_up_ends_at_by_name.get(name, 0.0)

    def serves(self, agent: str, service: str) -> bool:
        """Return whether an upstream of the service is listed at the address of ``agent``."""
        return any(entry.address == agent for entry in self._entries_by_service.get(service, ()))

    @property
    def colliding_services(self) -> list[tuple[str, ...]]:
        """The names of configured services that have the same tag, for each such tag."""
        collisions = [
            tuple(name for name in names if name in self._configured_services)
            for names in self._services_by_tag.values()
            if len(names) > 1
        ]
        return [names for names in collisions if len(names) > 1]

    def tagged_service(self, tag: int, flow: FlowKey, *, preferred: str) -> str:
        """Return the service that a packet of ``flow`` with the tag is for, or an empty string.

        Of services with the same tag it is the one that the flow's route names; of several there,
        and of those of an unknown route, ``preferred`` comes first.
        """
        names = self._services_by_tag.get(tag, ())
        if preferred not in names and service_tag(preferred) == tag:
            names = (*names, preferred)
        if len(names) < 2:
            return names[0] if names else ""
        route = self.route(flow)
        shares = [] if route is None else [each for each in route.shares if each.service in names]
        weighted = [share.service for share in shares if share.weight]
        possible = weighted or [share.service for share in shares] or names
        return preferred if preferred in possible else possible[0]

    def search_order(self, tag: int, *, excluded: frozenset[str] = frozenset()) -> SearchOrder:
        """Return the order of search for flows of a route whose service now has the tag.

        The agents in ``excluded`` are left out after those of the service.
        """
        all_agents = self._all_ranking
        if excluded:
            all_agents = AgentRanking(
                agents=[agent for agent in all_agents.agents if agent not in excluded]
            )
        return SearchOrder(
            agents=self.agent_ranking,
            service_agents=self._ranking_by_tag.get(tag, _NO_AGENTS),
            all_agents=all_agents,
        )

    def is_evacuated(self, service: str) -> bool:
        """Return whether a service has upstreams that don't drain, all in evacuated domains."""
        evacuated = self._catalog.evacuated_domains
        domains = {
            entry.failure_domain
            for entry in self._entries_by_service.get(service, ())
            if not entry.is_draining
        }
        return bool(domains) and domains <= evacuated

    def candidates(self, service: str, now: float) -> list[Candidate]:
        """Return the agents of a service that have an upstream which isn't draining.

        Upstreams in evacuated failure domains are left out, also if there are no others.

        If the entries of an address contradict each other, its agent decides: it knows the port of
        its upstream, and hands over what that doesn't take.
        """
        evacuated = self._catalog.evacuated_domains
        candidate_by_agent = {
            entry.address: Candidate(
                agent=entry.address,
                failure_domain=entry.failure_domain,
                slots=entry.slots,
                slow_start=(
                    SLOW_START_SHARE
                    if self._warm_up_ends_at_by_name.get(entry.name, 0.0) > now
                    else 1.0
                ),
            )
            for entry in self._entries_by_service.get(service, ())
            if _exclusion(entry, evacuated) is None
        }
        return list(candidate_by_agent.values())

    def excluded(self, service: str) -> list[tuple[UpstreamEntry, str]]:
        """Return the upstreams of a service that aren't candidates, each with the reason."""
        evacuated = self._catalog.evacuated_domains
        return [
            (entry, reason)
            for entry in self._entries_by_service.get(service, ())
            if (reason := _exclusion(entry, evacuated)) is not None
        ]


def _exclusion(entry: UpstreamEntry, evacuated: frozenset[str]) -> str | None:
    if entry.is_draining:
        return "draining"
    return "evacuated" if entry.failure_domain in evacuated else None
