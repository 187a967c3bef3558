from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from msgspec.structs import replace

from laburnumbridge.catalog import Catalog
from laburnumbridge.catalog import CatalogUpdate
from laburnumbridge.catalog import EvacuationChange
from laburnumbridge.catalog import Evacuations
from laburnumbridge.catalog import PlatformItems
from laburnumbridge.catalog import ReadPlan
from laburnumbridge.catalog import Revision
from laburnumbridge.catalog import UpdateDecoder
from laburnumbridge.catalog import encode_update
from laburnumbridge.catalog.evacuations import REMOVAL_HOLD_S
from laburnumbridge.catalog.evacuations import EvacuationState

DOMAINS = ("east", "north", "south")
PROCESSES = 4
READERS = 2


def at(number: int, *domains: str, era: int = 1) -> Evacuations:
    return Evacuations(revision=Revision(era, number), domains=domains)


class TestEvacuationState:
    @pytest.fixture
    def state(self):
        state = EvacuationState()
        state.merge(at(5, "north"), 0.0)
        return state

    def test_the_newest_revision_wins(self, state):
        # Guards against an outdated heartbeat that evacuates a domain again.
        assert state.merge(at(7), 0.1)
        assert not state.merge(at(6, "north", "south"), 0.2)
        assert not state.merge(None, 0.3)
        assert state.domains == frozenset()

    def test_sets_that_differ_at_one_revision_are_joined(self, state):
        # Guards against two processes that keep different sets for as long as nothing changes.
        other = EvacuationState()
        other.merge(at(5, "south"), 0.0)
        other.merge(state.register, 0.1)
        state.merge(at(5, "south"), 0.1)
        assert state.register == other.register == at(5, "north", "south")

    def test_a_domain_that_a_copy_lacks_is_held(self, state):
        # Guards against flows that open in an evacuated domain until the operator's item is
        # written again after a restore.
        assert state.merge(at(2, "south", era=2), 10.0)
        assert state.domains == {"north", "south"}
        assert not state.apply_held(10.0 + REMOVAL_HOLD_S - 0.1)
        assert state.apply_held(10.0 + REMOVAL_HOLD_S)
        assert state.domains == {"south"}

    def test_a_removal_after_a_repeated_item_isnt_held(self, state):
        # Guards against a hold that outlasts the operator's own removal.
        state.merge(at(2, era=2), 10.0)
        state.merge(at(3, "north", era=2), 10.5)
        assert state.merge(at(4, era=2), 11.0)
        assert state.domains == frozenset()


class TestUpdates:
    def test_a_heartbeat_brings_the_register(self):
        # Guards against a process that missed an update and opens flows until the next change.
        sender, receiver = Catalog(), Catalog()
        sender.merge(CatalogUpdate(revision=Revision(1, 5), confirmed_age_ms=0), 0.0)
        sender.merge(replace(sender.heartbeat(0.0), evacuations=at(5, "north")), 0.0)
        (decoded,) = UpdateDecoder().feed(encode_update(sender.heartbeat(0.1)))
        assert not decoded.has_changes
        assert receiver.merge(decoded, 0.1).has_changes
        assert receiver.evacuated_domains == {"north"}
        assert not receiver.merge(decoded, 0.2).has_changes

    def test_a_hold_that_ends_is_a_change(self):
        # Guards against peers and the agent that aren't told when a held domain is back.
        catalog = Catalog()
        heartbeat = catalog.heartbeat(0.0)
        catalog.merge(replace(heartbeat, evacuations=at(5, "north")), 0.0)
        catalog.merge(replace(heartbeat, evacuations=at(2, era=2)), 1.0)
        assert catalog.evacuated_domains == {"north"}
        assert catalog.apply_held_changes(1.0 + REMOVAL_HOLD_S).has_changes
        assert catalog.evacuated_domains == frozenset()


