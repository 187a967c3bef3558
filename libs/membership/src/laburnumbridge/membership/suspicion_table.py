"""Processes that this observer suspects, and when they are declared dead."""

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

# With the timeout of the indirect probe, a process is declared dead 2.05 s after the requests to
# the helpers: one that pauses for 2 s is not, even if the ping before the pause was lost. That is
# 2.2 s after the first unanswered ping. Of the 3 s within which clients are notified, 0.8 s remain
# for the wait for that ping (up to 0.4 s), ticks and dissemination.
SUSPICION_TIMEOUT_S = 1.75
# Time for one more ping before the suspicion is gossiped. At 5 % loss its answer ends nine of ten
# suspicions; if all were gossiped at once, those of a full fleet would use up the byte budget.
GOSSIP_DELAY_S = 0.15


class SuspicionTable:
    """Suspicions of this observer and the observers that confirm them."""

    def __init__(self, *, own_id: ProcessId, view: MembershipView, rule: PanicRule) -> None:
        self._own_id = own_id
        self._view = view
        self._rule = rule
        self._suspicion_by_target: dict[ProcessId, Suspicion] = {}

    def begin(
        self,
        target: ProcessId,
        version: LivenessVersion,
        confirmers: Iterable[ProcessId],
        now: float,
        multiplier: int,
    ) -> None:
        """Begin a suspicion, or add confirmers to the current one of the same liveness version.

        ``now`` is in monotonic seconds; ``multiplier`` is the local health factor for timeouts.
        """
        current = self._suspicion_by_target.get(target)
        if current is not None and current.life == version:
            current.confirmers.update(confirmers)
            return
        deadline = now + SUSPICION_TIMEOUT_S * multiplier
        suspicion = Suspicion(
            life=version,
            deadline=deadline,
            gossip_at=now + GOSSIP_DELAY_S * multiplier,
            confirmers=set(confirmers),
        )
        self._suspicion_by_target[target] = suspicion
        record = self._view.record(target)
        if record is not None:
            self.observe(record)

    def take_due_for_gossip(self, now: float) -> list[ProcessId]:
        """Return the processes whose suspicion is due for gossip, each once."""
        due = []
        for target, suspicion in self._suspicion_by_target.items():
            if not suspicion.is_gossiped and suspicion.gossip_at <= now:
                suspicion.is_gossiped = True
                due.append(target)
        return due

    def drop(self, target: ProcessId) -> bool:
        """Remove a suspicion; return whether there was one."""
        return self._suspicion_by_target.pop(target, None) is not None

    def clear(self) -> None:
        """Remove all suspicions."""
        self._suspicion_by_target = {}

    def postpone(self, by_s: float) -> None:
        """Extend all deadlines by ``by_s`` seconds after a late tick of this process."""
        for suspicion in self._suspicion_by_target.values():
            suspicion.deadline += by_s

    def confirm(self, target: ProcessId, observer: ProcessId) -> None:
        """Record that ``observer`` can't reach the target either."""
        suspicion = self._suspicion_by_target.get(target)
        if suspicion is not None:
            suspicion.confirmers.add(observer)

    def observe(self, record: LivenessRecord) -> None:
        """Apply a liveness record: it may end or confirm the suspicion of its subject."""
        suspicion = self._suspicion_by_target.get(record.subject)
        if suspicion is None:
            return
        if record.life > suspicion.life or record.claim is Claim.DEAD:
            self.drop(record.subject)
        elif record.life == suspicion.life and record.claim is Claim.SUSPECT:
            suspicion.confirmers.add(record.observer)

    def in_panic(self, watched: Sequence[ProcessId]) -> bool:
        """Return whether too many of the watched processes are suspect or dead."""
        if not self._suspicion_by_target:
            return False
        impaired = self._count_impaired(watched)
        return self._rule.is_in_panic(impaired=impaired, watched=len(watched))

    def take_confirmed_dead(self, now: float, watched: Sequence[ProcessId]) -> list[ProcessId]:
        """Remove and return the suspected processes whose death is confirmed."""
        confirmed: list[ProcessId] = []
        if not self._suspicion_by_target:
            return confirmed
        panic = self.in_panic(watched)
        half_impaired = self._rule.is_half_impaired(
            impaired=self._count_impaired(watched), watched=len(watched)
        )
        for target in list(self._suspicion_by_target):
            if self._view.member(target) is None:
                self.drop(target)
            elif self._is_confirmed(target, now, half_impaired, panic):
                self.drop(target)
                confirmed.append(target)
        return confirmed

    def _count_impaired(self, watched: Sequence[ProcessId]) -> int:
        dead = [name for name in watched if self._view.state(name) is MemberState.DEAD]
        return len(self._suspicion_by_target.keys() | set(dead))

    def _is_confirmed(
        self, target: ProcessId, now: float, half_impaired: bool, panic: bool
    ) -> bool:
        suspicion = self._suspicion_by_target[target]
        own = self._view.member(self._own_id)
        subject = self._view.member(target)
        if now < suspicion.deadline or own is None or subject is None:
            return False
        observers = suspicion.confirmers - {self._own_id, target}
        members = [m for m in map(self._view.member, observers) if m is not None]
        panic = panic or self._rule.is_domain_in_panic(subject.failure_domain)
        return self._rule.has_quorum(
            own=own, subject=subject, confirmers=members, half_impaired=half_impaired, panic=panic
        )
