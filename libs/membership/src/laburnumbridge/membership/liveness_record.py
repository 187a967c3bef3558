"""An exception to the platform's list."""

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
    """``observer`` claims that ``subject`` is in the state ``claim`` in its ``life``."""

    subject: ProcessId
    claim: Claim
    life: LivenessVersion
    observer: ProcessId

    @property
    def precedence(self) -> tuple[LivenessVersion, Claim]:
        """Order of records about one subject: the life first, then the claim."""
        return self.life, self.claim

    def fingerprint(self) -> int:
        """Return 64 bits that are equal where subject, claim and life are equal."""
        incarnation, refutation = self.life
        return hash64(f"{self.subject} {self.claim:d} {incarnation} {refutation}".encode())

    def size_bytes(self) -> int:
        """Estimate the encoded size."""
        return RECORD_FIXED_BYTES + len(self.subject) + len(self.observer)
