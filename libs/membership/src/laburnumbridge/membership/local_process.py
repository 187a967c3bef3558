"""The process that a detector runs in."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.membership.claim import Claim
from laburnumbridge.membership.liveness_record import LivenessRecord
from laburnumbridge.membership.liveness_version import LivenessVersion

if TYPE_CHECKING:
    from laburnumbridge.core import Incarnation
    from laburnumbridge.core import ProcessId


class LocalProcess:
    """Liveness version and leaving state of the process itself."""

    def __init__(self, *, process_id: ProcessId, incarnation: Incarnation) -> None:
        self.process_id = process_id
        self.life = LivenessVersion(incarnation)
        self.leaving = False

    def record(self) -> LivenessRecord:
        """Return the record of this process about itself."""
        claim = Claim.LEAVING if self.leaving else Claim.ALIVE
        return LivenessRecord(self.process_id, claim, self.life, self.process_id)

    def must_refute(self, record: LivenessRecord) -> bool:
        """Return whether ``record`` is a current claim that this process is suspect or dead.

        A record of a newer incarnation is not refuted: it supersedes this process.
        """
        claims_failure = record.claim in (Claim.SUSPECT, Claim.DEAD)
        is_current = record.life.incarnation <= self.life.incarnation
        return claims_failure and is_current and record.life >= self.life

    def refute(self, record: LivenessRecord) -> None:
        """Raise this process's refutation above the one in ``record``."""
        self.life = LivenessVersion(self.life.incarnation, record.life.refutation + 1)
