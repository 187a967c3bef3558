"""The sequence of calls in which a process reads the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from laburnumbridge.catalog.evacuations import REMOVAL_HOLD_S
from laburnumbridge.catalog.evacuations import Evacuations
from laburnumbridge.catalog.evacuations import apply_evacuation_changes
from laburnumbridge.catalog.platform_codec import Listing
from laburnumbridge.catalog.platform_codec import OutdatedAnswerError
from laburnumbridge.catalog.platform_codec import RevisionCompactedError
from laburnumbridge.catalog.records import CatalogUpdate
from laburnumbridge.catalog.revision import NO_REVISION

if TYPE_CHECKING:
    from laburnumbridge.catalog.catalog import Catalog
    from laburnumbridge.catalog.platform_codec import PlatformItems
    from laburnumbridge.catalog.records import UpstreamEntry
    from laburnumbridge.catalog.revision import Revision
    from laburnumbridge.core import LaburnumbridgeError

LISTING_TIMEOUT_S = 1.5
"""The platform answers a listing in 4 ms, or in 0.3 s when it is 75 times slower than that."""
FIRST_ANSWER_TIMEOUT_S = 0.6
"""A process without a configuration, which serves nothing, repeats a listing of which nothing has
arrived after this time: twice what a slow platform takes. With the whole time of a listing, a fleet
that starts while the platform is silent learns 1.5 s late that it answers again."""
WATCH_WAIT_MS = 1_200
"""How long a watch waits for a change. This bounds the age of the view while its reader is healthy,
at one call in this time when nothing changes."""
WATCH_TIMEOUT_S = 2.0
"""Within this time a reader detects an unresponsive connection, or a platform that ignores it."""
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0
"""Longest pause, so the platform is read within this time after it is available again."""


class ReadCall(msgspec.Struct, frozen=True, kw_only=True):
    """The next call: a page of ``listing``, or a watch if ``listing`` is None.

    ``after_key`` is None for the first page and for a watch. ``timeout_s`` is the time for the
    whole answer, and ``first_answer_timeout_s`` that for its first bytes, None for no other limit.
    """

    listing: Listing | None
    after_key: str | None
    after_revision: int
    timeout_s: float
    first_answer_timeout_s: float | None = None


class ReadPlan:
    """Plans complete listings, then watches.

    It lists again if the platform has compacted its history, or was restored from a copy: in a new
    era a watch from an earlier revision would miss changes. After a failure it pauses with
    exponential backoff. Answers are merged into the catalog, and what was new is returned, to be
    sent to peers.
    """

    def __init__(self, *, catalog: Catalog, reader: str) -> None:
        self._catalog = catalog
        self._reader = reader
        self._backoff_s = MIN_BACKOFF_S
        self._is_failing = False
        self._recovered_at: float | None = None
        self._watch_after = NO_REVISION
        self.restart()

    def restart(self) -> None:
        """Restart from a complete listing."""
        self._pending_listings: list[Listing] = [Listing.OPERATOR, Listing.UPSTREAMS]
        self._after_key: str | None = None
        self._listed_entries: list[UpstreamEntry] = []
        self._first_page_revision: Revision | None = None
        self._era: int | None = None
        self._evacuated_domains: frozenset[str] = frozenset()

    @property
    def is_failing(self) -> bool:
        """True after a failed call until the next answer."""
        return self._is_failing

    def next_call(self) -> ReadCall:
        """Return the call to make next."""
        if self._pending_listings:
            return ReadCall(
                listing=self._pending_listings[0],
                after_key=self._after_key,
                after_revision=0,
                timeout_s=LISTING_TIMEOUT_S,
                first_answer_timeout_s=(
                    FIRST_ANSWER_TIMEOUT_S if self._catalog.configuration is None else None
                ),
            )
        return ReadCall(
            listing=None,
            after_key=None,
            after_revision=self._watch_after.number,
            timeout_s=WATCH_TIMEOUT_S,
        )

    def on_items(self, items: PlatformItems, now: float) -> CatalogUpdate:
        """Merge the answer to the current call; return what was new.

        Raises OutdatedAnswerError.
        """
        era, known_era = items.revision.era, self._catalog.revision.era
        if era < known_era:
            raise OutdatedAnswerError(era=era, known_era=known_era)
        if self._era not in (None, era):
            self.restart()
            return self._catalog.heartbeat(now)
        self._era = era
        if self._is_failing:
            self._is_failing = False
            self._recovered_at = now
        self._backoff_s = MIN_BACKOFF_S
        entries = items.entries
        is_listed = False
        evacuations = None
        if self._pending_listings:
            evacuations = self._on_page(items)
            is_listed = not self._pending_listings
            # The update that makes the view complete has the entries of all pages.
            entries = tuple(self._listed_entries) if is_listed else entries
        else:
            self._watch_after = max(self._watch_after, items.revision)
            self._apply_evacuation_changes(items)
            evacuations = self._evacuations_at(items.revision)
        hold_until = 0.0
        if self._recovered_at is not None:
            hold_until = self._recovered_at + REMOVAL_HOLD_S
        return self._catalog.merge(
            CatalogUpdate(
                # The view is complete at a revision only after the last page of the last listing.
                revision=NO_REVISION if self._pending_listings else items.revision,
                complete_revision=NO_REVISION if self._pending_listings else self._watch_after,
                confirmed_age_ms=None if self._pending_listings else 0,
                confirmed_by=self._reader,
                is_own_reading=True,
                present=tuple(entry.name for entry in entries) if is_listed else None,
                entries=entries,
                removals=items.removals,
                configuration=items.configuration,
                evacuations=evacuations,
            ),
            now,
            hold_removals_until=hold_until,
        )

    def _apply_evacuation_changes(self, items: PlatformItems) -> None:
        self._evacuated_domains = apply_evacuation_changes(
            self._evacuated_domains, items.evacuation_changes
        )

    def _evacuations_at(self, revision: Revision) -> Evacuations:
        return Evacuations(revision=revision, domains=tuple(sorted(self._evacuated_domains)))

    def _on_page(self, items: PlatformItems) -> Evacuations | None:
        """Add a page; return the evacuations if it is the last page of the operator's items."""
        listing = self._pending_listings[0]
        if self._first_page_revision is None:
            # Pages are not a snapshot; a watch from the first page's revision misses no change.
            self._first_page_revision = items.revision
        if listing is Listing.UPSTREAMS:
            self._listed_entries += items.entries
        else:
            self._apply_evacuation_changes(items)
        self._after_key = items.next_after
        if items.next_after is not None:
            return None
        self._pending_listings.pop(0)
        if not self._pending_listings:
            self._watch_after = self._first_page_revision
        if listing is Listing.OPERATOR:
            return self._evacuations_at(self._first_page_revision)
        return None

    def on_failure(self, error: LaburnumbridgeError) -> float:
        """Handle a failed call; return the pause before the next one in seconds."""
        if isinstance(error, RevisionCompactedError):
            self.restart()
            return 0.0
        self._is_failing = True
        if self._pending_listings:
            self.restart()
        pause_s = self._backoff_s
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
        return pause_s
