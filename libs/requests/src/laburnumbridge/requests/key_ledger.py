"""Idempotency keys at one agent."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from laburnumbridge.core import Refusal
from laburnumbridge.requests.agent_id import agent_set_digest
from laburnumbridge.requests.agent_id import winning_agent
from laburnumbridge.requests.key_messages import AgentSetChanged
from laburnumbridge.requests.key_messages import ArrivalRole
from laburnumbridge.requests.key_messages import ClaimWithdrawn
from laburnumbridge.requests.key_messages import KeyClaimed
from laburnumbridge.requests.key_messages import KeyInquiry
from laburnumbridge.requests.key_messages import KeyReply
from laburnumbridge.requests.key_messages import KeyRunEnded
from laburnumbridge.requests.key_messages import KeyStatus
from laburnumbridge.requests.key_messages import RelayClaim
from laburnumbridge.requests.key_messages import RunClaim
from laburnumbridge.requests.key_messages import SendKeyInquiry
from laburnumbridge.requests.key_messages import SendKeyReply
from laburnumbridge.requests.key_messages import SettleClaim
from laburnumbridge.requests.key_messages import UnansweredOutcome
from laburnumbridge.requests.key_record import KeyRecord
from laburnumbridge.requests.key_record import KeyState
from laburnumbridge.requests.stored_answer import StoredAnswer

if TYPE_CHECKING:
    from laburnumbridge.core import ProcessId
    from laburnumbridge.requests.agent_id import AgentId
    from laburnumbridge.requests.key_messages import KeyAction
    from laburnumbridge.requests.key_messages import KeyEvent

RETENTION_S = 600.0  # a client may repeat a key for this long after the first send
VIEW_LAG_S = 15.0  # by then every agent has received a change of the agent set (P8)
MAX_TRANSIT_S = 15.0  # longest time from a client's send to its arrival; idle links close earlier
PROOF_MARGIN_S = VIEW_LAG_S + MAX_TRANSIT_S
RECORD_TTL_S = RETENTION_S + PROOF_MARGIN_S  # a repeat sent just in time still finds its record
INQUIRY_TIMEOUT_S = 0.5  # a healthy sibling replies within milliseconds
MAX_KEYS = 20_000  # about 12 MB of records
MAX_STORED_BYTES = 4 * 1024 * 1024  # an agent has 32 MB for all of its control state

_HELD = frozenset({KeyState.RUNNING, KeyState.ANSWERED, KeyState.UNKNOWN})
_BUSY = frozenset({KeyState.RUNNING, KeyState.PROVING})


class KeyLedger:
    """Runs a keyed request at most once, even while the agents' views of each other differ.

    A first send runs at the key's owner. While the agent set isn't settled, the owner first
    queries its siblings; it doesn't wait beyond the timeout for unresponsive ones. A repeat of a
    key without a record at the owner runs only after every agent that the platform lists has
    replied that it didn't run the key and won't, and only if no agent has joined, left, restarted
    or evicted keys since before the first send.
    """

    def __init__(
        self,
        *,
        own: AgentId,
        now: float,
        max_keys: int = MAX_KEYS,
        max_stored_bytes: int = MAX_STORED_BYTES,
    ) -> None:
        self.own = own
        self.agents: frozenset[AgentId] = frozenset({own})
        self.ignored = 0
        self._certain = False  # until the first view
        self._version = -1
        self._listed: frozenset[ProcessId] = frozenset()
        self._covered_since = now
        self._max_keys = max_keys
        self._max_stored_bytes = max_stored_bytes
        self._stored_bytes = 0
        self._inquiries = 0
        self._record_by_key: dict[str, KeyRecord] = {}
        self._answered_by_key: dict[str, KeyRecord] = {}
        self._proving: set[str] = set()
        self._expiry_checks: deque[tuple[float, str]] = deque()

    def handle(self, event: KeyEvent, now: float) -> list[KeyAction]:
        """Apply one event at ``now`` (monotonic seconds)."""
        match event:
            case KeyClaimed():
                return self._claim(event, now)
            case KeyRunEnded():
                return self._end_run(event, now)
            case ClaimWithdrawn():
                return self._withdraw(event)
            case AgentSetChanged():
                return self._change_agents(event, now)
            case KeyInquiry():
                return [SendKeyReply(event.asker, self._reply(event, now))]
            case KeyReply():
                return self._collect_reply(event, now)
        return self._expire(now)

    def has_record(self, key: str) -> bool:
        """Return True while the ledger has a record of ``key``."""
        return key in self._record_by_key

    def _claim(self, claim: KeyClaimed, now: float) -> list[KeyAction]:
        record = self._record_by_key.get(claim.key)
        if record is None:
            return self._claim_unknown(claim, now)
        if record.fingerprint not in (None, claim.fingerprint):
            return [SettleClaim(claim.request_id, UnansweredOutcome.CONFLICT)]
        match record.state:
            case KeyState.RUNNING | KeyState.PROVING:
                return self._join(claim, record)
            case KeyState.ANSWERED if record.answer is not None:
                return [SettleClaim(claim.request_id, record.answer)]
            case KeyState.RELAYED if claim.role is ArrivalRole.CLIENT:
                return self._claim_unknown(claim, now)
            case KeyState.RELAYED | KeyState.UNPROVEN:
                return self._prove(claim, record, now)
            case KeyState.FENCED:
                return self._relay_to_holder(claim, record)
            case KeyState.UNRUN if self._is_newer(claim, record):
                return self._run(claim, record, now)
        return [SettleClaim(claim.request_id, UnansweredOutcome.UNKNOWN)]

    @staticmethod
    def _join(claim: KeyClaimed, record: KeyRecord) -> list[KeyAction]:
        record.waiters.append(claim.request_id)
        # If this run is refused, the waiter is reported as "not run" too; no copy of its age or
        # older may run after that.
        if claim.age_s is not None and record.age_s is not None:
            record.age_s = max(claim.age_s, record.age_s)
        return []

    def _claim_unknown(self, claim: KeyClaimed, now: float) -> list[KeyAction]:
        if claim.role is ArrivalRole.KEY_HOLDER:
            return [SettleClaim(claim.request_id, UnansweredOutcome.UNKNOWN)]
        owner = self._owner(claim.key)
        record = self._record_by_key.get(claim.key)
        if claim.role is ArrivalRole.CLIENT and owner != self.own:
            if record is None:
                record = self._add(claim.key, KeyRecord(KeyState.RELAYED, now), now)
            record.targets.add(owner)
            record.touched_at = now
            return [RelayClaim(claim.request_id, owner, ArrivalRole.KEY_OWNER)]
        if record is not None:
            return self._prove(claim, record, now)
        record = self._add(claim.key, KeyRecord(KeyState.UNPROVEN, now), now)
        if claim.age_s == 0 and self._covered_s(now) >= PROOF_MARGIN_S and self._sees_all_listed():
            return self._run(claim, record, now)
        return self._prove(claim, record, now)

    def _owner(self, key: str) -> AgentId:
        return winning_agent(key.encode(), self.agents) or self.own

    def _relay_to_holder(self, claim: KeyClaimed, record: KeyRecord) -> list[KeyAction]:
        (holder,) = record.targets
        # One further hop at most, so that two agents never forward to each other in a loop.
        if claim.role is ArrivalRole.KEY_HOLDER or holder not in self.agents:
            return [SettleClaim(claim.request_id, UnansweredOutcome.UNKNOWN)]
        return [RelayClaim(claim.request_id, holder, ArrivalRole.KEY_HOLDER)]

    @staticmethod
    def _is_newer(claim: KeyClaimed, record: KeyRecord) -> bool:
        # The client has received "not run"; a late copy of an earlier send must not run after that.
        if claim.age_s is None or record.age_s is None:
            return True
        return claim.age_s > record.age_s

    def _run(self, claim: KeyClaimed, record: KeyRecord, now: float) -> list[KeyAction]:
        record.state = KeyState.RUNNING
        record.fingerprint = claim.fingerprint
        record.age_s = claim.age_s
        record.touched_at = now
        return [RunClaim(claim.request_id)]

    def _prove(self, claim: KeyClaimed, record: KeyRecord, now: float) -> list[KeyAction]:
        self._inquiries += 1
        record.state = KeyState.PROVING
        record.fingerprint = claim.fingerprint
        record.age_s = claim.age_s
        record.touched_at = now
        record.waiters = [claim.request_id]
        record.inquiry = self._inquiries
        # An agent that has left can't be queried; its departure restarts the coverage instead.
        record.queried = self.agents - {self.own}
        record.replies = {}
        self._proving.add(claim.key)
        # Siblings are queried even if coverage is too short: one of them may hold the answer.
        if not record.queried:
            return self._conclude(claim.key, record, now)
        message = KeyInquiry(record.inquiry, claim.key, self.own)
        return [SendKeyInquiry(sibling, message) for sibling in sorted(record.queried)]

    def _collect_reply(self, reply: KeyReply, now: float) -> list[KeyAction]:
        record = self._record_by_key.get(reply.key)
        if record is None or record.state is not KeyState.PROVING:
            self.ignored += 1
            return []
        # Inquiry numbers start again with each incarnation of the asker.
        expected = reply.asker == self.own and reply.inquiry == record.inquiry
        if not expected or reply.sibling not in record.queried:
            self.ignored += 1
            return []
        record.replies[reply.sibling] = reply
        if reply.standing is KeyStatus.HELD:
            return self._fence_to_holder(reply.sibling, record, now)
        if record.replies.keys() != record.queried:
            return []
        return self._conclude(reply.key, record, now)

    def _fence_to_holder(self, holder: AgentId, record: KeyRecord, now: float) -> list[KeyAction]:
        record.state = KeyState.FENCED
        record.targets = {holder}
        record.fingerprint = None
        record.touched_at = now
        waiters, record.waiters = record.waiters, []
        return [RelayClaim(waiter, holder, ArrivalRole.KEY_HOLDER) for waiter in waiters]

    def _conclude(self, key: str, record: KeyRecord, now: float) -> list[KeyAction]:
        if not record.waiters:
            record.state = KeyState.UNPROVEN
            return []
        if self._is_first_send(record) or self._is_proved(record, now):
            record.state = KeyState.RUNNING
            record.touched_at = now
            return [RunClaim(record.waiters.pop(0))]
        record.state = KeyState.UNPROVEN
        record.fingerprint = None
        return self._settle(record, UnansweredOutcome.UNKNOWN)

    def _is_proved(self, record: KeyRecord, now: float) -> bool:
        digest = agent_set_digest(self.agents)
        needed_s = self._needed_coverage_s(record, now)
        replies = record.replies
        if record.queried != self.agents - {self.own} or replies.keys() != record.queried:
            return False
        if not (self._sees_all_listed() and self._is_covered(record, now)):
            return False
        return all(
            reply.standing is KeyStatus.ABSENT
            and reply.covered_s >= needed_s
            and reply.agents_digest == digest
            for reply in replies.values()
        )

    def _sees_all_listed(self) -> bool:
        # In a partition the other side's agents are still listed, and may have run a key.
        return self._listed <= {agent.process_id for agent in self.agents}

    @staticmethod
    def _is_first_send(record: KeyRecord) -> bool:
        # No agent can have run it before, unless two agents received it and see different owners.
        if record.age_s != 0 or record.targets:
            return False
        return all(reply.standing is KeyStatus.ABSENT for reply in record.replies.values())

    def _is_covered(self, record: KeyRecord, now: float) -> bool:
        too_old = record.age_s is not None and record.age_s >= RETENTION_S
        return not too_old and self._covered_s(now) >= self._needed_coverage_s(record, now)

    @staticmethod
    def _needed_coverage_s(record: KeyRecord, now: float) -> float:
        age_s = RETENTION_S if record.age_s is None else record.age_s
        return age_s + PROOF_MARGIN_S + (now - record.touched_at)

    def _covered_s(self, now: float) -> float:
        return now - self._covered_since if self._certain else 0.0

    def _reply(self, inquired: KeyInquiry, now: float) -> KeyReply:
        return KeyReply(
            inquiry=inquired.inquiry,
            key=inquired.key,
            asker=inquired.asker,
            sibling=self.own,
            standing=self._status_for_inquiry(inquired, now),
            covered_s=self._covered_s(now),
            agents_digest=agent_set_digest(self.agents),
        )

    def _status_for_inquiry(self, inquired: KeyInquiry, now: float) -> KeyStatus:
        record = self._record_by_key.get(inquired.key)
        if record is None:
            record = self._add(inquired.key, KeyRecord(KeyState.UNRUN, now), now)
        if record.state in _HELD:
            return KeyStatus.HELD
        if record.state is KeyState.PROVING or not record.targets <= {inquired.asker}:
            return KeyStatus.SEEN
        record.state = KeyState.FENCED
        record.targets = {inquired.asker}
        record.fingerprint = None
        record.touched_at = now
        return KeyStatus.ABSENT

    def _end_run(self, ended: KeyRunEnded, now: float) -> list[KeyAction]:
        record = self._record_by_key.get(ended.key)
        if record is None or record.state is not KeyState.RUNNING:
            self.ignored += 1
            return []
        record.touched_at = now
        match ended.outcome:
            case StoredAnswer():
                self._store(ended.key, record, ended.outcome)
            case Refusal():
                record.state = KeyState.UNRUN
            case _:
                record.state = KeyState.UNKNOWN
        return self._settle(record, ended.outcome)

    def _store(self, key: str, record: KeyRecord, answer: StoredAnswer) -> None:
        record.state = KeyState.UNKNOWN
        if answer.size > self._max_stored_bytes:
            return
        while self._stored_bytes + answer.size > self._max_stored_bytes:
            self._discard_answer(next(iter(self._answered_by_key)))
        record.state = KeyState.ANSWERED
        record.answer = answer
        self._answered_by_key[key] = record
        self._stored_bytes += answer.size

    def _discard_answer(self, key: str) -> None:
        record = self._answered_by_key.pop(key, None)
        if record is None or record.answer is None:
            return
        self._stored_bytes -= record.answer.size
        record.answer = None
        record.state = KeyState.UNKNOWN

    @staticmethod
    def _settle(
        record: KeyRecord, outcome: StoredAnswer | Refusal | UnansweredOutcome
    ) -> list[KeyAction]:
        waiters, record.waiters = record.waiters, []
        return [SettleClaim(waiter, outcome) for waiter in waiters]

    def _withdraw(self, withdrawn: ClaimWithdrawn) -> list[KeyAction]:
        record = self._record_by_key.get(withdrawn.key)
        if record is not None and withdrawn.request_id in record.waiters:
            record.waiters.remove(withdrawn.request_id)
        return []

    def _change_agents(self, changed: AgentSetChanged, now: float) -> list[KeyAction]:
        if changed.version <= self._version:
            self.ignored += 1
            return []
        self._version = changed.version
        agents = changed.agents | {self.own}
        same = agents == self.agents and changed.listed == self._listed
        if not (same and changed.certain and self._certain):
            self._covered_since = now
        self.agents = agents
        self._listed = changed.listed
        self._certain = changed.certain
        return []

    def _expire(self, now: float) -> list[KeyAction]:
        actions: list[KeyAction] = []
        for key in sorted(self._proving):
            record = self._record_by_key[key]
            if record.state is not KeyState.PROVING:
                self._proving.discard(key)
            elif now - record.touched_at >= INQUIRY_TIMEOUT_S:
                actions += self._conclude(key, record, now)
        while self._expiry_checks and self._expiry_checks[0][0] <= now:
            self._check_expiry(self._expiry_checks.popleft()[1], now)
        return actions

    def _check_expiry(self, key: str, now: float) -> None:
        record = self._record_by_key.get(key)
        if record is None:
            return
        kept_until = record.touched_at + RECORD_TTL_S
        if record.state in _BUSY or kept_until > now:
            self._expiry_checks.append((max(kept_until, now + PROOF_MARGIN_S), key))
            return
        self._remove(key)

    def _add(self, key: str, record: KeyRecord, now: float) -> KeyRecord:
        while len(self._record_by_key) >= self._max_keys:
            idle = (k for k, r in self._record_by_key.items() if r.state not in _BUSY)
            oldest: str | None = next(idle, None)
            if oldest is None:
                break
            self._remove(oldest)
            # After an eviction this agent can't prove what did not run before now.
            self._covered_since = now
        self._record_by_key[key] = record
        self._expiry_checks.append((now + RECORD_TTL_S, key))
        if len(self._expiry_checks) > 2 * self._max_keys:
            # Evicted keys leave their entries behind.
            due_by_key = {checked: due for due, checked in self._expiry_checks}
            live = due_by_key.keys() & self._record_by_key.keys()
            self._expiry_checks = deque(sorted((due_by_key[checked], checked) for checked in live))
        return record

    def _remove(self, key: str) -> None:
        self._discard_answer(key)
        self._proving.discard(key)
        del self._record_by_key[key]
