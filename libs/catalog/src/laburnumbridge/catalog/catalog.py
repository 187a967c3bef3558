"""The view of upstreams and routes that a process uses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from msgspec.structs import replace

from laburnumbridge.catalog.configuration_changes import apply_change
from laburnumbridge.catalog.configuration_changes import diff_configurations
from laburnumbridge.catalog.departures import Departures
from laburnumbridge.catalog.departures import has_departed
from laburnumbridge.catalog.entry_versions import keep_confirmed_state
from laburnumbridge.catalog.entry_versions import version_key
from laburnumbridge.catalog.evacuations import REMOVAL_HOLD_S
from laburnumbridge.catalog.evacuations import EvacuationState
from laburnumbridge.catalog.records import CatalogUpdate
from laburnumbridge.catalog.records import UpstreamRemoval
from laburnumbridge.catalog.revision import NO_REVISION

if TYPE_CHECKING:
    from laburnumbridge.catalog.evacuations import Evacuations
    from laburnumbridge.catalog.records import ConfigurationChange
    from laburnumbridge.catalog.records import RoutingConfiguration
    from laburnumbridge.catalog.records import UpstreamEntry
    from laburnumbridge.catalog.revision import Revision

RETURN_HOLD_S = 4.5
"""How long the entry of an upstream that left before a restore isn't used. An upstream publishes
its entry every 1.2 s, and the platform removes it after three such intervals of silence."""


class HeldRemoval(msgspec.Struct, frozen=True, kw_only=True):
    """A removal that takes effect at ``until``.

    Until then the view is complete up to ``complete_revision`` at most.
    """

    removal: UpstreamRemoval
    until: float
    complete_revision: Revision


class HeldEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An entry that is used from ``until`` on, if it isn't removed before."""

    entry: UpstreamEntry
    until: float

    @property
    def complete_revision(self) -> Revision:
        """Revision up to which the view is complete without the entry."""
        return self.entry.revision.previous


