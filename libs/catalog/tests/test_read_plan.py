from __future__ import annotations

import pytest
from msgspec.structs import replace

from laburnumbridge.catalog import NO_REVISION
from laburnumbridge.catalog import Catalog
from laburnumbridge.catalog import CatalogUpdate
from laburnumbridge.catalog import Listing
from laburnumbridge.catalog import OutdatedAnswerError
from laburnumbridge.catalog import PlatformItems
from laburnumbridge.catalog import PlatformRefusedError
from laburnumbridge.catalog import ReadPlan
from laburnumbridge.catalog import Revision
from laburnumbridge.catalog import RevisionCompactedError
from laburnumbridge.catalog import RoutingConfiguration
from laburnumbridge.catalog import UpstreamEntry
from laburnumbridge.catalog import UpstreamRemoval
from laburnumbridge.standins.flows.platform_data import make_entry


def at(number: int, *, era: int = 1) -> Revision:
    return Revision(era, number)


ENTRY = replace(make_entry("10.0.0.1", slots=4), name="up-1", revision=at(5))
OTHER = replace(ENTRY, name="up-2", address="10.0.0.2")
CONFIGURATION = RoutingConfiguration(version=7, routes=(), idle_timeout_ms=1)


@pytest.fixture
def catalog():
    return Catalog()


@pytest.fixture
def plan(catalog):
    return ReadPlan(catalog=catalog, reader="0/a")


def list_all(plan: ReadPlan, *entries: UpstreamEntry, revision: Revision, now: float) -> None:
    plan.on_items(PlatformItems(revision=revision, configuration=CONFIGURATION), now)
    plan.on_items(PlatformItems(revision=revision, entries=entries), now)


class TestListing:
    def test_both_listings_precede_the_watch(self, plan):
        # Guards against a process that watches for changes without the entries from before.
        assert plan.next_call().listing is Listing.OPERATOR
        plan.on_items(PlatformItems(revision=at(5), configuration=CONFIGURATION), 0.0)
        assert plan.next_call().listing is Listing.UPSTREAMS
        plan.on_items(PlatformItems(revision=at(6), entries=(ENTRY,)), 0.0)
        assert plan.next_call().listing is None

    def test_the_watch_starts_at_the_first_pages_revision(self, plan):
        # Guards against changes that are missed while pages are read one after the other.
        plan.on_items(PlatformItems(revision=at(5), configuration=CONFIGURATION), 0.0)
        plan.on_items(PlatformItems(revision=at(8), entries=(ENTRY,), next_after="up-1"), 0.0)
        assert plan.next_call().after_key == "up-1"
        plan.on_items(PlatformItems(revision=at(9), entries=(OTHER,)), 0.0)
        assert plan.next_call().after_revision == 5

    def test_part_of_a_listing_confirms_nothing(self, plan, catalog):
        # Guards against peers that treat a view with routes and without upstreams as complete.
        plan.on_items(PlatformItems(revision=at(5), configuration=CONFIGURATION), 0.0)
        assert catalog.revision == NO_REVISION
        assert catalog.confirmed_at is None

    def test_entries_missing_from_a_listing_are_removed(self, plan, catalog):
        # Guards against upstreams that are kept for good since their removal was compacted away.
        list_all(plan, ENTRY, OTHER, revision=at(6), now=0.0)
        plan.on_failure(RevisionCompactedError(status=410))
        list_all(plan, OTHER, revision=at(9), now=0.1)
        assert set(catalog.entry_by_name) == {"up-2"}

    def test_an_entry_newer_than_the_listing_is_kept(self, plan, catalog):
        # Guards against a listing that removes an entry published after it.
        list_all(plan, OTHER, revision=at(6), now=0.0)
        catalog.merge(
            replace(catalog.heartbeat(0.0), entries=(replace(ENTRY, revision=at(30)),)), 0.0
        )
        plan.restart()
        list_all(plan, OTHER, revision=at(9), now=0.1)
        assert set(catalog.entry_by_name) == {"up-1", "up-2"}

    def test_the_last_page_makes_a_peer_complete_that_missed_the_first(self, plan):
        # Guards against a live upstream that a peer never uses: it was on a page whose update was
        # lost, and the peer took its view for complete after the last page.
        peer = Catalog()
        configuration = PlatformItems(revision=at(6), configuration=CONFIGURATION)
        peer.merge(plan.on_items(configuration, 0.0), 0.0)
        plan.on_items(PlatformItems(revision=at(6), entries=(ENTRY,), next_after="up-1"), 0.0)
        peer.merge(plan.on_items(PlatformItems(revision=at(7), entries=(OTHER,)), 0.0), 0.0)
        assert set(peer.entry_by_name) == {"up-1", "up-2"}
        assert peer.complete_revision == at(6)


