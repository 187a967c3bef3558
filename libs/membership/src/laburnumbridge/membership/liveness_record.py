"""A claim of one process about another that overrides the state on the platform's list."""

from __future__ import annotations

from dataclasses import dataclass

from laburnumbridge.core import ProcessId
from laburnumbridge.core import hash64
from laburnumbridge.membership.claim import Claim
from laburnumbridge.membership.liveness_version import LivenessVersion

# msgpack: array header, claim, 32-bit incarnation, refutation, two string headers.
RECORD_FIXED_BYTES = 10


@dataclass(frozen=True, slots=True)
class LivenessRecord:
    """A claim by ``observer`` about ``subject`` at the liveness version ``life``."""

    subject: ProcessId
    claim: Claim
    life: LivenessVersion
    observer: ProcessId

    @property
    def precedence(self) -> tuple[LivenessVersion, Claim]:
        """Sort key for records about one subject: liveness version, then claim."""
        return self.life, self.claim

    def fingerprint(self) -> int:
        """Return a 64-bit hash of subject, claim and liveness version, without the observer."""
        incarnation, refutation = self.life
        return hash64(f"{self.subject} {self.claim:d} {incarnation} {refutation}".encode())

    def size_bytes(self) -> int:
        """Return the estimated encoded size in bytes."""
        return RECORD_FIXED_BYTES + len(self.subject) + len(self.observer)