class Catalog:
    """The upstreams by name and the configuration, merged from the platform and from peers.

    Each entry carries the platform's revision and the newest revision wins, from whatever source,
    so processes that exchange updates in any order converge to the same view. The newest version
    of the configuration wins; an older one never replaces it.

    After the platform was restored from a copy, all entries are of a new era and replace those of
    the one before. What the platform had confirmed and the copy lacks stays true: an upstream that
    drains isn't ready again, an earlier start of it doesn't replace a later one, and one that has
    left isn't used until it has published its entry again or the copy's entry must have expired.

    The view is complete up to ``complete_revision``: an upstream that it lacks there has left, and
    an older entry of it, however late it arrives, changes nothing. So no table needs a time-out to
    keep an upstream that has left out of use. Removals newer than that revision are kept as
    tombstones until the view is complete up to them.
    """

    def __init__(self) -> None:
        self.entry_by_name: dict[str, UpstreamEntry] = {}
        self.configuration: RoutingConfiguration | None = None
        self.revision: Revision = NO_REVISION
        self.confirmed_at: float | None = None
        self.confirmed_by = ""
        self._complete_revision = NO_REVISION
        self._listed_revision = NO_REVISION
        self._changed_revision = NO_REVISION
        self._restored_at: float | None = None
        self._tombstone_by_name: dict[str, UpstreamRemoval] = {}
        self._held_removal_by_name: dict[str, HeldRemoval] = {}
        self._held_entry_by_name: dict[str, HeldEntry] = {}
        self._departures = Departures()
        self._evacuation_state = EvacuationState()
        self._era = 0
        self._era_began_at = 0.0

    @property
    def configuration_version(self) -> int:
        """Version of the current configuration, or 0 without one."""
        return 0 if self.configuration is None else self.configuration.version

    @property
    def evacuations(self) -> Evacuations | None:
        """The newest register of evacuated failure domains, or None before the first one."""
        return self._evacuation_state.register

    @property
    def evacuated_domains(self) -> frozenset[str]:
        """The failure domains whose upstreams get no new flows, with those that are held."""
        return self._evacuation_state.domains

    @property
    def complete_revision(self) -> Revision:
        """Revision up to which the view lacks no change; a change that is held is lacking."""
        removals = (held.complete_revision for held in self._held_removal_by_name.values())
        entries = (held.complete_revision for held in self._held_entry_by_name.values())
        return min([self._complete_revision, *removals, *entries])

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
        entries that expired during the outage are published again by that time. They are also held
        after a restore, since entries that the copy lacks are published again.
        """
        if update.confirmed_age_ms is not None:
            confirmed_at = now - update.confirmed_age_ms / 1000
            if self.confirmed_at is None or confirmed_at > self.confirmed_at:
                self.confirmed_at = confirmed_at
                self.confirmed_by = update.confirmed_by
        if update.has_changes or update.is_own_reading:
            self._begin_era(update, now)
            self.revision = max(self.revision, update.revision)
        has_evacuation_change = self._evacuation_state.merge(update.evacuations, now)
        if self._restored_at is not None:
            hold_removals_until = max(hold_removals_until, self._restored_at + REMOVAL_HOLD_S)
        complete_before = self.complete_revision
        merged = [self._merge_entry(entry, update, now) for entry in update.entries]
        entries = [entry for entry in merged if entry is not None]
        removals = []
        for removal in (*update.removals, *self._removals_of_absent(update)):
            if hold_removals_until > now and self._is_removed_by(removal):
                self._hold(removal, hold_removals_until, complete_before)
            elif self._merge_removal(removal, now):
                removals.append(removal)
        configuration, change, is_outdated = self._merge_configuration(update)
        if update.is_own_reading or update.complete_since <= complete_before:
            self._complete_revision = max(self._complete_revision, update.complete_revision)
            if update.present is not None:
                self._listed_revision = max(self._listed_revision, update.complete_revision)
        return replace(
            self._new_since(complete_before, entries, removals),
            confirmed_age_ms=update.confirmed_age_ms,
            confirmed_by=update.confirmed_by,
            has_evacuation_change=has_evacuation_change,
            configuration=configuration,
            configuration_change=change,
            lacks_configuration=is_outdated,
        )

    def _new_since(
        self,
        complete_before: Revision,
        entries: list[UpstreamEntry],
        removals: list[UpstreamRemoval],
    ) -> CatalogUpdate:
        """Return the update for peers after ``entries`` and ``removals`` have taken effect."""
        complete = self.complete_revision
        present = None
        if complete > complete_before:
            # Peers that become complete by this update need each change since the last one, also
            # those that this process had before.
            entries = [one for one in self.entry_by_name.values() if one.revision > complete_before]
            removal_by_name = {removal.name: removal for removal in removals}
            for removal in self._tombstone_by_name.values():
                if removal.revision > complete_before:
                    removal_by_name.setdefault(removal.name, removal)
            removals = list(removal_by_name.values())
            if self._listed_revision > complete_before:
                # A listing doesn't tell what has left.
                present = tuple(self.entry_by_name)
        self._drop_tombstones()
        if entries or removals or present is not None:
            self._changed_revision = complete
        return CatalogUpdate(
            revision=self.revision,
            complete_since=complete_before,
            complete_revision=complete,
            confirmed_age_ms=None,
            present=present,
            entries=tuple(entries),
            removals=tuple(removals),
            evacuations=self.evacuations,
        )

    def _begin_era(self, update: CatalogUpdate, now: float) -> None:
        # The first pages of a listing have entries of the new era, but no revision.
        era = max([update.revision.era, *(entry.revision.era for entry in update.entries)])
        if era <= self._era:
            return
        if self.revision > NO_REVISION:
            self._restored_at = now
        self._era = era
        self._era_began_at = now

    def _is_removed_by(self, removal: UpstreamRemoval) -> bool:
        entry = self.entry_by_name.get(removal.name)
        return entry is not None and entry.revision <= removal.revision

    def _hold(self, removal: UpstreamRemoval, until: float, complete_before: Revision) -> None:
        entry = self.entry_by_name[removal.name]
        is_of_one_era = entry.revision.era == removal.revision.era
        self._held_removal_by_name[removal.name] = HeldRemoval(
            removal=removal,
            until=until,
            # An entry that a copy lacks is missing from the new era's first revision on.
            complete_revision=removal.revision.previous if is_of_one_era else complete_before,
        )

    def held_departures(self, update: CatalogUpdate) -> tuple[UpstreamRemoval, ...]:
        """Return the departures because of which entries of ``update`` are held."""
        found = (
            self._departures.find(entry)
            for entry in update.entries
            if entry.name in self._held_entry_by_name
        )
        return tuple(removal for removal in found if removal is not None)

    def apply_held_changes(self, now: float) -> CatalogUpdate:
        """Apply the held removals and entries that are due; return those that took effect."""
        complete_before = self.complete_revision
        due = [held.removal for held in self._held_removal_by_name.values() if held.until <= now]
        for removal in due:
            del self._held_removal_by_name[removal.name]
        removals = [removal for removal in due if self._merge_removal(removal, now)]
        entries = [held.entry for held in self._held_entry_by_name.values() if held.until <= now]
        for entry in entries:
            self._use(entry)
        self._departures.expire(now)
        has_evacuation_change = self._evacuation_state.apply_held(now)
        return replace(
            self._new_since(complete_before, entries, removals),
            has_evacuation_change=has_evacuation_change,
        )

    @property
    def _known_entry_by_name(self) -> dict[str, UpstreamEntry]:
        held = {name: held.entry for name, held in self._held_entry_by_name.items()}
        return {**held, **self.entry_by_name}

    def _removals_of_absent(self, update: CatalogUpdate) -> tuple[UpstreamRemoval, ...]:
        """Return removals of the entries that have left according to ``update.present``."""
        if update.present is None:
            return ()
        present = {*update.present, *(entry.name for entry in update.entries)}
        return tuple(
            UpstreamRemoval(name=name, revision=update.complete_revision)
            for name, entry in self._known_entry_by_name.items()
            if name not in present and entry.revision <= update.complete_revision
        )

    def snapshot(self, now: float) -> CatalogUpdate:
        """Return the complete view, for a peer that has just connected."""
        return replace(
            self.heartbeat(now),
            complete_since=NO_REVISION,
            present=tuple(self.entry_by_name),
            entries=tuple(self.entry_by_name.values()),
            removals=tuple(self._tombstone_by_name.values()),
            configuration=self.configuration,
        )

    def heartbeat(self, now: float) -> CatalogUpdate:
        """Return an update without changes, which reports the age of this view to a peer."""
        age_s = self.confirmed_age_s(now)
        return CatalogUpdate(
            revision=self.revision,
            complete_since=self._changed_revision,
            complete_revision=self.complete_revision,
            confirmed_age_ms=None if age_s is None else int(age_s * 1000),
            confirmed_by=self.confirmed_by,
            configuration_version=self.configuration_version,
            accepts_compressed=True,
            evacuations=self.evacuations,
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
            if _is_same_with_more(update.configuration, base):
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

    def _merge_entry(
        self, entry: UpstreamEntry, update: CatalogUpdate, now: float
    ) -> UpstreamEntry | None:
        """Merge ``entry``; return what is in use now if that has changed, or None."""
        current = self.entry_by_name.get(entry.name)
        if current is not None:
            entry = keep_confirmed_state(current, entry)
            if version_key(entry) <= version_key(current):
                return None
        has_left = current is None and entry.revision <= self.complete_revision
        if has_left and not update.is_own_reading:
            return None
        tombstone = self._tombstone_by_name.get(entry.name)
        if tombstone is not None and tombstone.revision >= entry.revision:
            return None
        if self._departures.find(entry) is not None and self._hold_return(entry, now):
            return None
        held = self._held_removal_by_name.get(entry.name)
        if held is not None and entry.revision > held.removal.revision:
            del self._held_removal_by_name[entry.name]
        self._use(entry)
        return entry

    def _use(self, entry: UpstreamEntry) -> None:
        self._held_entry_by_name.pop(entry.name, None)
        self._departures.forget(entry.name)
        self.entry_by_name[entry.name] = entry

    def _hold_return(self, entry: UpstreamEntry, now: float) -> bool:
        """Hold the entry of an upstream that has left, unless it was published again since."""
        until = self._era_began_at + RETURN_HOLD_S
        held = self._held_entry_by_name.get(entry.name)
        is_published_again = (
            held is not None
            and held.entry.revision.era == entry.revision.era
            and held.entry.revision < entry.revision
        )
        if until <= now or is_published_again:
            return False
        self._held_entry_by_name[entry.name] = HeldEntry(entry=entry, until=until)
        return True

    def _merge_removal(self, removal: UpstreamRemoval, now: float) -> bool:
        """Merge ``removal``; return whether the upstream was in use until now."""
        tombstone = self._tombstone_by_name.get(removal.name)
        if tombstone is None or tombstone.revision < removal.revision:
            self._tombstone_by_name[removal.name] = removal
        held = self._held_removal_by_name.get(removal.name)
        if held is not None and held.removal.revision <= removal.revision:
            del self._held_removal_by_name[removal.name]
        held_entry = self._held_entry_by_name.get(removal.name)
        if held_entry is not None and held_entry.entry.revision <= removal.revision:
            del self._held_entry_by_name[removal.name]
        entry = self.entry_by_name.get(removal.name)
        if entry is None:
            return False
        if entry.revision <= removal.revision:
            del self.entry_by_name[removal.name]
            self._departures.note(replace(removal, started_ms=entry.started_ms), now)
            return True
        if has_departed(entry, removal) and self._hold_return(entry, now):
            # This process has started since, and has the entry from the copy.
            del self.entry_by_name[removal.name]
            self._departures.note(removal, now)
            return True
        return False

    def _drop_tombstones(self) -> None:
        """Drop the tombstones that the revision of the complete view replaces."""
        for name, removal in list(self._tombstone_by_name.items()):
            if removal.revision <= self.complete_revision:
                del self._tombstone_by_name[name]


def _is_same_with_more(configuration: RoutingConfiguration, known: RoutingConfiguration) -> bool:
    """Return whether ``known`` lacks what a process of an earlier version has left out."""
    is_same = configuration.version == known.version
    return is_same and known.warm_ups is None and configuration.warm_ups is not None
