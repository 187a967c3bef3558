"""What a process knows of one value."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from laburnumbridge.configuration.confirmations import Confirmations
from laburnumbridge.configuration.delta_chain import DeltaChain
from laburnumbridge.configuration.errors import MalformedDeltaError
from laburnumbridge.configuration.value_delta import ValueDelta
from laburnumbridge.configuration.value_digest import ValueDigest
from laburnumbridge.configuration.value_document import ValueDocument
from laburnumbridge.configuration.value_document import digest_of
from laburnumbridge.configuration.version_comparison import VersionComparison

if TYPE_CHECKING:
    from laburnumbridge.core import ProcessId

# Older than one watch and its relay; leaves half of the 15 s to the fallback read.
STALE_AFTER_S = 7.0
# A version that peers announced and none delivered in this time is read from the platform.
BEHIND_AFTER_S = 5.0
# A delta is a few kilobytes; a whole value of 1 MB takes longer, also over a busy link.
DELTA_TIMEOUT_S = 1.0
WHOLE_TIMEOUT_S = 3.0
MAX_HOLDERS = 4


@dataclass(frozen=True, slots=True)
class Candidate:
    """A newer version on its way through validation."""

    version: int
    digest: bytes
    document: ValueDocument
    payload: bytes
    from_platform: bool


class ValueState:
    """The version in force, the candidate, and the peers that announced a newer version."""

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.version = 0
        self.digest = b""
        self.candidate: Candidate | None = None
        self.confirmations = Confirmations()
        self._document: ValueDocument | None = None
        self._chain = DeltaChain()
        self._platform_version = 0
        self._rejected_version = 0
        self._rejected_digest = b""
        self._known_version = 0
        self._behind_since: float | None = None
        self._version_by_holder: OrderedDict[ProcessId, int] = OrderedDict()
        self._promised: tuple[ProcessId, int, float, int] | None = None
        self._asked: ProcessId | None = None
        self._asked_until = 0.0

    @property
    def read_after(self) -> int:
        """The version after which the platform is read.

        Skips one that failed validation, if the platform itself returned it: a number that only
        a peer told must not hide later versions of the platform.
        """
        if self._rejected_version > self._platform_version:
            return self.version
        return max(self.version, self._rejected_version)

    def compare(self, version: int, digest: bytes) -> VersionComparison:
        """Compare an offered version with the one in force."""
        if version < self.version or version < 1:
            return VersionComparison.OLDER
        if version == self.version:
            return VersionComparison.SAME if digest == self.digest else VersionComparison.CONFLICT
        if (version, digest) == (self._rejected_version, self._rejected_digest):
            return VersionComparison.REJECTED
        return VersionComparison.NEWER

    def note_platform(self, version: int) -> None:
        """Note a version that the platform returned."""
        self._platform_version = max(self._platform_version, version)

    def is_stale(self, now: float) -> bool:
        """Return whether a platform read by this process is called for."""
        if not self.version or now - self.confirmations.heard_at > STALE_AFTER_S:
            return True
        return self._behind_since is not None and now - self._behind_since > BEHIND_AFTER_S

    def is_settled(self, now: float) -> bool:
        """Return whether the version in force was confirmed lately and none newer is known."""
        return not self.is_stale(now) and self._behind_since is None

    def describe(self, now: float) -> ValueDigest:
        """Return what peers are told."""
        seen = self.confirmations
        heard_s = max(0.0, now - seen.heard_at) if seen.reader is not None else 0.0
        return ValueDigest(self.name, self.version, self.digest, seen.reader, seen.number, heard_s)

    def note_holder(self, peer: ProcessId, version: int, now: float) -> None:
        """Remember that ``peer`` has a newer version in force."""
        self._version_by_holder[peer] = version
        self._version_by_holder.move_to_end(peer)
        if len(self._version_by_holder) > MAX_HOLDERS:
            self._version_by_holder.popitem(last=False)
        self._known_version = max(self._known_version, version)
        self._update_behind(now)

    def note_confirmation(self, told: ValueDigest, standing: VersionComparison, now: float) -> bool:
        """Note a peer's confirmation; return whether it is new.

        It vouches for the version that was told with it. A process that is behind adopts it only
        with that version, or it would take its own version for confirmed and not read.
        """
        if told.confirmed_by is None or standing is VersionComparison.OLDER:
            return False
        heard_at = now - max(0.0, told.heard_s)
        if standing is not VersionComparison.NEWER:
            return self.confirmations.observe(told.confirmed_by, told.confirmation, heard_at)
        if self._promised is None or heard_at > self._promised[2]:
            self._promised = (told.confirmed_by, told.confirmation, heard_at, told.version)
        return False

    @property
    def is_behind(self) -> bool:
        """Whether a peer told a version above the one in force."""
        return any(version > self.version for version in self._version_by_holder.values())

    def drop_holder(self, peer: ProcessId) -> None:
        """Forget a peer that didn't deliver."""
        self._version_by_holder.pop(peer, None)
        if self._asked == peer:
            self._asked = None

    def next_request(self, now: float) -> ProcessId | None:
        """Return the peer to ask now, if any; at most one request is outstanding."""
        if self._asked is not None:
            if now < self._asked_until:
                return None
            self._postpone(self._asked)
        offered = self.candidate.version if self.candidate else 0
        floor = max(self.version, offered)
        holders = [peer for peer, version in self._version_by_holder.items() if version > floor]
        if not holders:
            return None
        chosen = holders[-1]
        self.asked(chosen, now, whole=self.version == 0)
        return chosen

    def _postpone(self, peer: ProcessId) -> None:
        self._asked = None
        if peer in self._version_by_holder:
            self._version_by_holder.move_to_end(peer, last=False)

    def asked(self, peer: ProcessId, now: float, *, whole: bool) -> None:
        """Note an outstanding request."""
        self._asked = peer
        self._asked_until = now + (WHOLE_TIMEOUT_S if whole else DELTA_TIMEOUT_S)

    def delivered(self, peer: ProcessId) -> None:
        """Note that a request was answered."""
        if self._asked == peer:
            self._asked = None

    def patched(self, deltas: tuple[bytes, ...]) -> ValueDocument:
        """Return the document in force with ``deltas`` applied.

        Raises MalformedDeltaError.
        """
        document = self._document
        if document is None:
            raise MalformedDeltaError(cause="no version is in force")
        for delta in deltas:
            document = document.apply(ValueDelta.decode(delta))
        return document

    def deltas_since(self, version: int) -> tuple[bytes, ...] | None:
        """Return the deltas from ``version``, or None where the whole value has to be sent."""
        return self._chain.since(version) if version else None

    def payload(self) -> bytes:
        """Return the canonical text of the version in force."""
        return self._document.encode() if self._document else b""

    def offer(self, candidate: Candidate) -> bool:
        """Take a newer version as the candidate, unless a higher one is being validated."""
        if self.candidate is not None and self.candidate.version >= candidate.version:
            return False
        self.candidate = candidate
        return True

    def take_candidate(self, version: int, digest: bytes) -> Candidate | None:
        """Remove and return the candidate that a validation result is about."""
        candidate = self.candidate
        if candidate is None or (candidate.version, candidate.digest) != (version, digest):
            return None
        self.candidate = None
        return candidate

    def install(self, candidate: Candidate, now: float) -> None:
        """Put a valid candidate in force."""
        if self._document is not None:
            delta = self._document.delta_to(candidate.document)
            self._chain.add(
                base_version=self.version, version=candidate.version, delta=delta.encode()
            )
        self._document = candidate.document
        self.version = candidate.version
        self.digest = candidate.digest
        if self._promised is not None and self._promised[3] <= self.version:
            self.confirmations.observe(*self._promised[:3])
            self._promised = None
        self._update_behind(now)

    def reject(self, version: int, digest: bytes, now: float) -> None:
        """Remember a version that failed validation; only the highest one is kept."""
        if version >= self._rejected_version:
            self._rejected_version = version
            self._rejected_digest = digest
        for peer, held in list(self._version_by_holder.items()):
            if held == version:
                self.drop_holder(peer)
        self._update_behind(now)

    def _update_behind(self, now: float) -> None:
        if self._known_version <= max(self.version, self._rejected_version):
            self._behind_since = None
            self._version_by_holder.clear()
        elif self._behind_since is None:
            self._behind_since = now


def canonical(payload: bytes) -> tuple[ValueDocument, bytes, bytes]:
    """Return the document in ``payload`` with its canonical text and digest.

    Raises MalformedValueError.
    """
    document = ValueDocument.parse(payload)
    text = document.encode()
    return document, text, digest_of(text)
