"""Order of the versions of an upstream's entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

if TYPE_CHECKING:
    from laburnumbridge.catalog.records import UpstreamEntry
    from laburnumbridge.catalog.revision import Revision


def version_key(entry: UpstreamEntry) -> tuple[Revision, int, bool]:
    """Return a key by which the version of an entry that is to be used sorts last.

    At one revision entries differ only by the state that ``keep_confirmed_state`` has kept.
    """
    return entry.revision, entry.started_ms, entry.is_draining


def keep_confirmed_state(known: UpstreamEntry, entry: UpstreamEntry) -> UpstreamEntry:
    """Return ``entry`` of a later era with the later state that the platform had confirmed.

    The copy that the platform was restored from may be older than ``known``. Until the upstream
    publishes its entry again, it isn't an earlier start of it, nor ready once it drains.
    """
    if known.revision.era >= entry.revision.era or known.started_ms < entry.started_ms:
        return entry
    if known.started_ms > entry.started_ms:
        return replace(known, revision=entry.revision)
    return replace(entry, is_draining=entry.is_draining or known.is_draining)
