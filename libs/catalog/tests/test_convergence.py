from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from msgspec.structs import replace

from laburnumbridge.catalog import Catalog
from laburnumbridge.catalog import CatalogUpdate
from laburnumbridge.catalog import Revision
from laburnumbridge.catalog import UpstreamEntry
from laburnumbridge.catalog import UpstreamRemoval
from laburnumbridge.standins.flows.platform_data import make_entry

NAMES = ("up-1", "up-2", "up-3", "up-4")
PROCESSES = 4
READERS = 2
STEP_S = 10.0  # longer than removals are held
BASE = make_entry("10.0.0.1", slots=1)

Change = UpstreamEntry | UpstreamRemoval


class History:
    """The platform's store: the changes of each era in the order of their revisions.

    Each era begins with the changes of the one before that its copy has.
    """

    def __init__(self) -> None:
        self.changes_by_era: dict[int, list[Change]] = {0: [], 1: []}
        self.era = 1

    @property
    def changes(self) -> list[Change]:
        return self.changes_by_era[self.era]

    @property
    def revision(self) -> Revision:
        return Revision(self.era, len(self.changes))

    def change(self, name: str, *, is_removal: bool) -> None:
        revision = Revision(self.era, len(self.changes) + 1)
        if is_removal:
            self.changes.append(UpstreamRemoval(name=name, revision=revision))
        else:
            self.changes.append(replace(BASE, name=name, revision=revision))

    def restore(self, lost: int) -> None:
        copied = self.changes[: max(0, len(self.changes) - lost)]
        self.era += 1
        self.changes_by_era[self.era] = [
            replace(change, revision=change.revision._replace(era=self.era)) for change in copied
        ]

    def entries_at(self, revision: Revision) -> dict[str, UpstreamEntry]:
        entries: dict[str, UpstreamEntry] = {}
        for change in self.changes_by_era[revision.era][: revision.number]:
            if isinstance(change, UpstreamRemoval):
                entries.pop(change.name, None)
            else:
                entries[change.name] = change
        return entries

    def is_changed_after(self, name: str, revision: Revision) -> bool:
        later = self.changes_by_era[revision.era][revision.number :]
        return revision.era < self.era or any(change.name == name for change in later)


class Fleet:
    """Catalogs that read the store or exchange updates, some of which are lost or late."""

    def __init__(self) -> None:
        self.history = History()
        self.catalogs = [Catalog() for _ in range(PROCESSES)]
        self.in_flight: list[tuple[int, CatalogUpdate]] = []
        self.now = 0.0

    def step(self, kind: str, first: int, second: int, name: str) -> None:
        self.now += STEP_S
        if kind in ("put", "remove"):
            self.history.change(name, is_removal=kind == "remove")
        elif kind == "restore":
            self.history.restore(2 * first + second)
        elif kind == "list":
            self.list_all(first % READERS)
        elif kind == "watch":
            self.watch(first % READERS)
        elif kind == "snapshot":
            self.in_flight.append((second, self.catalogs[first].snapshot(self.now)))
        elif kind == "heartbeat":
            self.in_flight.append((second, self.catalogs[first].heartbeat(self.now)))
        elif kind == "restart":
            self.catalogs[first] = Catalog()
        elif self.in_flight:
            # An update may arrive late, and in any order where it took another way.
            receiver, update = self.in_flight.pop(second % len(self.in_flight))
            if kind == "deliver":
                self.spread(receiver, self.catalogs[receiver].merge(update, self.now))
        for process in range(PROCESSES):
            self.end_holds(process)

    def end_holds(self, process: int) -> None:
        held_until = self.now + STEP_S / 2
        self.spread(process, self.catalogs[process].apply_held_changes(held_until))

    def list_all(self, reader: int) -> None:
        listed = self.history.entries_at(self.history.revision)
        self.read(reader, tuple(listed.values()), (), present=tuple(listed))

    def watch(self, reader: int) -> None:
        seen = self.catalogs[reader].complete_revision
        if seen.era != self.history.era:
            return
        changes = self.history.changes[seen.number :]
        newest = {change.name: change for change in changes}.values()
        self.read(
            reader,
            tuple(change for change in newest if isinstance(change, UpstreamEntry)),
            tuple(change for change in newest if isinstance(change, UpstreamRemoval)),
        )

    def read(
        self,
        reader: int,
        entries: tuple[UpstreamEntry, ...],
        removals: tuple[UpstreamRemoval, ...],
        present: tuple[str, ...] | None = None,
    ) -> None:
        update = CatalogUpdate(
            revision=self.history.revision,
            complete_revision=self.history.revision,
            is_own_reading=True,
            confirmed_age_ms=0,
            present=present,
            entries=entries,
            removals=removals,
        )
        self.spread(reader, self.catalogs[reader].merge(update, self.now))

    def spread(self, sender: int, update: CatalogUpdate) -> None:
        if update.has_changes:
            self.in_flight += [(other, update) for other in range(PROCESSES) if other != sender]

    def check(self) -> None:
        for catalog in self.catalogs:
            complete = catalog.complete_revision
            at_revision = self.history.entries_at(complete)
            for name, entry in catalog.entry_by_name.items():
                if entry.revision <= complete:
                    assert at_revision.get(name) == entry, "an upstream that has left is in use"
            for name, entry in at_revision.items():
                changed_later = self.history.is_changed_after(name, complete)
                held = catalog.entry_by_name.get(name)
                assert changed_later or held == entry, "a live upstream is missing"

    def settle(self) -> None:
        """Let every process hear from one reader, as the exchange between peers does."""
        self.list_all(0)
        self.end_holds(0)
        self.in_flight.clear()
        for process, catalog in enumerate(self.catalogs):
            catalog.merge(self.catalogs[0].heartbeat(self.now), self.now)
            if catalog.complete_revision < self.catalogs[0].complete_revision:
                catalog.merge(self.catalogs[0].snapshot(self.now), self.now)
            self.end_holds(process)


steps = st.tuples(
    st.sampled_from(
        ["put", "put", "remove", "list", "watch", "watch", "snapshot", "heartbeat", "restart"]
        + ["restore"]
        + ["drop"] * 2
        + ["deliver"] * 6
    ),
    st.integers(0, PROCESSES - 1),
    st.integers(0, PROCESSES - 1),
    st.sampled_from(NAMES),
)


class TestConvergence:
    @settings(derandomize=True, max_examples=500, deadline=None)
    @given(st.lists(steps, min_size=30, max_size=60))
    def test_no_process_uses_an_upstream_that_has_left(self, planned):
        # Guards against servers in use that have left, and against live ones that nobody uses,
        # after any order of updates, snapshots, losses, suspensions, restarts and restores.
        fleet = Fleet()
        for step in planned:
            fleet.step(*step)
            fleet.check()
        fleet.settle()
        expected = fleet.history.entries_at(fleet.history.revision)
        assert all(catalog.entry_by_name == expected for catalog in fleet.catalogs)
