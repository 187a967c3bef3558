"""Which call a process makes to the platform next."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from laburnumbridge.catalog.platform_codec import Listing
from laburnumbridge.catalog.platform_codec import RevisionCompactedError
from laburnumbridge.catalog.records import CatalogUpdate

if TYPE_CHECKING:
    from laburnumbridge.catalog.catalog import Catalog
    from laburnumbridge.catalog.platform_codec import PlatformItems
    from laburnumbridge.catalog.records import UpstreamRemoval
    from laburnumbridge.core import LaburnumbridgeError

LISTING_TIMEOUT_S = 1.5
"""The platform answers in 4 ms, and in 0.3 s when it is 75 times slower than that."""
WATCH_WAIT_MS = 1_200
"""How old a view may be at most while its reader is well, at one call in this time when idle."""
WATCH_TIMEOUT_S = 2.0
"""A reader whose connection went silent, or that the platform ignores, notices it within this."""
FIRST_RETRY_S = 0.2
LONGEST_RETRY_S = 1.0
"""The platform is read again within this time after it returns."""
RETURN_HOLD_S = 2.2
"""Entries that lapsed during an outage are back 2 s after its end; 0.2 s for their way here."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadCall:
    """A call to make: a page of ``listing``, or a watch when ``listing`` is None."""

    listing: Listing | None
    after_key: str | None
    after_revision: int
    timeout_s: float


class ReadPlan:
    """Lists everything, then watches; lists again when the platform has compacted its history.

    A failure is followed by a pause that doubles. Answers go to the catalog; what was new is
    returned for the peers.
    """

    def __init__(self, *, catalog: Catalog, reader: str) -> None:
        self._catalog = catalog
        self._reader = reader
        self._retry_s = FIRST_RETRY_S
        self._failing = False
        self._returned_at: float | None = None
        self._watch_after = 0
        self.restart()

    def restart(self) -> None:
        """Begin with a complete listing."""
        self._pending: list[Listing] = [Listing.CONFIGURATION, Listing.UPSTREAMS]
        self._after_key: str | None = None
        self._listed: list[str] = []
        self._first_revision: int | None = None

    @property
    def is_failing(self) -> bool:
        """True from a failed call to the next answer."""
        return self._failing

    def next_call(self) -> ReadCall:
        """Return the call to make now."""
        if self._pending:
            return ReadCall(
                listing=self._pending[0],
                after_key=self._after_key,
                after_revision=0,
                timeout_s=LISTING_TIMEOUT_S,
            )
        return ReadCall(
            listing=None,
            after_key=None,
            after_revision=self._watch_after,
            timeout_s=WATCH_TIMEOUT_S,
        )

    def on_items(self, items: PlatformItems, now: float) -> CatalogUpdate:
        """Take in the answer of the call; return what was new."""
        if self._failing:
            self._failing = False
            self._returned_at = now
        self._retry_s = FIRST_RETRY_S
        removals = items.removals
        if self._pending:
            removals = self._on_page(items)
        else:
            self._watch_after = max(self._watch_after, items.revision)
        hold_until = 0.0
        if self._returned_at is not None:
            hold_until = self._returned_at + RETURN_HOLD_S
        return self._catalog.merge(
            CatalogUpdate(
                # A part of a listing doesn't make the view complete at its revision.
                revision=0 if self._pending else items.revision,
                confirmed_age_ms=None if self._pending else 0,
                confirmed_by=self._reader,
                is_own_reading=True,
                entries=items.entries,
                removals=removals,
                configuration=items.configuration,
            ),
            now,
            hold_removals_until=hold_until,
        )

    def _on_page(self, items: PlatformItems) -> tuple[UpstreamRemoval, ...]:
        listing = self._pending[0]
        if self._first_revision is None:
            # Pages are not a snapshot: watching from the first page's revision misses nothing.
            self._first_revision = items.revision
        if listing is Listing.UPSTREAMS:
            self._listed += [entry.name for entry in items.entries]
        self._after_key = items.next_after
        if items.next_after is not None:
            return items.removals
        self._pending.pop(0)
        if self._pending:
            return items.removals
        self._watch_after = self._first_revision
        return items.removals + self._catalog.missing(self._listed, self._first_revision)

    def on_failure(self, error: LaburnumbridgeError) -> float:
        """Take in a failed call; return the pause before the next one in seconds."""
        if isinstance(error, RevisionCompactedError):
            self.restart()
            return 0.0
        self._failing = True
        if self._pending:
            self.restart()
        pause_s = self._retry_s
        self._retry_s = min(self._retry_s * 2, LONGEST_RETRY_S)
        return pause_s
