"""The processes that this observer can't reach, and when that becomes a verdict."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.membership.claim import Claim
from laburnumbridge.membership.member import MemberState
from laburnumbridge.membership.suspicion import Suspicion

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from laburnumbridge.core import ProcessId
    from laburnumbridge.membership.liveness_record import LivenessRecord
    from laburnumbridge.membership.liveness_version import LivenessVersion
    from laburnumbridge.membership.membership_view import MembershipView
    from laburnumbridge.membership.panic_rule import PanicRule

# With the timeout of the indirect probe this is 2.05 s from the question to the helpers: a process
# that pauses for 2 s is not declared dead, even if the ping before the pause was lost. From the
# first unanswered ping it is 2.2 s; of the 3 s, 0.8 s remain for the wait for that ping (up to
# 0.4 s), ticks and dissemination.
SUSPICION_TIMEOUT_S = 1.75
# Time for one more ping before others are told. Under 5 % loss nine of ten suspicions end with
# its answer; spread at once, those of a full fleet would use up the byte budget.
SPREAD_DELAY_S = 0.15


class SuspicionTable:
    """Own suspicions with those who confirm them."""

    def __init__(self, *, own_id: ProcessId, view: MembershipView, rule: PanicRule) -> None:
        self._own_id = own_id
        self._view = view
        self._rule = rule
        self._suspicion_by_target: dict[ProcessId, Suspicion] = {}

    def begin(
        self,
        target: ProcessId,
        life: LivenessVersion,
        confirmers: Iterable[ProcessId],
        now: float,
        multiplier: int,
    ) -> None:
        """Begin a suspicion, or add confirmers to the one in force."""
        known = self._suspicion_by_target.get(target)
        if known is not None and known.life == life:
            known.confirmers.update(confirmers)
            return
        deadline = now + SUSPICION_TIMEOUT_S * multiplier
        suspicion = Suspicion(
            life=life,
            deadline=deadline,
            spread_at=now + SPREAD_DELAY_S * multiplier,
            confirmers=set(confirmers),
        )
        self._suspicion_by_target[target] = suspicion
        record = self._view.record(target)
        if record is not None:
            self.observe(record)

    def take_unspread(self, now: float) -> list[ProcessId]:
        """Return the processes whose suspicion others must be told of now."""
        due = []
        for target, suspicion in self._suspicion_by_target.items():
            if not suspicion.is_spread and suspicion.spread_at <= now:
                suspicion.is_spread = True
                due.append(target)
        return due

    def drop(self, target: ProcessId) -> bool:
        """End a suspicion; return whether there was one."""
        return self._suspicion_by_target.pop(target, None) is not None

    def clear(self) -> None:
        """End all suspicions."""
        self._suspicion_by_target = {}

    def postpone(self, by_s: float) -> None:
        """Extend the deadlines, after this process itself was late."""
        for suspicion in self._suspicion_by_target.values():
            suspicion.deadline += by_s

    def confirm(self, target: ProcessId, observer: ProcessId) -> None:
        """Note that another observer can't reach the target either."""
        suspicion = self._suspicion_by_target.get(target)
        if suspicion is not None:
            suspicion.confirmers.add(observer)

    def observe(self, record: LivenessRecord) -> None:
        """Take what a record says of a suspected process."""
        suspicion = self._suspicion_by_target.get(record.subject)
        if suspicion is None:
            return
        if record.life > suspicion.life or record.claim is Claim.DEAD:
            self.drop(record.subject)
        elif record.life == suspicion.life and record.claim is Claim.SUSPECT:
            suspicion.confirmers.add(record.observer)

    def in_panic(self, watched: Sequence[ProcessId]) -> bool:
        """True where too many of the watched processes seem dead."""
        if not self._suspicion_by_target:
            return False
        impaired = self._impaired(watched)
        return self._rule.watched_in_panic(impaired=impaired, watched=len(watched))

    def take_verdicts(self, now: float, watched: Sequence[ProcessId]) -> list[ProcessId]:
        """Remove and return the processes whose death is confirmed."""
        verdicts: list[ProcessId] = []
        if not self._suspicion_by_target:
            return verdicts
        panic = self.in_panic(watched)
        half = self._rule.half_impaired(impaired=self._impaired(watched), watched=len(watched))
        for target in list(self._suspicion_by_target):
            if self._view.member(target) is None:
                self.drop(target)
            elif self._is_confirmed(target, now, half, panic):
                self.drop(target)
                verdicts.append(target)
        return verdicts

    def _impaired(self, watched: Sequence[ProcessId]) -> int:
        dead = [name for name in watched if self._view.state(name) is MemberState.DEAD]
        return len(self._suspicion_by_target.keys() | set(dead))

    def _is_confirmed(self, target: ProcessId, now: float, half: bool, panic: bool) -> bool:
        suspicion = self._suspicion_by_target[target]
        own = self._view.member(self._own_id)
        subject = self._view.member(target)
        if now < suspicion.deadline or own is None or subject is None:
            return False
        others = suspicion.confirmers - {self._own_id, target}
        members = [m for m in map(self._view.member, others) if m is not None]
        panic = panic or self._rule.domain_in_panic(subject.failure_domain)
        return self._rule.suffices(
            own=own, subject=subject, confirmers=members, half=half, panic=panic
        )
