"""The state of a fleet, from the snapshots of its processes."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from laburnumbridge.cli.imbalance import measure_services
from laburnumbridge.telemetry import BROKEN_FLOWS

if TYPE_CHECKING:
    from collections.abc import Mapping

    from laburnumbridge.cli.imbalance import ServiceLoad
    from laburnumbridge.cli.unresponsive_process import UnresponsiveProcess
    from laburnumbridge.telemetry import ProcessSnapshot
    from laburnumbridge.telemetry import UpstreamLoad

_MAX_EXAMPLES = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class ProcessGroup:
    """Number of processes of a role in a failure domain, of those that answered."""

    role: str
    region: str
    failure_domain: str
    processes: int


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionGroup:
    """Processes in which the same version of a list is in force.

    ``examples`` are some of them by name. Two groups with one version and different digests
    mean that the platform published different content under one number.
    """

    name: str
    version: int
    digest: str
    processes: int
    examples: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ViewGroup:
    """Processes with the same view of the membership; ``examples`` are some of them by name."""

    digest: str
    count_by_state: Mapping[str, int]
    processes: int
    examples: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetStatus:
    """Summary of a fleet.

    ``versions`` are ordered by list, then newest version first; ``views`` by number of processes,
    largest first. ``refusals_by_reason`` and ``broken_flows`` count since the processes started.
    ``silent`` are the processes that did not answer.
    """

    answered: int
    processes: tuple[ProcessGroup, ...]
    versions: tuple[VersionGroup, ...]
    views: tuple[ViewGroup, ...]
    services: tuple[ServiceLoad, ...]
    refusals_by_reason: Mapping[str, int]
    broken_flows: int
    silent: tuple[UnresponsiveProcess, ...]


class FleetStatusBuilder:
    """Builds a status from snapshots, and keeps only what the status needs of each."""

    def __init__(self) -> None:
        self._answered = 0
        self._processes: Counter[tuple[str, str, str]] = Counter()
        self._names_by_version: dict[tuple[str, int, str], list[str]] = {}
        self._names_by_view: dict[str, list[str]] = {}
        self._states_by_view: dict[str, Mapping[str, int]] = {}
        self._loads: list[UpstreamLoad] = []
        self._refusals: Counter[str] = Counter()
        self._broken_flows = 0
        self._unresponsive: list[UnresponsiveProcess] = []

    def add(self, snapshot: ProcessSnapshot) -> None:
        """Add a process that answered."""
        facts = snapshot.facts
        self._answered += 1
        self._processes[facts.role, facts.region, facts.failure_domain] += 1
        for item in facts.lists:
            key = (item.name, item.version, item.digest)
            self._names_by_version.setdefault(key, []).append(facts.name)
        if facts.membership is not None:
            digest = facts.membership.digest
            self._names_by_view.setdefault(digest, []).append(facts.name)
            self._states_by_view.setdefault(digest, facts.membership.count_by_state)
        self._loads.extend(facts.upstreams)
        self._refusals.update(snapshot.refusals_by_reason)
        self._broken_flows += snapshot.counters.get(BROKEN_FLOWS, 0)

    def add_unresponsive(self, process: UnresponsiveProcess) -> None:
        """Add a process that did not answer."""
        self._unresponsive.append(process)

    def build(self) -> FleetStatus:
        """Return the status."""
        return FleetStatus(
            answered=self._answered,
            processes=self._process_groups(),
            versions=self._version_groups(),
            views=self._view_groups(),
            services=measure_services(self._loads),
            refusals_by_reason=dict(sorted(self._refusals.items())),
            broken_flows=self._broken_flows,
            silent=tuple(sorted(self._unresponsive)),
        )

    def _process_groups(self) -> tuple[ProcessGroup, ...]:
        return tuple(
            ProcessGroup(role=role, region=region, failure_domain=domain, processes=count)
            for (role, region, domain), count in sorted(self._processes.items())
        )

    def _version_groups(self) -> tuple[VersionGroup, ...]:
        ordered = sorted(
            self._names_by_version.items(),
            key=lambda item: (item[0][0], -item[0][1], -len(item[1]), item[0][2]),
        )
        return tuple(
            VersionGroup(
                name=name,
                version=version,
                digest=digest,
                processes=len(names),
                examples=tuple(sorted(names)[:_MAX_EXAMPLES]),
            )
            for (name, version, digest), names in ordered
        )

    def _view_groups(self) -> tuple[ViewGroup, ...]:
        ordered = sorted(self._names_by_view.items(), key=lambda item: (-len(item[1]), item[0]))
        return tuple(
            ViewGroup(
                digest=digest,
                count_by_state=dict(sorted(self._states_by_view[digest].items())),
                processes=len(names),
                examples=tuple(sorted(names)[:_MAX_EXAMPLES]),
            )
            for digest, names in ordered
        )
