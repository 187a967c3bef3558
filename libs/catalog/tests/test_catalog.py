from __future__ import annotations

import pytest
from msgspec.structs import replace

from laburnumbridge.catalog import Catalog
from laburnumbridge.catalog import CatalogUpdate
from laburnumbridge.catalog import Revision
from laburnumbridge.catalog import Route
from laburnumbridge.catalog import RoutingConfiguration
from laburnumbridge.catalog import ServiceShare
from laburnumbridge.catalog import UpstreamRemoval
from laburnumbridge.standins.flows.platform_data import make_entry


def at(number: int, *, era: int = 1) -> Revision:
    return Revision(era, number)


ENTRY = replace(make_entry("10.0.0.1", slots=4), name="up-1", revision=at(5))


def update(**fields) -> CatalogUpdate:
    values = {"revision": at(5), "confirmed_age_ms": 0, "confirmed_by": "0/a"}
    return CatalogUpdate(**{**values, **fields})


def own_reading(number: int, **fields) -> CatalogUpdate:
    return update(revision=at(number), complete_revision=at(number), is_own_reading=True, **fields)


def route(name: str, port: int = 443) -> Route:
    return Route(
        name=name,
        address="198.18.0.1",
        port=port,
        shares=(ServiceShare(service="desk", weight=1),),
        is_retryable=True,
        is_transfer=False,
    )


def configuration(version: int, *routes: Route) -> RoutingConfiguration:
    return RoutingConfiguration(version=version, routes=routes, idle_timeout_ms=version)


@pytest.fixture
def catalog():
    catalog = Catalog()
    catalog.merge(update(entries=(ENTRY,), configuration=configuration(7)), 0.0)
    return catalog


class TestMerge:
    def test_a_change_is_returned_once(self, catalog):
        # Guards against changes that circulate between peers endlessly.
        newer = replace(ENTRY, revision=at(6), is_draining=True)
        assert catalog.merge(update(entries=(newer,)), 0.0).entries == (newer,)
        assert not catalog.merge(update(entries=(newer,)), 0.0).has_changes

    def test_an_older_entry_changes_nothing(self, catalog):
        # Guards against a draining upstream that gets new flows because of a peer's older entry.
        assert not catalog.merge(update(entries=(replace(ENTRY, revision=at(4)),)), 0.0).has_changes

    def test_an_older_configuration_is_ignored(self, catalog):
        # Guards against removed routes that are restored.
        assert catalog.merge(update(configuration=configuration(6)), 0.0).configuration is None
        assert catalog.configuration.version == 7

    def test_an_older_entry_doesnt_restore_a_removed_upstream(self, catalog):
        # Guards against peers that restore an upstream after its removal.
        catalog.merge(update(removals=(UpstreamRemoval(name="up-1", revision=at(8)),)), 0.0)
        assert not catalog.merge(update(entries=(ENTRY,)), 0.0).has_changes
        assert catalog.merge(update(entries=(replace(ENTRY, revision=at(9)),)), 0.0).entries

    def test_a_heartbeat_doesnt_raise_the_revision(self, catalog):
        # Guards against a process that starts empty and requests nothing after a heartbeat.
        catalog.merge(update(revision=at(90)), 0.0)
        assert catalog.revision == at(5)

    def test_the_latest_confirmation_counts(self, catalog):
        # Guards against a view whose age is that of an older confirmation, received later.
        catalog.merge(update(confirmed_age_ms=4_000), 10.0)
        catalog.merge(update(confirmed_age_ms=9_000), 10.0)
        assert catalog.confirmed_age_s(10.0) == pytest.approx(4.0)


