"""The interface to the platform's calls."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from laburnumbridge.core import UnavailableError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from laburnumbridge.catalog.errors import MalformedItemError
    from laburnumbridge.catalog.evacuations import EvacuationChange
    from laburnumbridge.catalog.records import RoutingConfiguration
    from laburnumbridge.catalog.records import UpstreamEntry
    from laburnumbridge.catalog.records import UpstreamRemoval
    from laburnumbridge.catalog.revision import Revision


class Listing(Enum):
    """The listings that a process reads in full before it watches for changes."""

    UPSTREAMS = "upstreams"
    OPERATOR = "operator"  # the configuration and the evacuations


class PlatformItems(msgspec.Struct, frozen=True, kw_only=True):
    """Decoded items of an answer.

    All revisions are of the era that the answer names, or of era 0 if it names none. ``next_after``
    is the key after which the next page of a listing starts, or None on the last page.
    ``evacuation_changes`` are in the order of their revisions; in a listing they are the evacuated
    domains. ``malformed`` has an error for each item that can't be used; the other items are valid.
    """

    revision: Revision
    entries: tuple[UpstreamEntry, ...] = ()
    removals: tuple[UpstreamRemoval, ...] = ()
    configuration: RoutingConfiguration | None = None
    evacuation_changes: tuple[EvacuationChange, ...] = ()
    malformed: tuple[MalformedItemError, ...] = ()
    next_after: str | None = None


class PlatformRefusedError(UnavailableError):
    """The platform answered a call with a status that is not a success."""

    def __init__(self, *, status: int) -> None:
        super().__init__(f"the platform refused a call with status {status}")
        self.status = status


class RevisionCompactedError(PlatformRefusedError):
    """The platform has compacted its history past the requested revision."""


class MalformedAnswerError(UnavailableError):
    """The platform's answer can't be decoded."""

    def __init__(self, *, reason: str) -> None:
        super().__init__(f"an answer of the platform can't be decoded: {reason}")
        self.reason = reason


class OutdatedAnswerError(UnavailableError):
    """The platform answered from an era before the one that is known."""

    def __init__(self, *, era: int, known_era: int) -> None:
        super().__init__(f"the platform answered from era {era}; era {known_era} has begun")


class PlatformCodec(ABC):
    """Builds the targets of calls and decodes their answers.

    ``headers`` are those of the answer, by name in lower case.
    """

    @abstractmethod
    def listing_target(self, listing: Listing, after: str | None) -> str:
        """Return the request target of the page after the key ``after`` (None: the first page)."""

    @abstractmethod
    def watch_target(self, after_revision: int, wait_ms: int) -> str:
        """Return the request target of a watch for changes; it waits ``wait_ms`` for one."""

    @abstractmethod
    def decode_listing(self, status: int, headers: Mapping[str, str], body: bytes) -> PlatformItems:
        """Decode a page of a listing. Raises PlatformRefusedError or MalformedAnswerError."""

    @abstractmethod
    def decode_watch(self, status: int, headers: Mapping[str, str], body: bytes) -> PlatformItems:
        """Decode the answer of a watch.

        Raises PlatformRefusedError, RevisionCompactedError or MalformedAnswerError.
        """