class TestListing:
    def test_the_set_of_all_pages_is_in_force_at_the_first_ones_revision(self):
        # Guards against domains that are in use between two pages of a listing, and against a
        # change between them that the watch repeats and an outdated revision then hides.
        catalog = Catalog()
        catalog.merge(replace(catalog.heartbeat(0.0), evacuations=at(3, "north", "south")), 0.0)
        plan = ReadPlan(catalog=catalog, reader="0/a")
        for number, domain, next_after in ((5, "north", "op/x"), (7, "south", None)):
            assert catalog.evacuated_domains == {"north", "south"}
            change = EvacuationChange(domain=domain, is_evacuated=True)
            revision = Revision(1, number)
            items = PlatformItems(
                revision=revision, evacuation_changes=(change,), next_after=next_after
            )
            plan.on_items(items, 0.0)
        assert catalog.evacuations == at(5, "north", "south")
        plan.on_items(PlatformItems(revision=Revision(1, 7)), 0.0)
        change = EvacuationChange(domain="south", is_evacuated=False)
        plan.on_items(PlatformItems(revision=Revision(1, 8), evacuation_changes=(change,)), 0.0)
        assert catalog.evacuations == at(8, "north")


class Fleet:
    """Two readers and two peers; heartbeats between them may be late, lost or out of order."""

    def __init__(self) -> None:
        self.revision = Revision(1, 1)
        self.changes: list[tuple[int, EvacuationChange]] = []
        self.start_all()
        self.in_flight: list[tuple[int, CatalogUpdate]] = []
        self.now = 0.0

    def start_all(self) -> None:
        self.catalogs = [Catalog() for _ in range(PROCESSES)]
        self.plans = [ReadPlan(catalog=one, reader="") for one in self.catalogs[:READERS]]

    @property
    def evacuated(self) -> set[str]:
        last_by_domain = {change.domain: change for _, change in self.changes}
        return {change.domain for change in last_by_domain.values() if change.is_evacuated}

    def read(self, reader: int) -> None:
        """Make the next call of a reader's plan; after a restore it lists again."""
        plan = self.plans[reader]
        if self.catalogs[reader].revision.era < self.revision.era:
            plan.restart()
        call = plan.next_call()
        changes = [EvacuationChange(domain=one, is_evacuated=True) for one in self.evacuated]
        if call.listing is None:
            changes = [change for at, change in self.changes if at > call.after_revision]
        plan.on_items(
            PlatformItems(revision=self.revision, evacuation_changes=tuple(changes)), self.now
        )

    def step(self, kind: str, first: int, second: int, domain: str) -> None:
        self.now += 0.3
        if kind in ("evacuate", "take_back"):
            self.revision = self.revision._replace(number=self.revision.number + 1)
            change = EvacuationChange(domain=domain, is_evacuated=kind == "evacuate")
            self.changes.append((self.revision.number, change))
        elif kind == "restore":
            number = max(1, self.revision.number - first)
            self.changes = [one for one in self.changes if one[0] <= number]
            self.revision = Revision(self.revision.era + 1, number)
        elif kind == "read":
            self.read(first % READERS)
        elif kind == "restart":
            self.start_all()
        elif kind == "send":
            self.in_flight.append((second, self.catalogs[first].heartbeat(self.now)))
        elif self.in_flight:
            receiver, update = self.in_flight.pop(second % len(self.in_flight))
            if kind == "deliver":
                self.catalogs[receiver].merge(update, self.now)
        for catalog in self.catalogs:
            catalog.apply_held_changes(self.now)

    def check(self) -> None:
        registers = [one.evacuations for one in self.catalogs if one.evacuations is not None]
        by_revision = {register.revision: register for register in registers}
        assert all(by_revision[register.revision] == register for register in registers)

    def settle(self) -> None:
        for _ in range(3):  # two listings and a watch
            self.read(0)
        for catalog in self.catalogs:
            catalog.merge(self.catalogs[0].heartbeat(self.now), self.now)
            catalog.apply_held_changes(self.now + REMOVAL_HOLD_S)


steps = st.tuples(
    st.sampled_from(
        ("evacuate", "take_back", "restart", "restore", "drop")
        + ("read",) * 3
        + ("send",) * 2
        + ("deliver",) * 3
    ),
    st.integers(0, PROCESSES - 1),
    st.integers(0, PROCESSES - 1),
    st.sampled_from(DOMAINS),
)


class TestConvergence:
    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(st.lists(steps, min_size=20, max_size=50))
    def test_readers_and_peers_converge(self, planned):
        # Guards against processes that disagree on the evacuated domains after any order of
        # changes, readings, lost and late heartbeats, restarts and restores.
        fleet = Fleet()
        for step in planned:
            fleet.step(*step)
            fleet.check()
        fleet.settle()
        assert all(one.evacuated_domains == fleet.evacuated for one in fleet.catalogs)