class TestHeldRemovals:
    def test_an_entry_published_again_in_time_is_kept(self, catalog):
        # Guards against upstreams that lose their flows because the platform was unavailable.
        removal = update(removals=(UpstreamRemoval(name="up-1", revision=at(8)),))
        assert not catalog.merge(removal, 0.0, hold_removals_until=2.2).has_changes
        catalog.merge(update(entries=(replace(ENTRY, revision=at(9)),)), 1.0)
        assert not catalog.apply_held_changes(3.0).has_changes
        assert "up-1" in catalog.entry_by_name

    def test_an_entry_not_published_again_is_removed(self, catalog):
        # Guards against new flows for an upstream that stopped during an outage of the platform.
        removal = update(removals=(UpstreamRemoval(name="up-1", revision=at(8)),))
        catalog.merge(removal, 0.0, hold_removals_until=2.2)
        assert not catalog.apply_held_changes(2.0).has_changes
        assert catalog.apply_held_changes(2.2).removals
        assert not catalog.entry_by_name

    def test_changes_made_while_a_removal_was_held_reach_a_peer_with_it(self):
        # Guards against a live upstream that a peer never uses: it missed the entry published
        # meanwhile, and the end of the hold told it that its view was complete.
        reader, peer = Catalog(), Catalog()
        reader.merge(own_reading(6, entries=(ENTRY,)), 0.0)
        peer.merge(reader.snapshot(0.0), 0.0)
        removal = UpstreamRemoval(name="up-1", revision=at(20))
        held = reader.merge(own_reading(20, removals=(removal,)), 1.0, hold_removals_until=3.0)
        peer.merge(held, 1.0)
        reader.merge(own_reading(21, entries=(replace(ENTRY, name="up-2", revision=at(21)),)), 1.0)
        peer.merge(reader.apply_held_changes(3.0), 3.0)
        assert peer.complete_revision == at(21)
        assert set(peer.entry_by_name) == {"up-2"}


class TestRestore:
    def test_entries_of_a_new_era_replace_those_of_the_one_before(self, catalog):
        # Guards against a view that keeps what the platform has lost.
        newer = replace(ENTRY, revision=at(2, era=2), is_draining=True)
        assert catalog.merge(update(entries=(newer,)), 0.0).entries == (newer,)

    def test_the_state_known_before_the_restore_reaches_peers_that_lack_it(self, catalog):
        # Guards against processes that differ in which upstreams drain.
        other = Catalog()
        copied = replace(ENTRY, revision=at(2, era=2))
        other.merge(update(revision=at(2, era=2), entries=(copied,)), 0.0)
        catalog.merge(update(entries=(replace(ENTRY, revision=at(7), is_draining=True),)), 0.0)
        changes = catalog.merge(update(entries=(copied,)), 0.0)
        other.merge(changes, 0.0)
        assert other.entry_by_name["up-1"].is_draining
        assert not catalog.merge(update(entries=(copied,)), 0.0).has_changes

    def test_an_entry_published_again_is_taken_as_it_is(self, catalog):
        # Guards against an upstream that is out of use for good by what was known once.
        catalog.merge(update(entries=(replace(ENTRY, revision=at(7), is_draining=True),)), 0.0)
        catalog.merge(update(entries=(replace(ENTRY, revision=at(2, era=2)),)), 0.0)
        catalog.merge(update(entries=(replace(ENTRY, revision=at(4, era=2)),)), 0.0)
        assert not catalog.entry_by_name["up-1"].is_draining


