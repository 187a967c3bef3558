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
    """What a process says of itself."""

    def __init__(self, *, process_id: ProcessId, incarnation: Incarnation) -> None:
        self.process_id = process_id
        self.life = LivenessVersion(incarnation)
        self.leaving = False

    def record(self) -> LivenessRecord:
        """Return the record about this process in its own words."""
        claim = Claim.LEAVING if self.leaving else Claim.ALIVE
        return LivenessRecord(self.process_id, claim, self.life, self.process_id)

    def must_refute(self, record: LivenessRecord) -> bool:
        """True where ``record`` accuses this process in its present life."""
        accused = record.claim in (Claim.SUSPECT, Claim.DEAD)
        same = record.life.incarnation <= self.life.incarnation
        return accused and same and record.life >= self.life

    def refute(self, record: LivenessRecord) -> None:
        """Take a life above the one that was accused."""
        self.life = LivenessVersion(self.life.incarnation, record.life.refutation + 1)
