"""Direct and indirect probes of the watched processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.membership.actions import SendMessage
from laburnumbridge.membership.claim import Claim
from laburnumbridge.membership.member import MemberState
from laburnumbridge.membership.member import Role
from laburnumbridge.membership.messages import Ack
from laburnumbridge.membership.messages import IndirectAck
from laburnumbridge.membership.messages import IndirectPing
from laburnumbridge.membership.messages import Ping
from laburnumbridge.membership.messages import Unreachable
from laburnumbridge.membership.probe import HelperProbe
from laburnumbridge.membership.probe import Probe
from laburnumbridge.membership.probe import ProbeFailure

if TYPE_CHECKING:
    from collections.abc import Iterable

    from laburnumbridge.core import Choice
    from laburnumbridge.core import FailureDomain
    from laburnumbridge.core import ProcessId
    from laburnumbridge.membership.local_health import LocalHealth
    from laburnumbridge.membership.local_process import LocalProcess
    from laburnumbridge.membership.membership_view import MembershipView

# Clients must be notified of the loss of an agent within 3 s. In a full fleet two siblings watch
# each agent.
AGENT_PROBE_INTERVAL_S = 0.4
BALANCER_PROBE_INTERVAL_S = 1.0
# Short enough that a process declared dead refutes this within seconds after a partition heals.
DEAD_PROBE_INTERVAL_S = 5.0
# A round trip takes 3 ms; the remainder allows for garbage collection or a busy VM.
ACK_TIMEOUT_S = 0.15
# Timeout of a helper's ping. The helper's report must arrive before `INDIRECT_TIMEOUT_S`, otherwise
# the observer lowers its local health; ticks may add 0.05 s at each end.
HELPER_TIMEOUT_S = 0.2
INDIRECT_TIMEOUT_S = 0.3
# After this time from the ping, an answer to a failed probe is ignored.
LATE_ACK_S = 2.0
TEMPORARY_WATCH_S = 10.0
MAX_TEMPORARILY_WATCHED = 16
# Limits the pings that requests of other processes can cause.
MAX_HELPER_PROBES = 256


class Prober:
    """Probes processes, answers pings, and probes on behalf of other observers."""

    def __init__(
        self,
        *,
        local: LocalProcess,
        view: MembershipView,
        choice: Choice,
        health: LocalHealth,
    ) -> None:
        self._local = local
        self._view = view
        self._choice = choice
        self._health = health
        self._sequence = 0
        self._next_at_by_target: dict[ProcessId, float] = {}
        self._temporary_until_by_target: dict[ProcessId, float] = {}
        self._probe_by_sequence: dict[int, Probe] = {}
        self._helper_probe_by_sequence: dict[int, HelperProbe] = {}

    @property
    def watched(self) -> Iterable[ProcessId]:
        """Processes that are currently probed."""
        return self._next_at_by_target.keys()

    def set_watched(self, targets: Iterable[ProcessId], now: float) -> None:
        """Replace the watched processes; new ones get a random phase.

        Processes that are watched temporarily stay.
        """
        watched = [*targets, *self._temporary_until_by_target]
        previous = self._next_at_by_target
        self._next_at_by_target = {
            target: previous.get(target, now + self._choice.fraction() * self._interval(target))
            for target in watched
        }

    def watch_temporarily(self, target: ProcessId, now: float) -> None:
        """Probe a process at the next tick and for `TEMPORARY_WATCH_S`.

        Does nothing if the process is watched already or too many are watched temporarily.
        """
        if len(self._temporary_until_by_target) >= MAX_TEMPORARILY_WATCHED:
            return
        if target not in self._next_at_by_target:
            self._temporary_until_by_target[target] = now + TEMPORARY_WATCH_S
            self._next_at_by_target[target] = now

    def probe_next_tick(self, target: ProcessId, now: float) -> None:
        """Probe a process at the next tick if it is watched."""
        if target in self._next_at_by_target:
            self._next_at_by_target[target] = now

    def restart(self, now: float) -> None:
        """Discard all probes and begin new ones; answers to the old ones are ignored."""
        self._probe_by_sequence = {}
        self._helper_probe_by_sequence = {}
        self._next_at_by_target = dict.fromkeys(self._next_at_by_target, now)

    def postpone(self, by_s: float) -> None:
        """Extend all deadlines by ``by_s`` seconds after a late tick of this process."""
        for probe in self._probe_by_sequence.values():
            probe.deadline += by_s
        for helper_probe in self._helper_probe_by_sequence.values():
            helper_probe.deadline += by_s

    def tick(self, now: float) -> tuple[list[SendMessage], list[ProbeFailure]]:
        """Return the messages that are due and the probes that failed."""
        sent = self._report_unreachable(now)
        failures: list[ProbeFailure] = []
        for sequence in [s for s, p in self._probe_by_sequence.items() if p.deadline <= now]:
            probe = self._probe_by_sequence[sequence]
            if probe.failed:
                del self._probe_by_sequence[sequence]
            elif probe.helpers or not self._assign_helpers(probe, now):
                failures.append(self._fail(probe))
            else:
                request = IndirectPing(sequence, probe.target)
                sent += [SendMessage(helper, request) for helper in probe.helpers]
        self._end_temporary_watches(now)
        for target, next_at in self._next_at_by_target.items():
            if next_at <= now:
                sent.append(self._ping(target, now))
                self._next_at_by_target[target] = now + self._interval(target)
        return sent, failures

    def answer(self, source: ProcessId, ping: Ping) -> SendMessage:
        """Return the answer to a ping."""
        return SendMessage(source, Ack(ping.sequence, self._local.life))

    def probe_for(self, source: ProcessId, request: IndirectPing, now: float) -> list[SendMessage]:
        """Return the ping of a process on behalf of ``source``, or an empty list at the limit."""
        if len(self._helper_probe_by_sequence) >= MAX_HELPER_PROBES:
            return []
        self._sequence += 1
        self._helper_probe_by_sequence[self._sequence] = HelperProbe(
            origin=source,
            sequence=request.sequence,
            target=request.target,
            deadline=now + HELPER_TIMEOUT_S,
        )
        return [SendMessage(request.target, Ping(self._sequence, self._local.life))]

    def acknowledge(self, source: ProcessId, ack: Ack) -> tuple[bool, list[SendMessage]]:
        """Process an answer; return whether it answers a probe of this process.

        The second value holds the answer to the observer on whose behalf the ping was sent.
        """
        helper_probe = self._helper_probe_by_sequence.get(ack.sequence)
        if helper_probe is not None and helper_probe.target == source:
            del self._helper_probe_by_sequence[ack.sequence]
            message = IndirectAck(helper_probe.sequence, source, ack.life)
            return False, [SendMessage(helper_probe.origin, message)]
        return self._finish(ack.sequence, source), []

    def acknowledge_indirectly(self, ack: IndirectAck) -> bool:
        """Process a helper's answer; return whether it answers a probe of this process."""
        return self._finish(ack.sequence, ack.target)

    def confirm(self, source: ProcessId, report: Unreachable) -> bool:
        """Process a helper's report; return whether it belongs to a probe of this process."""
        probe = self._probe_by_sequence.get(report.sequence)
        if probe is None or probe.target != report.target or source not in probe.helpers:
            return False
        probe.confirmers.add(source)
        return True

    def _finish(self, sequence: int, target: ProcessId) -> bool:
        probe = self._probe_by_sequence.get(sequence)
        if probe is None or probe.target != target:
            return False
        del self._probe_by_sequence[sequence]
        if not probe.failed:
            self._health.improve()
        return True

    def _fail(self, probe: Probe) -> ProbeFailure:
        probe.failed = True
        probe.deadline = probe.sent_at + LATE_ACK_S
        if probe.helpers and not probe.confirmers:
            self._health.worsen()
        return ProbeFailure(probe.target, frozenset(probe.confirmers))

    def _ping(self, target: ProcessId, now: float) -> SendMessage:
        self._sequence += 1
        deadline = now + ACK_TIMEOUT_S * self._health.multiplier
        probe = Probe(target=target, sent_at=now, deadline=deadline)
        self._probe_by_sequence[self._sequence] = probe
        record = self._view.record(target)
        claims_failure = record is not None and record.claim in (Claim.SUSPECT, Claim.DEAD)
        records = (record,) if record is not None and claims_failure else ()
        return SendMessage(target, Ping(self._sequence, self._local.life, records))

    def _assign_helpers(self, probe: Probe, now: float) -> bool:
        """Choose helpers and extend the deadline; return whether there are helpers."""
        # A dead process is probed directly only, to detect its return.
        if self._view.state(probe.target) is not MemberState.DEAD:
            probe.helpers = self._helpers(probe.target)
        probe.deadline = now + INDIRECT_TIMEOUT_S * self._health.multiplier
        return bool(probe.helpers)

    def _helpers(self, target: ProcessId) -> tuple[ProcessId, ...]:
        """Choose one helper near the target and balancers of two uninvolved failure domains.

        With fewer than two such domains, a balancer of the observer's domain is added.
        """
        own = self._view.member(self._local.process_id)
        subject = self._view.member(target)
        if own is None or subject is None:
            return ()
        nearby = (
            self._view.listed(service=subject.service)
            if subject.service is not None
            else self._balancers(subject.failure_domain)
        )
        domains = self._view.failure_domains()
        outside = [d for d in domains if d not in (own.failure_domain, subject.failure_domain)]
        groups = [nearby]
        groups += [self._balancers(d) for d in self._choice.sample(outside, 2)]
        if len(outside) < 2:
            groups.append(self._balancers(own.failure_domain))
        chosen = {self._one_live(group, target) for group in groups}
        return tuple(sorted(name for name in chosen if name is not None))

    def _balancers(self, domain: FailureDomain) -> list[ProcessId]:
        return self._view.listed(role=Role.BALANCER, failure_domain=domain)

    def _one_live(self, group: list[ProcessId], target: ProcessId) -> ProcessId | None:
        for name in self._choice.sample(group, 4):
            usable = self._view.state(name) in (MemberState.LIVE, MemberState.LEAVING)
            if usable and name not in (target, self._local.process_id):
                return name
        return None

    def _report_unreachable(self, now: float) -> list[SendMessage]:
        sent = []
        overdue = [s for s, p in self._helper_probe_by_sequence.items() if p.deadline <= now]
        for sequence in overdue:
            probe = self._helper_probe_by_sequence.pop(sequence)
            sent.append(SendMessage(probe.origin, Unreachable(probe.sequence, probe.target)))
        return sent

    def _end_temporary_watches(self, now: float) -> None:
        for target in [t for t, until in self._temporary_until_by_target.items() if until <= now]:
            del self._temporary_until_by_target[target]
            self._next_at_by_target.pop(target, None)

    def _interval(self, target: ProcessId) -> float:
        if self._view.state(target) is MemberState.DEAD:
            return DEAD_PROBE_INTERVAL_S
        member = self._view.member(target)
        if member is not None and member.role is Role.BALANCER:
            return BALANCER_PROBE_INTERVAL_S
        return AGENT_PROBE_INTERVAL_S
