"""The view of upstreams and routes that a process uses."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from laburnumbridge.catalog.configuration_changes import apply_change
from laburnumbridge.catalog.configuration_changes import diff_configurations
from laburnumbridge.catalog.records import CatalogUpdate
from laburnumbridge.catalog.records import UpstreamRemoval

if TYPE_CHECKING:
    from collections.abc import Iterable

    from laburnumbridge.catalog.records import ConfigurationChange
    from laburnumbridge.catalog.records import RoutingConfiguration
    from laburnumbridge.catalog.records import UpstreamEntry

TOMBSTONE_TTL_S = 60.0
"""How long a tombstone is kept, so that an older entry from a peer doesn't restore the upstream."""


class Catalog:
    """The upstreams by name and the configuration, merged from the platform and from peers.

    Each entry carries the platform's revision and the newest revision wins, from whatever source,
    so processes that exchange updates in any order converge to the same view. The newest version
    of the configuration wins; an older one never replaces it.
    """

    def __init__(self) -> None:
        self.entry_by_name: dict[str, UpstreamEntry] = {}
        self.configuration: RoutingConfiguration | None = None
        self.revision = 0
        self.confirmed_at: float | None = None
        self.confirmed_by = ""
        self._tombstone_by_name: dict[str, tuple[UpstreamRemoval, float]] = {}
        self._held_removal_by_name: dict[str, tuple[UpstreamRemoval, float]] = {}

    @property
    def configuration_version(self) -> int:
        """Version of the current configuration, or 0 without one."""
        return 0 if self.configuration is None else self.configuration.version

    @property
    def is_ready(self) -> bool:
        """True with a configuration and at least one upstream."""
        return self.configuration is not None and bool(self.entry_by_name)

    def confirmed_age_s(self, now: float) -> float | None:
        """Return the seconds since the platform last confirmed this view; None if it never did."""
        return None if self.confirmed_at is None else max(0.0, now - self.confirmed_at)

    def merge(
        self, update: CatalogUpdate, now: float, *, hold_removals_until: float = 0.0
    ) -> CatalogUpdate:
        """Merge ``update`` and return the part of it that was new.

        After an outage of the platform, removals are held until ``hold_removals_until``, since
        entries that expired during the outage are published again by that time.
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
                self._held_removal_by_name[removal.name] = (removal, hold_removals_until)
            elif self._merge_removal(removal, now):
                removals.append(removal)
        configuration, change, is_outdated = self._merge_configuration(update)
        return CatalogUpdate(
            revision=self.revision,
            confirmed_age_ms=update.confirmed_age_ms,
            confirmed_by=update.confirmed_by,
            entries=entries,
            removals=tuple(removals),
            configuration=configuration,
            configuration_change=change,
            lacks_configuration=is_outdated,
        )

    def apply_held_removals(self, now: float) -> CatalogUpdate:
        """Apply the held removals that are due; return those that took effect."""
        due = [removal for removal, until in self._held_removal_by_name.values() if until <= now]
        for removal in due:
            del self._held_removal_by_name[removal.name]
        removals = tuple(removal for removal in due if self._merge_removal(removal, now))
        return CatalogUpdate(revision=self.revision, confirmed_age_ms=None, removals=removals)

    def removals_of_unlisted(
        self, names: Iterable[str], revision: int
    ) -> tuple[UpstreamRemoval, ...]:
        """Return removals of the entries that a complete listing at ``revision`` lacks."""
        present = set(names)
        return tuple(
            UpstreamRemoval(name=name, revision=revision)
            for name, entry in self.entry_by_name.items()
            if name not in present and entry.revision <= revision
        )

    def snapshot(self, now: float) -> CatalogUpdate:
        """Return the complete view, for a peer that has just connected."""
        self._expire_tombstones(now)
        return replace(
            self.heartbeat(now),
            entries=tuple(self.entry_by_name.values()),
            removals=tuple(removal for removal, _ in self._tombstone_by_name.values()),
            configuration=self.configuration,
        )

    def heartbeat(self, now: float) -> CatalogUpdate:
        """Return an update without changes, which reports the age of this view to a peer."""
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
        """Return the first configuration or a change, and whether a newer one is missing here."""
        base = self.configuration
        change = update.configuration_change
        if update.configuration is not None:
            if base is None:
                self.configuration = update.configuration
                return update.configuration, None, False
            if update.configuration.version > base.version:
                self.configuration = update.configuration
                return None, diff_configurations(base, update.configuration), False
        if change is not None and change.version > self.configuration_version:
            if base is None or change.base_version != base.version:
                return None, None, True
            self.configuration = apply_change(base, change)
            return None, change, False
        return None, None, update.configuration_version > self.configuration_version

    def _merge_entry(self, entry: UpstreamEntry) -> bool:
        current = self.entry_by_name.get(entry.name)
        if current is not None and current.revision >= entry.revision:
            return False
        tombstone = self._tombstone_by_name.get(entry.name)
        if tombstone is not None and tombstone[0].revision >= entry.revision:
            return False
        held = self._held_removal_by_name.get(entry.name)
        if held is not None and entry.revision > held[0].revision:
            del self._held_removal_by_name[entry.name]
        self.entry_by_name[entry.name] = entry
        return True

    def _merge_removal(self, removal: UpstreamRemoval, now: float) -> bool:
        tombstone = self._tombstone_by_name.get(removal.name)
        if tombstone is None or tombstone[0].revision < removal.revision:
            self._tombstone_by_name[removal.name] = (removal, now + TOMBSTONE_TTL_S)
        entry = self.entry_by_name.get(removal.name)
        if entry is None or entry.revision > removal.revision:
            return False
        del self.entry_by_name[removal.name]
        return True

    def _expire_tombstones(self, now: float) -> None:
        for name, (_, until) in list(self._tombstone_by_name.items()):
            if until <= now:
                del self._tombstone_by_name[name]
