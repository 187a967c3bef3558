"""Liveness of processes: the platform's list overridden by liveness records."""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections import defaultdict
from itertools import islice
from typing import TYPE_CHECKING

from laburnumbridge.membership.actions import StateChanged
from laburnumbridge.membership.claim import Claim
from laburnumbridge.membership.liveness_record import LivenessRecord
from laburnumbridge.membership.member import MemberState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from laburnumbridge.core import FailureDomain
    from laburnumbridge.core import Incarnation
    from laburnumbridge.core import ProcessId
    from laburnumbridge.core import ServiceName
    from laburnumbridge.membership.liveness_version import LivenessVersion
    from laburnumbridge.membership.member import Member
    from laburnumbridge.membership.member import Role

# Longer than any open flow waits for a reset: idle flows end after 9 s, and the list lags by 30 s.
TOMBSTONE_S = 600.0
MAX_TOMBSTONES = 20_000
# A suspicion expires if no observer renews it within this time. Observers renew it every
# `SUSPECT_RENEWAL_S`: with a shorter interval, the 3,700 suspects of a partitioned region would
# exceed the byte budget.
SUSPECT_EXPIRY_S = 300.0
SUSPECT_RENEWAL_S = 120.0
# Records about processes that aren't on the list yet, because it lags.
MAX_UNLISTED_RECORDS = 1_024

_STATE_BY_CLAIM = {
    Claim.ALIVE: MemberState.LIVE,
    Claim.LEAVING: MemberState.LEAVING,
    Claim.SUSPECT: MemberState.SUSPECT,
    Claim.DEAD: MemberState.DEAD,
}


