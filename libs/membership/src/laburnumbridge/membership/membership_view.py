"""The platform's list with exceptions over it."""

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

# Longer than any open flow waits for a reset: idle flows end after 9 s, the list lags by 30 s.
TOMBSTONE_S = 600.0
MAX_TOMBSTONES = 20_000
# A suspicion that nobody repeats within this time is dropped. Observers repeat it every
# `SUSPECT_REPEAT_S`: more often, 3,700 suspects of a cut region would not fit the byte budget.
SUSPECT_HOLD_S = 300.0
SUSPECT_REPEAT_S = 120.0
# Records about processes that the lagging list doesn't hold yet.
MAX_UNLISTED_RECORDS = 1_024

_STATE_BY_CLAIM = {
    Claim.ALIVE: MemberState.LIVE,
    Claim.LEAVING: MemberState.LEAVING,
    Claim.SUSPECT: MemberState.SUSPECT,
    Claim.DEAD: MemberState.DEAD,
}


class MembershipView:
    """State of each process, from the platform's list and from records of other processes.

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
        """Return the state of a process."""
        member = self._member_by_id.get(process_id)
        if member is None:
            known = process_id in self._tombstone_until_by_id
            return MemberState.GONE if known else MemberState.UNKNOWN
        record = self._record_by_id.get(process_id)
        state = _STATE_BY_CLAIM[record.claim] if record else MemberState.LIVE
        return MemberState.LEAVING if member.leaving and state is MemberState.LIVE else state

    def incarnation(self, process_id: ProcessId) -> Incarnation | None:
        """Return the newest incarnation heard of, or None."""
        life = self.liveness_version(process_id)
        return life.incarnation if life else None

    def liveness_version(self, process_id: ProcessId) -> LivenessVersion | None:
        """Return the newest life heard of, or None."""
        record = self.record(process_id)
        return record.life if record else None

    def record(self, process_id: ProcessId) -> LivenessRecord | None:
        """Return the record in force about a process."""
        return self._record_by_id.get(process_id) or self._unlisted_by_id.get(process_id)

    def member(self, process_id: ProcessId) -> Member | None:
        """Return the entry of the platform's list."""
        return self._member_by_id.get(process_id)

    def members(self) -> Iterable[Member]:
        """Return all entries of the platform's list."""
        return self._member_by_id.values()

    def failure_domains(self) -> list[FailureDomain]:
        """Return the failure domains of the list, sorted."""
        return sorted(self._size_by_domain)

    def listed(
        self,
        *,
        role: Role | None = None,
        service: ServiceName | None = None,
        failure_domain: FailureDomain | None = None,
    ) -> list[ProcessId]:
        """Return listed processes in any state, sorted."""
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
        """Return live processes, without suspect and leaving ones, sorted."""
        listed = self.listed(role=role, service=service, failure_domain=failure_domain)
        return [process_id for process_id in listed if self.state(process_id) is MemberState.LIVE]

    def impaired_share(self, failure_domain: FailureDomain) -> tuple[int, int]:
        """Return how many processes of a failure domain are suspect or dead, and how many exist."""
        return self._impaired_by_domain[failure_domain], self._size_by_domain[failure_domain]

    def dead(self) -> list[LivenessRecord]:
        """Return the records of confirmed deaths."""
        return [r for r in self._record_by_id.values() if r.claim is Claim.DEAD]

    def records_after(self, process_id: ProcessId, count: int) -> list[LivenessRecord]:
        """Return up to ``count`` records in the order of their subjects, from ``process_id`` on."""
        start = bisect_right(self._sorted_ids, process_id)
        later = (self._record_by_id.get(name) for name in islice(self._sorted_ids, start, None))
        return list(islice((record for record in later if record), count))

    def digest_of(self, subjects: Iterable[ProcessId]) -> int:
        """Return the digest of the records about some processes."""
        digest = 0
        for subject in subjects:
            digest ^= self._digest_part(self._record_by_id.get(subject))
        return digest

    def apply_list(
        self, *, version: int, members: Iterable[Member], now: float
    ) -> list[StateChanged]:
        """Take a newer list; an older one is counted and ignored."""
        if self.version is not None and version <= self.version:
            self.stale_lists += version < self.version
            return []
        self.version = version
        before = {process_id: self.state(process_id) for process_id in self._member_by_id}
        self._member_by_id = {member.process_id: member for member in members}
        for process_id in before.keys() - self._member_by_id.keys():
            self._bury(process_id, now)
        for process_id in self._member_by_id.keys() - before.keys():
            self._tombstone_until_by_id.pop(process_id, None)
            record = self._unlisted_by_id.pop(process_id, None)
            if record is not None:
                self._store(record, now)
        self._index()
        touched = sorted(before.keys() | self._member_by_id.keys())
        return [
            self._change(process_id)
            for process_id in touched
            if before.get(process_id) is not self.state(process_id)
        ]

    def accepts(self, record: LivenessRecord) -> bool:
        """True where the record is newer than the one in force."""
        if record.subject in self._tombstone_until_by_id:
            return False
        known = self.record(record.subject)
        return known is None or record.precedence > known.precedence

    def apply_record(self, record: LivenessRecord, now: float) -> list[StateChanged]:
        """Take a record if it takes precedence."""
        if not self.accepts(record):
            return []
        subject = record.subject
        member = self._member_by_id.get(subject)
        if member is None:
            self._hold_unlisted(record)
            return []
        before = self.state(subject), self.incarnation(subject)
        self._store(record, now)
        after = self.state(subject), self.incarnation(subject)
        self._count(member.failure_domain, before[0], after[0])
        return [self._change(subject)] if before != after else []

    def hold_suspect(self, record: LivenessRecord, now: float) -> bool:
        """Keep a suspicion that is repeated; return whether it is time to spread it again."""
        until = self._suspect_until_by_id.get(record.subject)
        known = self._record_by_id.get(record.subject)
        if until is None or known is None or known.precedence != record.precedence:
            return False
        if until - now > SUSPECT_HOLD_S - SUSPECT_REPEAT_S:
            return False
        self._suspect_until_by_id[record.subject] = now + SUSPECT_HOLD_S
        return True

    def expire(self, now: float) -> list[StateChanged]:
        """Drop old tombstones and suspicions that nobody has repeated."""
        ended = [name for name, until in self._tombstone_until_by_id.items() if until <= now]
        for process_id in ended:
            del self._tombstone_until_by_id[process_id]
        changes = []
        for process_id in [n for n, until in self._suspect_until_by_id.items() if until <= now]:
            record = self._record_by_id[process_id]
            self._store(LivenessRecord(process_id, Claim.ALIVE, record.life, record.observer), now)
            member = self._member_by_id[process_id]
            self._count(member.failure_domain, MemberState.SUSPECT, MemberState.LIVE)
            changes.append(self._change(process_id))
        return changes

    def _change(self, process_id: ProcessId) -> StateChanged:
        return StateChanged(process_id, self.state(process_id), self.incarnation(process_id))

    def _store(self, record: LivenessRecord, now: float) -> None:
        self.digest ^= self._digest_part(self._record_by_id.get(record.subject))
        self.digest ^= self._digest_part(record)
        self._record_by_id[record.subject] = record
        self._suspect_until_by_id.pop(record.subject, None)
        if record.claim is Claim.SUSPECT:
            self._suspect_until_by_id[record.subject] = now + SUSPECT_HOLD_S

    def _bury(self, process_id: ProcessId, now: float) -> None:
        self.digest ^= self._digest_part(self._record_by_id.pop(process_id, None))
        self._suspect_until_by_id.pop(process_id, None)
        if len(self._tombstone_until_by_id) >= MAX_TOMBSTONES:
            del self._tombstone_until_by_id[next(iter(self._tombstone_until_by_id))]
        self._tombstone_until_by_id[process_id] = now + TOMBSTONE_S

    def _hold_unlisted(self, record: LivenessRecord) -> None:
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
            self._count(member.failure_domain, MemberState.LIVE, self.state(process_id))
        self._ids_by_service = dict(by_service)
        self._ids_by_domain = dict(by_domain)

    def _count(self, domain: FailureDomain, before: MemberState, after: MemberState) -> None:
        impaired = (MemberState.SUSPECT, MemberState.DEAD)
        self._impaired_by_domain[domain] += (after in impaired) - (before in impaired)

    @staticmethod
    def _digest_part(record: LivenessRecord | None) -> int:
        # Suspicions come and go within seconds; a digest with them would seldom be equal.
        if record is None or record.claim is Claim.SUSPECT:
            return 0
        return record.fingerprint()
