"""Failure detector for the processes on the platform's list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.core import Choice
from laburnumbridge.core import Incarnation
from laburnumbridge.membership.actions import PanicChanged
from laburnumbridge.membership.actions import Superseded
from laburnumbridge.membership.actions import SuspicionRefuted
from laburnumbridge.membership.actions import ViewExpired
from laburnumbridge.membership.actions import ViewRefreshed
from laburnumbridge.membership.claim import Claim
from laburnumbridge.membership.dissemination import Dissemination
from laburnumbridge.membership.events import ForwardingTimedOut
from laburnumbridge.membership.events import InterestChanged
from laburnumbridge.membership.events import LeaveAnnounced
from laburnumbridge.membership.events import ListReceived
from laburnumbridge.membership.events import MessageReceived
from laburnumbridge.membership.events import PortClosed
from laburnumbridge.membership.events import Tick
from laburnumbridge.membership.gossip_queue import GOSSIP_BYTES_PER_S
from laburnumbridge.membership.liveness_record import LivenessRecord
from laburnumbridge.membership.liveness_version import LivenessVersion
from laburnumbridge.membership.local_health import LocalHealth
from laburnumbridge.membership.local_process import LocalProcess
from laburnumbridge.membership.member import MemberState
from laburnumbridge.membership.member import Role
from laburnumbridge.membership.membership_view import MembershipView
from laburnumbridge.membership.messages import Ack
from laburnumbridge.membership.messages import Gossip
from laburnumbridge.membership.messages import IndirectAck
from laburnumbridge.membership.messages import IndirectPing
from laburnumbridge.membership.messages import Ping
from laburnumbridge.membership.messages import SyncReply
from laburnumbridge.membership.messages import SyncRequest
from laburnumbridge.membership.messages import Unreachable
from laburnumbridge.membership.panic_rule import PanicRule
from laburnumbridge.membership.prober import Prober
from laburnumbridge.membership.suspicion_table import SuspicionTable
from laburnumbridge.membership.watch_plan import WatchPlan

if TYPE_CHECKING:
    from collections.abc import Iterable

    from laburnumbridge.core import ProcessId
    from laburnumbridge.membership.actions import Action
    from laburnumbridge.membership.events import Event
    from laburnumbridge.membership.messages import Message
    from laburnumbridge.membership.probe import ProbeFailure

TICK_INTERVAL_S = 0.05
# A longer gap between events lowers the local health, which lengthens all timeouts.
LATE_TICK_S = 0.3
# After a longer gap, other processes may have declared this one dead, and answers to its pings may
# be outdated.
CLOCK_GAP_S = 1.0
# After a clock gap, answers of this many processes make the view current again.
REFRESH_ANSWERS = 2
EXPIRY_INTERVAL_S = 1.0
# Lower than any version that a process reports about itself.
OLDEST_LIVENESS_VERSION = LivenessVersion(Incarnation(0))


class Detector:
    """Probes a few processes, declares them suspect or dead, and spreads liveness records.

    ``incarnation`` is the start of this process in seconds since the epoch. The driver must
    perform the actions that `handle` returns in their order.
    """

    def __init__(
        self,
        *,
        process_id: ProcessId,
        incarnation: Incarnation,
        seed: int,
        gossip_bytes_per_s: float = GOSSIP_BYTES_PER_S,
    ) -> None:
        choice = Choice(seed=seed)
        self.view = MembershipView()
        self._local = LocalProcess(process_id=process_id, incarnation=incarnation)
        self._health = LocalHealth()
        self._plan = WatchPlan(view=self.view)
        self._prober = Prober(local=self._local, view=self.view, choice=choice, health=self._health)
        self._dissemination = Dissemination(
            local=self._local,
            view=self.view,
            plan=self._plan,
            choice=choice,
            bytes_per_s=gossip_bytes_per_s,
        )
        self._suspicions = SuspicionTable(
            own_id=process_id, view=self.view, rule=PanicRule(view=self.view)
        )
        self._last_at: float | None = None
        self._next_expiry_at = 0.0
        self._announced = False
        self._superseded = False
        self._needs_replan = False
        self._panic = False
        self._answered_since_gap: set[ProcessId] | None = None

    @property
    def liveness_version(self) -> LivenessVersion:
        """Liveness version of this process: its incarnation and the number of its refutations."""
        return self._local.life

    @property
    def is_expired(self) -> bool:
        """Whether the view may be outdated after a clock gap and must not be used for decisions."""
        return self._answered_since_gap is not None

    def watched(self) -> list[ProcessId]:
        """Return the processes that are currently probed."""
        return list(self._prober.watched)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Process an event at ``now`` (monotonic seconds) and return the resulting actions."""
        actions = self._check_clock(now)
        match event:
            case Tick():
                actions += self._tick(now)
            case MessageReceived(source, message):
                actions += self._receive(source, message, now)
            case ListReceived(version, members):
                actions += self.view.apply_list(version=version, members=members, now=now)
                self._needs_replan = True
            case PortClosed(process_id):
                actions += self._port_closed(process_id, now)
            case ForwardingTimedOut(process_id):
                if self.view.state(process_id) is MemberState.LIVE:
                    self._prober.watch_temporarily(process_id, now)
            case LeaveAnnounced():
                self._local.leaving = True
                actions += self._announce(now)
            case InterestChanged(process_ids):
                self._dissemination.set_interest(process_ids)
        return actions

    def _check_clock(self, now: float) -> list[Action]:
        gap_s = now - self._last_at if self._last_at is not None else 0.0
        self._last_at = now
        if gap_s <= LATE_TICK_S:
            return []
        self._health.worsen()
        if gap_s <= CLOCK_GAP_S:
            self._prober.postpone(gap_s)
            self._suspicions.postpone(gap_s)
            return []
        self._answered_since_gap = set()
        self._suspicions.clear()
        self._prober.restart(now)
        return [ViewExpired(gap_s), *self._dissemination.request_own_records(now)]

    def _tick(self, now: float) -> list[Action]:
        actions: list[Action] = []
        if self._needs_replan:
            actions += self._update_watched(now)
        sent, failures = self._prober.tick(now)
        actions += sent
        if not self.is_expired:
            for failure in failures:
                self._suspect(failure, now)
            actions += self._spread_suspicions(now)
            actions += self._declare_dead(now)
        if now >= self._next_expiry_at:
            self._next_expiry_at = now + EXPIRY_INTERVAL_S
            actions += self.view.expire(now)
        return actions + self._dissemination.tick(now)

    def _update_watched(self, now: float) -> list[Action]:
        self._needs_replan = False
        own = self.view.member(self._local.process_id)
        self._prober.set_watched(self._plan.watched(own) if own else [], now)
        if own is None or self._announced:
            return []
        self._announced = True
        return self._announce(now)

    def _announce(self, now: float) -> list[Action]:
        return self._originate(self._local.record(), now)

    def _originate(self, record: LivenessRecord, now: float) -> list[Action]:
        """Apply and spread a record of this process, unless the view holds a newer one."""
        if not self.view.accepts(record):
            return []
        actions = self._apply(record, now)
        self._dissemination.originate(record)
        return actions

    def _apply(self, record: LivenessRecord, now: float) -> list[Action]:
        actions: list[Action] = [*self.view.apply_record(record, now)]
        if record.subject in self._prober.watched and record.claim in (Claim.DEAD, Claim.ALIVE):
            self._needs_replan = True
        return actions

    def _receive(self, source: ProcessId, message: Message, now: float) -> list[Action]:
        match message:
            case Ping(records=records):
                actions = self._merge_records(records, now)
                return [*actions, self._prober.answer(source, message)]
            case Ack(life=version):
                answered, forwarded = self._prober.acknowledge(source, message)
                actions = self._handle_answer(source, version, now) if answered else []
                return [*forwarded, *actions]
            case IndirectPing():
                return [*self._prober.probe_for(source, message, now)]
            case IndirectAck(target=target, life=version):
                answered = self._prober.acknowledge_indirectly(message)
                return self._handle_answer(target, version, now) if answered else []
            case Unreachable(target=target):
                if self._prober.confirm(source, message):
                    self._suspicions.confirm(target, source)
                return []
            case SyncRequest():
                return [*self._dissemination.reply(source, message, now)]
            case SyncReply(records=records):
                self._dissemination.handle_reply(message, now)
                return self._merge_records(records, now)
            case Gossip(records=records):
                return self._merge_records(records, now)

    def _merge_records(self, records: Iterable[LivenessRecord], now: float) -> list[Action]:
        actions: list[Action] = []
        for record in records:
            if record.subject == self._local.process_id:
                actions += self._handle_record_about_self(record, now)
            elif self.view.accepts(record):
                actions += self._apply(record, now)
                self._dissemination.forward(record)
                if record.claim is Claim.SUSPECT:
                    self._prober.probe_next_tick(record.subject, now)
            elif self.view.renew_suspicion(record, now):
                self._dissemination.forward(record)
            self._suspicions.observe(record)
        return actions

    def _handle_record_about_self(self, record: LivenessRecord, now: float) -> list[Action]:
        if record.life.incarnation > self._local.life.incarnation:
            if self._superseded:
                return []
            self._superseded = True
            return [Superseded(record.life)]
        if not self._local.must_refute(record):
            return []
        self._local.refute(record)
        self._health.worsen()
        return [SuspicionRefuted(self._local.life), *self._announce(now)]

    def _handle_answer(
        self, process_id: ProcessId, version: LivenessVersion, now: float
    ) -> list[Action]:
        """Process an answer of a process: end its suspicion and record that it is alive."""
        actions = self._refresh(process_id)
        if self._suspicions.drop(process_id):
            # The next ping carries the record that the process has to refute.
            self._prober.probe_next_tick(process_id, now)
        record = LivenessRecord(process_id, Claim.ALIVE, version, self._local.process_id)
        return actions + self._merge_records((record,), now)

    def _refresh(self, process_id: ProcessId) -> list[Action]:
        if self._answered_since_gap is None:
            return []
        self._answered_since_gap.add(process_id)
        if len(self._answered_since_gap) < min(REFRESH_ANSWERS, len(self.watched())):
            return []
        self._answered_since_gap = None
        return [ViewRefreshed()]

    def _suspect(self, failure: ProbeFailure, now: float) -> None:
        target = failure.target
        if self.view.state(target) in (MemberState.DEAD, MemberState.GONE, MemberState.UNKNOWN):
            return
        version = self._version_of(target)
        multiplier = self._health.multiplier
        self._suspicions.begin(target, version, failure.confirmers, now, multiplier)
        self._prober.probe_next_tick(target, now)
        record = LivenessRecord(target, Claim.SUSPECT, version, self._local.process_id)
        if self.view.renew_suspicion(record, now):
            self._dissemination.originate(record)

    def _spread_suspicions(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for target in self._suspicions.take_due_for_gossip(now):
            version = self._version_of(target)
            record = LivenessRecord(target, Claim.SUSPECT, version, self._local.process_id)
            actions += self._originate(record, now)
        return actions

    def _declare_dead(self, now: float) -> list[Action]:
        actions: list[Action] = []
        watched = self.watched()
        panic = self._suspicions.in_panic(watched)
        if panic is not self._panic:
            self._panic = panic
            actions.append(PanicChanged(panic))
        for target in self._suspicions.take_confirmed_dead(now, watched):
            record = LivenessRecord(
                target, Claim.DEAD, self._version_of(target), self._local.process_id
            )
            actions += self._originate(record, now)
        return actions

    def _port_closed(self, process_id: ProcessId, now: float) -> list[Action]:
        member = self.view.member(process_id)
        if self.is_expired or member is None or member.role is not Role.AGENT:
            return []
        version = self._version_of(process_id)
        return self._originate(
            LivenessRecord(process_id, Claim.DEAD, version, self._local.process_id), now
        )

    def _version_of(self, process_id: ProcessId) -> LivenessVersion:
        return self.view.liveness_version(process_id) or OLDEST_LIVENESS_VERSION