class MembershipView:
    """State of each process, from the platform's list and from liveness records.

    Memory is bounded: at most one record for each listed process, `MAX_UNLISTED_RECORDS` others
    and `MAX_TOMBSTONES` tombstones.
    """

    def __init__(self) -> None:
        self.version: int | None = None
        self.stale_lists = 0
        self.digest = 0
        self._member_by_id: dict[ProcessId, Member] = {}
        self._sorted_ids: list[ProcessId] = []
        self._record_by_id: dict[ProcessId, LivenessRecord] = {}
        self._unlisted_by_id: dict[ProcessId, LivenessRecord] = {}
        self._tombstone_until_by_id: dict[ProcessId, float] = {}
        self._suspect_until_by_id: dict[ProcessId, float] = {}
        self._ids_by_service: dict[ServiceName, list[ProcessId]] = {}
        self._ids_by_domain: dict[tuple[Role, FailureDomain], list[ProcessId]] = {}
        self._size_by_domain: Counter[FailureDomain] = Counter()
        self._impaired_by_domain: Counter[FailureDomain] = Counter()

    def state(self, process_id: ProcessId) -> MemberState:
        """Return the state of a process.

        A process that isn't on the list is GONE while it has a tombstone, otherwise UNKNOWN.
        """
        member = self._member_by_id.get(process_id)
        if member is None:
            has_tombstone = process_id in self._tombstone_until_by_id
            return MemberState.GONE if has_tombstone else MemberState.UNKNOWN
        record = self._record_by_id.get(process_id)
        state = _STATE_BY_CLAIM[record.claim] if record else MemberState.LIVE
        return MemberState.LEAVING if member.leaving and state is MemberState.LIVE else state

    def incarnation(self, process_id: ProcessId) -> Incarnation | None:
        """Return the newest incarnation on record, or None without a record."""
        version = self.liveness_version(process_id)
        return version.incarnation if version else None

    def liveness_version(self, process_id: ProcessId) -> LivenessVersion | None:
        """Return the newest liveness version on record, or None without a record."""
        record = self.record(process_id)
        return record.life if record else None

    def record(self, process_id: ProcessId) -> LivenessRecord | None:
        """Return the current record about a process, listed or not, or None."""
        return self._record_by_id.get(process_id) or self._unlisted_by_id.get(process_id)

    def member(self, process_id: ProcessId) -> Member | None:
        """Return the entry on the platform's list, or None."""
        return self._member_by_id.get(process_id)

    def members(self) -> Iterable[Member]:
        """Return all entries on the platform's list."""
        return self._member_by_id.values()

    def failure_domains(self) -> list[FailureDomain]:
        """Return the failure domains on the list, sorted."""
        return sorted(self._size_by_domain)

    def listed(
        self,
        *,
        role: Role | None = None,
        service: ServiceName | None = None,
        failure_domain: FailureDomain | None = None,
    ) -> list[ProcessId]:
        """Return the listed processes in any state that match all given criteria, sorted."""
        if service is not None:
            candidates = self._ids_by_service.get(service, [])
        elif role is not None and failure_domain is not None:
            return list(self._ids_by_domain.get((role, failure_domain), []))
        else:
            candidates = self._sorted_ids
        return [
            process_id
            for process_id in candidates
            if role in (None, self._member_by_id[process_id].role)
            and failure_domain in (None, self._member_by_id[process_id].failure_domain)
        ]

    def live(
        self,
        *,
        role: Role | None = None,
        service: ServiceName | None = None,
        failure_domain: FailureDomain | None = None,
    ) -> list[ProcessId]:
        """Return the live processes that match, without suspect and leaving ones, sorted."""
        listed = self.listed(role=role, service=service, failure_domain=failure_domain)
        return [process_id for process_id in listed if self.state(process_id) is MemberState.LIVE]

    def count_impaired(self, failure_domain: FailureDomain) -> tuple[int, int]:
        """Return how many processes of a domain are suspect or dead, and how many are listed."""
        return self._impaired_by_domain[failure_domain], self._size_by_domain[failure_domain]

    def dead(self) -> list[LivenessRecord]:
        """Return the records that claim a death."""
        return [r for r in self._record_by_id.values() if r.claim is Claim.DEAD]

    def records_after(self, process_id: ProcessId, count: int) -> list[LivenessRecord]:
        """Return up to ``count`` records about listed subjects after ``process_id``, in order."""
        start = bisect_right(self._sorted_ids, process_id)
        later = (self._record_by_id.get(name) for name in islice(self._sorted_ids, start, None))
        return list(islice((record for record in later if record), count))

    def digest_of(self, subjects: Iterable[ProcessId]) -> int:
        """Return the 64-bit digest of the records about ``subjects``, without suspicions."""
        digest = 0
        for subject in subjects:
            digest ^= self._record_digest(self._record_by_id.get(subject))
        return digest

    def apply_list(
        self, *, version: int, members: Iterable[Member], now: float
    ) -> list[StateChanged]:
        """Apply a newer list and return the changes of state.

        A list that isn't newer is ignored; older ones are counted in ``stale_lists``.
        """
        if self.version is not None and version <= self.version:
            self.stale_lists += version < self.version
            return []
        self.version = version
        before = {process_id: self.state(process_id) for process_id in self._member_by_id}
        self._member_by_id = {member.process_id: member for member in members}
        for process_id in before.keys() - self._member_by_id.keys():
            self._add_tombstone(process_id, now)
        for process_id in self._member_by_id.keys() - before.keys():
            self._tombstone_until_by_id.pop(process_id, None)
            record = self._unlisted_by_id.pop(process_id, None)
            if record is not None:
                self._store(record, now)
        self._index()
        affected = sorted(before.keys() | self._member_by_id.keys())
        return [
            self._change(process_id)
            for process_id in affected
            if before.get(process_id) is not self.state(process_id)
        ]

    def accepts(self, record: LivenessRecord) -> bool:
        """Return whether the record is newer than the current one.

        Records about processes with a tombstone are refused.
        """
        if record.subject in self._tombstone_until_by_id:
            return False
        current = self.record(record.subject)
        return current is None or record.precedence > current.precedence

    def apply_record(self, record: LivenessRecord, now: float) -> list[StateChanged]:
        """Apply a record if it takes precedence; return the change, if any."""
        if not self.accepts(record):
            return []
        subject = record.subject
        member = self._member_by_id.get(subject)
        if member is None:
            self._store_unlisted(record)
            return []
        before = self.state(subject), self.incarnation(subject)
        self._store(record, now)
        after = self.state(subject), self.incarnation(subject)
        self._update_impaired(member.failure_domain, before[0], after[0])
        return [self._change(subject)] if before != after else []

    def renew_suspicion(self, record: LivenessRecord, now: float) -> bool:
        """Renew a suspicion if its renewal is due; return whether it has to be gossiped again."""
        until = self._suspect_until_by_id.get(record.subject)
        current = self._record_by_id.get(record.subject)
        if until is None or current is None or current.precedence != record.precedence:
            return False
        if until - now > SUSPECT_EXPIRY_S - SUSPECT_RENEWAL_S:
            return False
        self._suspect_until_by_id[record.subject] = now + SUSPECT_EXPIRY_S
        return True

    def expire(self, now: float) -> list[StateChanged]:
        """Drop expired tombstones and suspicions; return the changes of state."""
        expired = [name for name, until in self._tombstone_until_by_id.items() if until <= now]
        for process_id in expired:
            del self._tombstone_until_by_id[process_id]
        changes = []
        for process_id in [n for n, until in self._suspect_until_by_id.items() if until <= now]:
            record = self._record_by_id[process_id]
            self._store(LivenessRecord(process_id, Claim.ALIVE, record.life, record.observer), now)
            member = self._member_by_id[process_id]
            self._update_impaired(member.failure_domain, MemberState.SUSPECT, MemberState.LIVE)
            changes.append(self._change(process_id))
        return changes

    def _change(self, process_id: ProcessId) -> StateChanged:
        return StateChanged(process_id, self.state(process_id), self.incarnation(process_id))

    def _store(self, record: LivenessRecord, now: float) -> None:
        self.digest ^= self._record_digest(self._record_by_id.get(record.subject))
        self.digest ^= self._record_digest(record)
        self._record_by_id[record.subject] = record
        self._suspect_until_by_id.pop(record.subject, None)
        if record.claim is Claim.SUSPECT:
            self._suspect_until_by_id[record.subject] = now + SUSPECT_EXPIRY_S

    def _add_tombstone(self, process_id: ProcessId, now: float) -> None:
        self.digest ^= self._record_digest(self._record_by_id.pop(process_id, None))
        self._suspect_until_by_id.pop(process_id, None)
        if len(self._tombstone_until_by_id) >= MAX_TOMBSTONES:
            del self._tombstone_until_by_id[next(iter(self._tombstone_until_by_id))]
        self._tombstone_until_by_id[process_id] = now + TOMBSTONE_S

    def _store_unlisted(self, record: LivenessRecord) -> None:
        self._unlisted_by_id.pop(record.subject, None)
        if len(self._unlisted_by_id) >= MAX_UNLISTED_RECORDS:
            del self._unlisted_by_id[next(iter(self._unlisted_by_id))]
        self._unlisted_by_id[record.subject] = record

    def _index(self) -> None:
        by_service: dict[ServiceName, list[ProcessId]] = defaultdict(list)
        by_domain: dict[tuple[Role, FailureDomain], list[ProcessId]] = defaultdict(list)
        self._size_by_domain = Counter()
        self._impaired_by_domain = Counter()
        self._sorted_ids = sorted(self._member_by_id)
        for process_id in self._sorted_ids:
            member = self._member_by_id[process_id]
            by_domain[member.role, member.failure_domain].append(process_id)
            if member.service is not None:
                by_service[member.service].append(process_id)
            self._size_by_domain[member.failure_domain] += 1
            self._update_impaired(member.failure_domain, MemberState.LIVE, self.state(process_id))
        self._ids_by_service = dict(by_service)
        self._ids_by_domain = dict(by_domain)

    def _update_impaired(
        self, domain: FailureDomain, before: MemberState, after: MemberState
    ) -> None:
        impaired = (MemberState.SUSPECT, MemberState.DEAD)
        self._impaired_by_domain[domain] += (after in impaired) - (before in impaired)

    @staticmethod
    def _record_digest(record: LivenessRecord | None) -> int:
        # Suspicions change within seconds; with them, the digests of two peers would seldom match.
        if record is None or record.claim is Claim.SUSPECT:
            return 0
        return record.fingerprint()
