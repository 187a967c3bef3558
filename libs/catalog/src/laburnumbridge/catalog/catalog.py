"""The view of upstreams and routes that a process works with."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from laburnumbridge.catalog.configuration_changes import changed_configuration
from laburnumbridge.catalog.configuration_changes import configuration_change
from laburnumbridge.catalog.records import CatalogUpdate
from laburnumbridge.catalog.records import UpstreamRemoval

if TYPE_CHECKING:
    from collections.abc import Iterable

    from laburnumbridge.catalog.records import ConfigurationChange
    from laburnumbridge.catalog.records import RoutingConfiguration
    from laburnumbridge.catalog.records import UpstreamEntry

REMOVED_S = 60.0
"""How long a removal is remembered, so that an older entry from a peer doesn't return."""


class Catalog:
    """Upstreams by name and the routes in force, merged from the platform and from peers.

    Each entry carries the platform's revision and the newest revision wins, whichever way it
    comes, so processes that exchange updates in any order end with the same view. The newest
    configuration version wins; an older one never comes into force.
    """

    def __init__(self) -> None:
        self.entry_by_name: dict[str, UpstreamEntry] = {}
        self.configuration: RoutingConfiguration | None = None
        self.revision = 0
        self.confirmed_at: float | None = None
        self.confirmed_by = ""
        self._removal_by_name: dict[str, tuple[UpstreamRemoval, float]] = {}
        self._held_by_name: dict[str, tuple[UpstreamRemoval, float]] = {}

    @property
    def configuration_version(self) -> int:
        """Version in force, 0 without one."""
        return 0 if self.configuration is None else self.configuration.version

    @property
    def is_ready(self) -> bool:
        """True once routes and at least one upstream are known."""
        return self.configuration is not None and bool(self.entry_by_name)

    def confirmed_age_s(self, now: float) -> float | None:
        """Return how long ago the platform last confirmed this view."""
        return None if self.confirmed_at is None else max(0.0, now - self.confirmed_at)

    def merge(
        self, update: CatalogUpdate, now: float, *, hold_removals_until: float = 0.0
    ) -> CatalogUpdate:
        """Take in ``update`` and return the part of it that was new.

        Removals seen right after an outage of the platform are held until
        ``hold_removals_until``: entries that lapsed meanwhile return within that time.
        """
        if update.confirmed_age_ms is not None:
            confirmed_at = now - update.confirmed_age_ms / 1000
            if self.confirmed_at is None or confirmed_at > self.confirmed_at:
                self.confirmed_at = confirmed_at
                self.confirmed_by = update.confirmed_by
        if update.has_changes or update.is_own_reading:
            self.revision = max(self.revision, update.revision)
        entries = tuple(entry for entry in update.entries if self._merge_entry(entry))
        removals = []
        for removal in update.removals:
            if hold_removals_until > now:
                self._held_by_name[removal.name] = (removal, hold_removals_until)
            elif self._merge_removal(removal, now):
                removals.append(removal)
        configuration, change, is_lacking = self._merge_configuration(update)
        return CatalogUpdate(
            revision=self.revision,
            confirmed_age_ms=update.confirmed_age_ms,
            confirmed_by=update.confirmed_by,
            entries=entries,
            removals=tuple(removals),
            configuration=configuration,
            configuration_change=change,
            lacks_configuration=is_lacking,
        )

    def apply_held_removals(self, now: float) -> CatalogUpdate:
        """Apply held removals whose time is over; return those that took effect."""
        due = [removal for removal, until in self._held_by_name.values() if until <= now]
        for removal in due:
            del self._held_by_name[removal.name]
        removals = tuple(removal for removal in due if self._merge_removal(removal, now))
        return CatalogUpdate(revision=self.revision, confirmed_age_ms=None, removals=removals)

    def missing(self, names: Iterable[str], revision: int) -> tuple[UpstreamRemoval, ...]:
        """Return removals of the entries that a complete listing at ``revision`` doesn't name."""
        present = set(names)
        return tuple(
            UpstreamRemoval(name=name, revision=revision)
            for name, entry in self.entry_by_name.items()
            if name not in present and entry.revision <= revision
        )

    def snapshot(self, now: float) -> CatalogUpdate:
        """Return everything, for a peer that has just connected."""
        self._forget_removals(now)
        return replace(
            self.heartbeat(now),
            entries=tuple(self.entry_by_name.values()),
            removals=tuple(removal for removal, _ in self._removal_by_name.values()),
            configuration=self.configuration,
        )

    def heartbeat(self, now: float) -> CatalogUpdate:
        """Return an update without changes, which tells a peer how fresh this view is."""
        age_s = self.confirmed_age_s(now)
        return CatalogUpdate(
            revision=self.revision,
            confirmed_age_ms=None if age_s is None else int(age_s * 1000),
            confirmed_by=self.confirmed_by,
            configuration_version=self.configuration_version,
        )

    def _merge_configuration(
        self, update: CatalogUpdate
    ) -> tuple[RoutingConfiguration | None, ConfigurationChange | None, bool]:
        """Return a first configuration, or the change to a newer one, or that a part is missing."""
        in_force = self.configuration
        change = update.configuration_change
        if update.configuration is not None:
            if in_force is None:
                self.configuration = update.configuration
                return update.configuration, None, False
            if update.configuration.version > in_force.version:
                self.configuration = update.configuration
                return None, configuration_change(in_force, update.configuration), False
        if change is not None and change.version > self.configuration_version:
            if in_force is None or change.base_version != in_force.version:
                return None, None, True
            self.configuration = changed_configuration(in_force, change)
            return None, change, False
        return None, None, update.configuration_version > self.configuration_version

    def _merge_entry(self, entry: UpstreamEntry) -> bool:
        known = self.entry_by_name.get(entry.name)
        if known is not None and known.revision >= entry.revision:
            return False
        removed = self._removal_by_name.get(entry.name)
        if removed is not None and removed[0].revision >= entry.revision:
            return False
        held = self._held_by_name.get(entry.name)
        if held is not None and entry.revision > held[0].revision:
            del self._held_by_name[entry.name]
        self.entry_by_name[entry.name] = entry
        return True

    def _merge_removal(self, removal: UpstreamRemoval, now: float) -> bool:
        removed = self._removal_by_name.get(removal.name)
        if removed is None or removed[0].revision < removal.revision:
            self._removal_by_name[removal.name] = (removal, now + REMOVED_S)
        entry = self.entry_by_name.get(removal.name)
        if entry is None or entry.revision > removal.revision:
            return False
        del self.entry_by_name[removal.name]
        return True

    def _forget_removals(self, now: float) -> None:
        for name, (_, until) in list(self._removal_by_name.items()):
            if until <= now:
                del self._removal_by_name[name]