class TestFailures:
    def test_pauses_double_up_to_a_limit(self, plan):
        # Guards against processes that flood a platform that refuses their calls.
        error = PlatformRefusedError(status=503)
        pauses = [plan.on_failure(error) for _ in range(5)]
        assert pauses == [0.2, 0.4, 0.8, 1.0, 1.0]

    def test_a_compacted_history_is_listed_again_at_once(self, plan):
        # Guards against a second without updates after each compaction.
        list_all(plan, ENTRY, revision=at(6), now=0.0)
        assert plan.on_failure(RevisionCompactedError(status=410)) == 0.0
        assert plan.next_call().listing is Listing.OPERATOR

    def test_a_failed_watch_resumes_at_its_revision(self, plan):
        # Guards against a complete listing after each lost answer.
        list_all(plan, ENTRY, revision=at(6), now=0.0)
        plan.on_failure(PlatformRefusedError(status=503))
        assert plan.next_call().listing is None
        assert plan.next_call().after_revision == 6

    def test_removals_after_an_outage_are_held(self, plan, catalog):
        # Guards against flows that are reset because the platform was unavailable: entries are
        # published again within two seconds.
        list_all(plan, ENTRY, OTHER, revision=at(6), now=0.0)
        plan.on_failure(PlatformRefusedError(status=503))
        removal = UpstreamRemoval(name="up-1", revision=at(8))
        plan.on_items(PlatformItems(revision=at(8), removals=(removal,)), 5.0)
        assert "up-1" in catalog.entry_by_name
        catalog.apply_held_changes(7.3)
        assert "up-1" not in catalog.entry_by_name

    def test_a_removal_without_an_outage_takes_effect_at_once(self, plan, catalog):
        # Guards against new flows for a removed upstream.
        list_all(plan, ENTRY, OTHER, revision=at(6), now=0.0)
        removal = UpstreamRemoval(name="up-1", revision=at(8))
        plan.on_items(PlatformItems(revision=at(8), removals=(removal,)), 5.0)
        assert "up-1" not in catalog.entry_by_name


class TestRestore:
    def test_a_watch_answered_from_a_new_era_is_followed_by_a_listing(self, plan, catalog):
        # Guards against changes before the old revision that are missed in the new era.
        list_all(plan, ENTRY, revision=at(6), now=0.0)
        later = replace(OTHER, revision=at(9, era=2))
        items = PlatformItems(revision=at(9, era=2), entries=(later,))
        assert not plan.on_items(items, 1.0).has_changes
        assert plan.next_call().listing is Listing.OPERATOR
        list_all(plan, replace(ENTRY, revision=at(2, era=2)), later, revision=at(9, era=2), now=1.0)
        assert plan.next_call().after_revision == 9
        assert catalog.complete_revision == at(9, era=2)

    def test_pages_of_two_eras_arent_one_listing(self, plan, catalog):
        # Guards against upstreams that are taken for gone since their page was of the other era.
        plan.on_items(PlatformItems(revision=at(5), configuration=CONFIGURATION), 0.0)
        plan.on_items(PlatformItems(revision=at(5), entries=(ENTRY,), next_after="up-1"), 0.0)
        plan.on_items(PlatformItems(revision=at(4, era=2), entries=(OTHER,)), 0.0)
        assert plan.next_call().listing is Listing.OPERATOR
        assert catalog.complete_revision == NO_REVISION

    def test_an_answer_from_an_earlier_era_changes_nothing(self, plan, catalog):
        # Guards against a reader that spreads what the platform said before it was restored.
        catalog.merge(CatalogUpdate(revision=at(1, era=2), confirmed_age_ms=0, present=()), 0.0)
        with pytest.raises(OutdatedAnswerError):
            list_all(plan, ENTRY, revision=at(6), now=0.0)
        assert not catalog.entry_by_name

    def test_entries_that_the_copy_lacks_are_held(self, plan, catalog):
        # Guards against flows that are reset since the platform lost the entry of their upstream.
        list_all(plan, ENTRY, OTHER, revision=at(6), now=0.0)
        plan.on_failure(RevisionCompactedError(status=410))
        list_all(plan, replace(ENTRY, revision=at(2, era=2)), revision=at(3, era=2), now=5.0)
        assert set(catalog.entry_by_name) == {"up-1", "up-2"}
        catalog.apply_held_changes(7.3)
        assert set(catalog.entry_by_name) == {"up-1"}