class TestReturnAfterARestore:
    COPIED = replace(ENTRY, revision=at(2, era=2))

    @pytest.fixture
    def left(self, catalog):
        removal = UpstreamRemoval(name="up-1", revision=at(8))
        catalog.merge(update(revision=at(8), removals=(removal,)), 0.0)
        catalog.merge(update(revision=at(3, era=2), entries=(self.COPIED,)), 1.0)
        return catalog

    def test_an_entry_of_the_copy_is_used_when_it_must_have_expired(self, left):
        # Guards against a live upstream that is out of use for good.
        assert not left.apply_held_changes(5.4).has_changes
        assert left.apply_held_changes(5.5).entries == (self.COPIED,)
        assert set(left.entry_by_name) == {"up-1"}

    def test_an_entry_published_again_is_used_at_once(self, left):
        # Guards against a live upstream without new flows for seconds.
        again = replace(ENTRY, revision=at(4, era=2))
        assert left.merge(update(entries=(again,)), 1.1).entries == (again,)
        assert not left.apply_held_changes(9.0).has_changes

    def test_a_later_start_is_used_at_once(self, left):
        # Guards against an upstream without new flows since an earlier start of it has left.
        later = replace(self.COPIED, started_ms=ENTRY.started_ms + 1, revision=at(3, era=2))
        assert left.merge(update(entries=(later,)), 1.1).entries == (later,)

    def test_an_entry_that_expires_is_never_used(self, left):
        # Guards against an upstream in use that left before the restore.
        removal = UpstreamRemoval(name="up-1", revision=at(5, era=2))
        left.merge(update(revision=at(5, era=2), removals=(removal,)), 4.0)
        assert not left.apply_held_changes(9.0).has_changes
        assert not left.entry_by_name

    def test_a_second_restore_doesnt_count_as_published_again(self, left):
        # Guards against an upstream in use that left before the first of two restores.
        copied = replace(ENTRY, revision=at(2, era=3))
        later = update(revision=at(3, era=3), entries=(copied,))
        assert not left.merge(later, 2.0).entries
        assert not left.apply_held_changes(5.5).has_changes
        assert left.apply_held_changes(6.5).entries == (copied,)

    def test_a_departure_long_before_the_restore_doesnt_count(self, catalog):
        # Guards against a table of departures that grows for good.
        removal = UpstreamRemoval(name="up-1", revision=at(8))
        catalog.merge(update(revision=at(8), removals=(removal,)), 0.0)
        catalog.apply_held_changes(61.0)
        changes = catalog.merge(update(revision=at(3, era=2), entries=(self.COPIED,)), 61.0)
        assert changes.entries == (self.COPIED,)


class TestSnapshot:
    def test_a_peer_that_merges_it_has_the_same_view(self, catalog):
        # Guards against a peer that misses removals or routes.
        catalog.merge(update(removals=(UpstreamRemoval(name="up-1", revision=at(8)),)), 0.0)
        other = Catalog()
        other.merge(update(entries=(ENTRY,)), 0.0)
        other.merge(catalog.snapshot(1.0), 1.0)
        assert other.entry_by_name == catalog.entry_by_name == {}
        assert other.configuration == catalog.configuration
        assert not other.merge(update(entries=(ENTRY,)), 1.0).has_changes

    @pytest.mark.parametrize("suspended_s", [1.0, 59.0, 61.1, 3_600.0])
    def test_an_upstream_that_left_during_a_suspension_is_removed(self, suspended_s):
        # Guards against a server in use that has left: tombstones were kept for 60 s, and a process
        # suspended for longer kept the upstream although it reported the newest revision.
        reader, suspended = Catalog(), Catalog()
        other = replace(ENTRY, name="up-2", revision=at(6))
        reader.merge(own_reading(6, entries=(ENTRY, other)), 0.0)
        suspended.merge(reader.snapshot(0.0), 0.0)
        removal = UpstreamRemoval(name="up-1", revision=at(20))
        reader.merge(own_reading(20, removals=(removal,)), 1.0)
        now = 1.0 + suspended_s
        assert [one.name for one in suspended.merge(reader.snapshot(now), now).removals] == ["up-1"]
        assert list(suspended.entry_by_name) == ["up-2"]
        assert suspended.complete_revision == at(20)

    def test_an_older_view_never_restores_an_upstream(self):
        # Guards against a peer that wakes after any time and spreads a server that has left.
        reader = Catalog()
        reader.merge(own_reading(6, entries=(ENTRY,)), 0.0)
        old_view = reader.snapshot(0.0)
        removal = UpstreamRemoval(name="up-1", revision=at(20))
        reader.merge(own_reading(20, removals=(removal,)), 1.0)
        assert not reader.merge(old_view, 100_000.0).has_changes
        assert not reader.entry_by_name

    def test_a_view_with_a_newer_revision_but_gaps_removes_nothing(self):
        # Guards against a live upstream that is dropped since a peer that has just started knows
        # only the newest change.
        started, complete = Catalog(), Catalog()
        complete.merge(own_reading(6, entries=(ENTRY,)), 0.0)
        newest = replace(ENTRY, name="up-2", revision=at(9))
        started.merge(update(revision=at(9), entries=(newest,), complete_since=at(8)), 0.0)
        complete.merge(started.snapshot(0.0), 0.0)
        assert sorted(complete.entry_by_name) == ["up-1", "up-2"]
        started.merge(complete.snapshot(0.0), 0.0)
        assert sorted(started.entry_by_name) == ["up-1", "up-2"]

    def test_a_held_removal_is_lacking_until_it_is_applied(self):
        # Guards against a peer that was cut off while a removal was held and never gets it.
        reader, peer = Catalog(), Catalog()
        reader.merge(own_reading(6, entries=(ENTRY,)), 0.0)
        removal = UpstreamRemoval(name="up-1", revision=at(20))
        reader.merge(own_reading(20, removals=(removal,)), 1.0, hold_removals_until=3.0)
        peer.merge(reader.snapshot(1.0), 1.0)
        assert peer.complete_revision == at(19)
        reader.apply_held_changes(3.0)
        assert peer.complete_revision < reader.complete_revision == at(20)
        peer.merge(reader.snapshot(3.0), 3.0)
        assert not peer.entry_by_name


