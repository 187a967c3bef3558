"""Versions of one value in one process."""

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

# Longer than one watch and its relay; half of the 15 s remains for the fallback read.
STALE_AFTER_S = 7.0
# If no peer delivers an announced version within this time, it is read from the platform.
BEHIND_AFTER_S = 5.0
# A delta is a few kilobytes; a whole value of 1 MB takes longer, also over a busy link.
DELTA_TIMEOUT_S = 1.0
WHOLE_TIMEOUT_S = 3.0
MAX_HOLDERS = 4


@dataclass(frozen=True, slots=True)
class Candidate:
    """A newer version that is being validated."""

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
        self._highest_announced_version = 0
        self._behind_since: float | None = None
        self._version_by_holder: OrderedDict[ProcessId, int] = OrderedDict()
        self._pending_confirmation: tuple[ProcessId, int, float, int] | None = None
        self._requested_peer: ProcessId | None = None
        self._request_deadline = 0.0

    @property
    def read_after(self) -> int:
        """The version after which the platform is read.

        This skips a version that failed validation, if the platform itself returned it: a version
        that only a peer announced must not hide later versions of the platform.
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
        """Record a version that the platform returned."""
        self._platform_version = max(self._platform_version, version)

    def is_stale(self, now: float) -> bool:
        """Return whether this process should read the platform.

        It should without a version, without a confirmation for `STALE_AFTER_S`, or if it has been
        behind the announced versions for `BEHIND_AFTER_S`.
        """
        if not self.version or now - self.confirmations.confirmed_at > STALE_AFTER_S:
            return True
        return self._behind_since is not None and now - self._behind_since > BEHIND_AFTER_S

    def is_up_to_date(self, now: float) -> bool:
        """Return whether the version in force isn't stale and no newer one was announced."""
        return not self.is_stale(now) and self._behind_since is None

    def describe(self, now: float) -> ValueDigest:
        """Return the digest to send to peers."""
        latest = self.confirmations
        heard_s = max(0.0, now - latest.confirmed_at) if latest.reader is not None else 0.0
        return ValueDigest(
            self.name, self.version, self.digest, latest.reader, latest.number, heard_s
        )

    def note_holder(self, peer: ProcessId, version: int, now: float) -> None:
        """Record that ``peer`` has a newer version in force."""
        self._version_by_holder[peer] = version
        self._version_by_holder.move_to_end(peer)
        if len(self._version_by_holder) > MAX_HOLDERS:
            self._version_by_holder.popitem(last=False)
        self._highest_announced_version = max(self._highest_announced_version, version)
        self._update_behind_since(now)

    def note_confirmation(
        self, announced: ValueDigest, comparison: VersionComparison, now: float
    ) -> bool:
        """Record a peer's confirmation; return whether it is new.

        It applies to the version that was announced with it. A process that is behind adopts it
        only with that version; otherwise it would treat its own version as confirmed and not read.
        """
        if announced.confirmed_by is None or comparison is VersionComparison.OLDER:
            return False
        confirmed_at = now - max(0.0, announced.heard_s)
        if comparison is not VersionComparison.NEWER:
            return self.confirmations.observe(
                announced.confirmed_by, announced.confirmation, confirmed_at
            )
        if self._pending_confirmation is None or confirmed_at > self._pending_confirmation[2]:
            self._pending_confirmation = (
                announced.confirmed_by,
                announced.confirmation,
                confirmed_at,
                announced.version,
            )
        return False

    @property
    def is_behind(self) -> bool:
        """Whether a peer announced a version above the one in force."""
        return any(version > self.version for version in self._version_by_holder.values())

    def drop_holder(self, peer: ProcessId) -> None:
        """Remove a peer that didn't deliver its version."""
        self._version_by_holder.pop(peer, None)
        if self._requested_peer == peer:
            self._requested_peer = None

    def next_request(self, now: float) -> ProcessId | None:
        """Return the peer to send a request to now, or None; at most one is outstanding."""
        if self._requested_peer is not None:
            if now < self._request_deadline:
                return None
            self._deprioritise(self._requested_peer)
        offered = self.candidate.version if self.candidate else 0
        floor = max(self.version, offered)
        holders = [peer for peer, version in self._version_by_holder.items() if version > floor]
        if not holders:
            return None
        chosen = holders[-1]
        self.note_request(chosen, now, whole=self.version == 0)
        return chosen

    def _deprioritise(self, peer: ProcessId) -> None:
        self._requested_peer = None
        if peer in self._version_by_holder:
            self._version_by_holder.move_to_end(peer, last=False)

    def note_request(self, peer: ProcessId, now: float, *, whole: bool) -> None:
        """Record an outstanding request for a ``whole`` value or a delta, with its deadline."""
        self._requested_peer = peer
        self._request_deadline = now + (WHOLE_TIMEOUT_S if whole else DELTA_TIMEOUT_S)

    def note_delivery(self, peer: ProcessId) -> None:
        """Record that ``peer`` answered a request."""
        if self._requested_peer == peer:
            self._requested_peer = None

    def with_deltas(self, deltas: tuple[bytes, ...]) -> ValueDocument:
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
        """Return the deltas from ``version``, or None if the whole value has to be sent."""
        return self._chain.since(version) if version else None

    def payload(self) -> bytes:
        """Return the canonical text of the version in force, empty without one."""
        return self._document.encode() if self._document else b""

    def offer(self, candidate: Candidate) -> bool:
        """Make a newer version the candidate, unless one at least as high is being validated.

        Returns whether it became the candidate.
        """
        if self.candidate is not None and self.candidate.version >= candidate.version:
            return False
        self.candidate = candidate
        return True

    def take_candidate(self, version: int, digest: bytes) -> Candidate | None:
        """Remove and return the candidate of a validation result, or None if it was replaced."""
        candidate = self.candidate
        if candidate is None or (candidate.version, candidate.digest) != (version, digest):
            return None
        self.candidate = None
        return candidate

    def install(self, candidate: Candidate, now: float) -> None:
        """Put a validated candidate in force."""
        if self._document is not None:
            delta = self._document.delta_to(candidate.document)
            self._chain.add(
                base_version=self.version, version=candidate.version, delta=delta.encode()
            )
        self._document = candidate.document
        self.version = candidate.version
        self.digest = candidate.digest
        if self._pending_confirmation is not None and self._pending_confirmation[3] <= self.version:
            self.confirmations.observe(*self._pending_confirmation[:3])
            self._pending_confirmation = None
        self._update_behind_since(now)

    def reject(self, version: int, digest: bytes, now: float) -> None:
        """Record a version that failed validation; only the highest one is stored."""
        if version >= self._rejected_version:
            self._rejected_version = version
            self._rejected_digest = digest
        for peer, held_version in list(self._version_by_holder.items()):
            if held_version == version:
                self.drop_holder(peer)
        self._update_behind_since(now)

    def _update_behind_since(self, now: float) -> None:
        if self._highest_announced_version <= max(self.version, self._rejected_version):
            self._behind_since = None
            self._version_by_holder.clear()
        elif self._behind_since is None:
            self._behind_since = now


def canonicalise(payload: bytes) -> tuple[ValueDocument, bytes, bytes]:
    """Return the document in ``payload`` with its canonical text and digest.

    Raises MalformedValueError.
    """
    document = ValueDocument.parse(payload)
    text = document.encode()
    return document, text, digest_of(text)
