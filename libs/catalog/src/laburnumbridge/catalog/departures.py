"""Upstreams that have left lately."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.catalog.records import UpstreamEntry
    from laburnumbridge.catalog.records import UpstreamRemoval

MEMORY_S = 60.0
"""How long a departure is known: longer than the age of a copy that the platform is restored from,
which is some seconds."""


class Departures:
    """Tells whether an entry of a new era is of an upstream that left before the restore.

    A copy from before the departure still lists the upstream, until its entry expires.
    """

    def __init__(self) -> None:
        self._departed_by_name: dict[str, tuple[UpstreamRemoval, float]] = {}

    def note(self, removal: UpstreamRemoval, now: float) -> None:
        """Note a removal; one that doesn't name the start of the upstream has no effect."""
        if removal.started_ms is not None:
            self._departed_by_name[removal.name] = (removal, now)

    def forget(self, name: str) -> None:
        """Forget the departure of an upstream that is in use again."""
        self._departed_by_name.pop(name, None)

    def expire(self, now: float) -> None:
        """Forget the departures that are older than ``MEMORY_S``."""
        for name, (_, noted_at) in list(self._departed_by_name.items()):
            if now - noted_at > MEMORY_S:
                del self._departed_by_name[name]

    def find(self, entry: UpstreamEntry) -> UpstreamRemoval | None:
        """Return the removal of an earlier era that ended ``entry`` or a later start, or None."""
        removal, _ = self._departed_by_name.get(entry.name, (None, 0.0))
        return removal if removal is not None and has_departed(entry, removal) else None


def has_departed(entry: UpstreamEntry, removal: UpstreamRemoval) -> bool:
    """Return whether ``removal``, of an earlier era, ended ``entry`` or a later start of it."""
    return (
        removal.started_ms is not None
        and removal.revision.era < entry.revision.era
        and entry.started_ms <= removal.started_ms
    )