class TestConfigurationChange:
    def test_a_newer_configuration_is_returned_as_a_change(self, catalog):
        # Guards against 100 KB to each peer for one route: a burst of 25 changes caused 800 MB.
        catalog.merge(update(configuration=configuration(8, route("a"), route("b"))), 0.0)
        newer = configuration(9, route("b", 444), route("c"))
        change = catalog.merge(update(configuration=newer), 0.0).configuration_change
        assert change is not None
        assert [one.name for one in change.changed] == ["b", "c"]
        assert change.removed == ("a",)

    def test_a_change_gives_the_same_configuration(self, catalog):
        # Guards against processes with different routes at the same version.
        other = Catalog()
        other.merge(catalog.snapshot(0.0), 0.0)
        newer = configuration(9, route("b"), route("c"))
        change_update = catalog.merge(update(configuration=newer), 0.0)
        other.merge(change_update, 0.0)
        assert other.configuration == newer

    def test_a_change_of_another_base_is_reported_as_lacking(self, catalog):
        # Guards against routes that are missing because an earlier change was lost.
        other = Catalog()
        other.merge(catalog.snapshot(0.0), 0.0)
        catalog.merge(update(configuration=configuration(9, route("b"))), 0.0)
        change_update = catalog.merge(
            update(configuration=configuration(12, route("b"), route("c"))), 0.0
        )
        assert other.merge(change_update, 0.0).lacks_configuration
        assert other.configuration_version == 7

    def test_an_old_change_is_ignored(self, catalog):
        # Guards against an older version that a second source restores.
        change_update = catalog.merge(update(configuration=configuration(9, route("b"))), 0.0)
        answer = catalog.merge(change_update, 0.0)
        assert not answer.has_changes
        assert not answer.lacks_configuration

    def test_a_peer_with_a_newer_version_is_detected(self, catalog):
        # Guards against a process that lost a change and waits for the next one.
        assert catalog.merge(update(configuration_version=9), 0.0).lacks_configuration
        assert not catalog.merge(update(configuration_version=7), 0.0).lacks_configuration


class TestEarlierVersions:
    def test_what_an_earlier_version_left_out_is_completed(self, catalog):
        # Guards against warm-ups that are missing until the next version of the configuration,
        # since a process of an earlier version has passed this one on.
        known = configuration(8, route("a"))
        whole = replace(known, warm_ups=())
        catalog.merge(update(revision=at(3), configuration=known), 1.0)
        changes = catalog.merge(own_reading(3, configuration=whole), 1.1)
        assert changes.configuration == whole
        catalog.merge(update(revision=at(3), configuration=known), 1.2)
        assert catalog.configuration == whole
