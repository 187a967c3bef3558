"""Liveness of processes over the platform's list."""

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
# Later ticks than this lengthen all timeouts.
LATE_TICK_S = 0.3
# After a longer gap others may have declared this process dead and answers may be outdated.
CLOCK_GAP_S = 1.0
# Answers of this many processes show that the view of a woken process is current again.
FRESH_ANSWERS = 2
EXPIRY_INTERVAL_S = 1.0
# Any record by the process itself takes precedence over one about this life.
OLDEST_LIVENESS_VERSION = LivenessVersion(Incarnation(0))


class Detector:
    """Probes a few processes, judges them, and spreads exceptions; see `handle`.

    ``incarnation`` is the start of this process in seconds since the epoch. Actions are in the
    order in which the driver must take them.
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
        self._replan = False
        self._panic = False
        self._fresh: set[ProcessId] | None = None

    @property
    def liveness_version(self) -> LivenessVersion:
        """Life of this process, with its refutations."""
        return self._local.life

    @property
    def is_expired(self) -> bool:
        """True where decisions must not rest on the view."""
        return self._fresh is not None

    def watched(self) -> list[ProcessId]:
        """Return the processes that are probed at present."""
        return list(self._prober.watched)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take an event at monotonic time ``now`` (seconds)."""
        actions = self._check_clock(now)
        match event:
            case Tick():
                actions += self._tick(now)
            case MessageReceived(source, message):
                actions += self._receive(source, message, now)
            case ListReceived(version, members):
                actions += self.view.apply_list(version=version, members=members, now=now)
                self._replan = True
            case PortClosed(process_id):
                actions += self._port_closed(process_id, now)
            case ForwardingTimedOut(process_id):
                if self.view.state(process_id) is MemberState.LIVE:
                    self._prober.watch_briefly(process_id, now)
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
        self._fresh = set()
        self._suspicions.clear()
        self._prober.restart(now)
        return [ViewExpired(gap_s), *self._dissemination.ask_about_self(now)]

    def _tick(self, now: float) -> list[Action]:
        actions: list[Action] = []
        if self._replan:
            actions += self._watch_again(now)
        sent, failures = self._prober.tick(now)
        actions += sent
        if not self.is_expired:
            for failure in failures:
                self._suspect(failure, now)
            actions += self._spread_suspicions(now)
            actions += self._judge(now)
        if now >= self._next_expiry_at:
            self._next_expiry_at = now + EXPIRY_INTERVAL_S
            actions += self.view.expire(now)
        return actions + self._dissemination.tick(now)

    def _watch_again(self, now: float) -> list[Action]:
        self._replan = False
        own = self.view.member(self._local.process_id)
        self._prober.set_watched(self._plan.watched(own) if own else [], now)
        if own is None or self._announced:
            return []
        self._announced = True
        return self._announce(now)

    def _announce(self, now: float) -> list[Action]:
        return self._conclude(self._local.record(), now)

    def _conclude(self, record: LivenessRecord, now: float) -> list[Action]:
        """Take a finding of this process and spread it."""
        if not self.view.accepts(record):
            return []
        actions = self._apply(record, now)
        self._dissemination.originate(record)
        return actions

    def _apply(self, record: LivenessRecord, now: float) -> list[Action]:
        actions: list[Action] = [*self.view.apply_record(record, now)]
        if record.subject in self._prober.watched and record.claim in (Claim.DEAD, Claim.ALIVE):
            self._replan = True
        return actions

    def _receive(self, source: ProcessId, message: Message, now: float) -> list[Action]:
        match message:
            case Ping(records=records):
                actions = self._learn(records, now)
                return [*actions, self._prober.answer(source, message)]
            case Ack(life=life):
                answered, forwarded = self._prober.acknowledge(source, message)
                heard = self._heard(source, life, now) if answered else []
                return [*forwarded, *heard]
            case IndirectPing():
                return [*self._prober.help(source, message, now)]
            case IndirectAck(target=target, life=life):
                answered = self._prober.acknowledge_indirectly(message)
                return self._heard(target, life, now) if answered else []
            case Unreachable(target=target):
                if self._prober.confirm(source, message):
                    self._suspicions.confirm(target, source)
                return []
            case SyncRequest():
                return [*self._dissemination.reply(source, message, now)]
            case SyncReply(records=records):
                self._dissemination.compared(message, now)
                return self._learn(records, now)
            case Gossip(records=records):
                return self._learn(records, now)

    def _learn(self, records: Iterable[LivenessRecord], now: float) -> list[Action]:
        actions: list[Action] = []
        for record in records:
            if record.subject == self._local.process_id:
                actions += self._accused(record, now)
            elif self.view.accepts(record):
                actions += self._apply(record, now)
                self._dissemination.learned(record)
                if record.claim is Claim.SUSPECT:
                    self._prober.hasten(record.subject, now)
            elif self.view.hold_suspect(record, now):
                self._dissemination.learned(record)
            self._suspicions.observe(record)
        return actions

    def _accused(self, record: LivenessRecord, now: float) -> list[Action]:
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

    def _heard(self, process_id: ProcessId, life: LivenessVersion, now: float) -> list[Action]:
        """Take a proof of life."""
        actions = self._refresh(process_id)
        if self._suspicions.drop(process_id):
            # The next ping tells the process what it has to refute.
            self._prober.hasten(process_id, now)
        record = LivenessRecord(process_id, Claim.ALIVE, life, self._local.process_id)
        return actions + self._learn((record,), now)

    def _refresh(self, process_id: ProcessId) -> list[Action]:
        if self._fresh is None:
            return []
        self._fresh.add(process_id)
        if len(self._fresh) < min(FRESH_ANSWERS, len(self.watched())):
            return []
        self._fresh = None
        return [ViewRefreshed()]

    def _suspect(self, failure: ProbeFailure, now: float) -> None:
        target = failure.target
        if self.view.state(target) in (MemberState.DEAD, MemberState.GONE, MemberState.UNKNOWN):
            return
        life = self._life_of(target)
        multiplier = self._health.multiplier
        self._suspicions.begin(target, life, failure.confirmers, now, multiplier)
        self._prober.hasten(target, now)
        record = LivenessRecord(target, Claim.SUSPECT, life, self._local.process_id)
        if self.view.hold_suspect(record, now):
            self._dissemination.originate(record)

    def _spread_suspicions(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for target in self._suspicions.take_unspread(now):
            life = self._life_of(target)
            record = LivenessRecord(target, Claim.SUSPECT, life, self._local.process_id)
            actions += self._conclude(record, now)
        return actions

    def _judge(self, now: float) -> list[Action]:
        actions: list[Action] = []
        watched = self.watched()
        panic = self._suspicions.in_panic(watched)
        if panic is not self._panic:
            self._panic = panic
            actions.append(PanicChanged(panic))
        for target in self._suspicions.take_verdicts(now, watched):
            record = LivenessRecord(
                target, Claim.DEAD, self._life_of(target), self._local.process_id
            )
            actions += self._conclude(record, now)
        return actions

    def _port_closed(self, process_id: ProcessId, now: float) -> list[Action]:
        member = self.view.member(process_id)
        if self.is_expired or member is None or member.role is not Role.AGENT:
            return []
        life = self._life_of(process_id)
        return self._conclude(
            LivenessRecord(process_id, Claim.DEAD, life, self._local.process_id), now
        )

    def _life_of(self, process_id: ProcessId) -> LivenessVersion:
        return self.view.liveness_version(process_id) or OLDEST_LIVENESS_VERSION
