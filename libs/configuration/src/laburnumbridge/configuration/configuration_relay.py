"""Reads, relay and activation of the published lists in one process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.configuration.actions import ActivateValue
from laburnumbridge.configuration.actions import ReadPlatform
from laburnumbridge.configuration.actions import ReportConflict
from laburnumbridge.configuration.actions import RequestValue
from laburnumbridge.configuration.actions import SendDigest
from laburnumbridge.configuration.actions import SendValue
from laburnumbridge.configuration.actions import StartServing
from laburnumbridge.configuration.actions import ValidateCandidate
from laburnumbridge.configuration.announcer import Announcer
from laburnumbridge.configuration.errors import MalformedDeltaError
from laburnumbridge.configuration.errors import MalformedValueError
from laburnumbridge.configuration.errors import UnknownValueError
from laburnumbridge.configuration.events import CandidateValidated
from laburnumbridge.configuration.events import MembersChanged
from laburnumbridge.configuration.events import PeerDigest
from laburnumbridge.configuration.events import PeerRequest
from laburnumbridge.configuration.events import PeerUnavailable
from laburnumbridge.configuration.events import PeerValue
from laburnumbridge.configuration.events import PlatformAnswer
from laburnumbridge.configuration.events import PlatformNotModified
from laburnumbridge.configuration.events import PlatformUnavailable
from laburnumbridge.configuration.events import Tick
from laburnumbridge.configuration.read_schedule import ReadSchedule
from laburnumbridge.configuration.relay_counters import RelayCounters
from laburnumbridge.configuration.relay_topology import RelayTopology
from laburnumbridge.configuration.value_document import digest_of
from laburnumbridge.configuration.value_state import Candidate
from laburnumbridge.configuration.value_state import ValueState
from laburnumbridge.configuration.value_state import canonicalise
from laburnumbridge.configuration.version_comparison import VersionComparison
from laburnumbridge.configuration.whole_value_budget import WholeValueBudget
from laburnumbridge.core import Choice

if TYPE_CHECKING:
    from laburnumbridge.configuration.actions import Action
    from laburnumbridge.configuration.events import Event
    from laburnumbridge.core import FailureDomain
    from laburnumbridge.core import Incarnation
    from laburnumbridge.core import ProcessId

VM_LIST = "vms"
VALUE_NAMES = ("services", "guests", "plans", VM_LIST)
FULL_FLEET = 9_280
# Reads a second over the whole fleet; the limit of the platform is 2,000. Together with the reads
# of processes without any peer yet (VM list only) and those of watchers, the sum stays below 1,600.
FALLBACK_READS_S = 400.0
BOOTSTRAP_READS_S = 1_000.0
MIN_WINDOW_S = 2.0
# A process with every value in force serves after this time, even without confirmation.
START_WAIT_S = 10.0
# Before it serves, a process compares its versions with those of this many peers, because one of
# them may itself have just started.
MIN_COMPARED_PEERS = 2
# A confirmation's number holds the incarnation above this many bits of a counter.
_INCARNATION_SHIFT = 32


class ConfigurationRelay:
    """Handles events and returns actions; see the events and actions modules.

    ``expected_fleet`` is the number of processes that may start together with this one; it sizes
    the jitter until the live view arrives.
    """

    def __init__(
        self,
        *,
        process: ProcessId,
        incarnation: Incarnation,
        failure_domain: FailureDomain,
        seed: int,
        expected_fleet: int = FULL_FLEET,
        names: tuple[str, ...] = VALUE_NAMES,
    ) -> None:
        choice = Choice(seed=seed)
        self._process = process
        self._expected_fleet = expected_fleet
        self._topology = RelayTopology(process=process, failure_domain=failure_domain)
        self._announcer = Announcer(topology=self._topology, choice=choice)
        self._state_by_name = {name: ValueState(name=name) for name in names}
        self._schedule_by_name = {name: ReadSchedule(choice=choice) for name in names}
        self._whole_value_budget = WholeValueBudget()
        self._confirmation_number = incarnation << _INCARNATION_SHIFT
        self._complete_since: float | None = None
        self._compared_peers: set[ProcessId] = set()
        self._serving = False
        self.counters = RelayCounters()

    @property
    def serving(self) -> bool:
        """Whether the process may serve, that is whether `StartServing` was emitted."""
        return self._serving

    def version(self, name: str) -> int:
        """Return the version in force, or 0 without one."""
        return self._state(name).version

    def confirmed_age_s(self, name: str, now: float) -> float:
        """Return the seconds since a read of the platform last confirmed the value.

        Returns infinity without a confirmation.
        """
        return now - self._state(name).confirmations.confirmed_at

    def handle(self, event: Event, now: float) -> list[Action]:
        """Process one event at ``now`` (monotonic seconds).

        Raises UnknownValueError for an event about a value that the relay doesn't distribute.
        """
        actions: list[Action] = []
        match event:
            case MembersChanged():
                self._topology.update(event.members)
            case PlatformAnswer():
                self._platform_answer(event, now, actions)
            case PlatformNotModified():
                self._not_modified(event.name, now)
            case PlatformUnavailable():
                self._schedule(event.name).failed(now)
            case PeerDigest():
                self._peer_digest(event, now, actions)
            case PeerRequest():
                self._peer_request(event, now, actions)
            case PeerValue():
                self._peer_value(event, now, actions)
            case PeerUnavailable():
                self._state(event.name).drop_holder(event.sender)
            case CandidateValidated():
                self._validated(event, now, actions)
            case Tick():
                self._gossip(now, actions)
        if not isinstance(event, PeerRequest):
            self._add_due_actions(now, actions)
        return actions

    def _state(self, name: str) -> ValueState:
        state = self._state_by_name.get(name)
        if state is None:
            raise UnknownValueError(name=name)
        return state

    def _schedule(self, name: str) -> ReadSchedule:
        self._state(name)
        return self._schedule_by_name[name]

    def _platform_answer(self, event: PlatformAnswer, now: float, actions: list[Action]) -> None:
        state = self._state(event.name)
        state.note_platform(event.version)
        try:
            document, payload, digest = canonicalise(event.payload)
        except MalformedValueError:
            self._malformed_answer(event, now)
            return
        comparison = state.compare(event.version, digest)
        usable = comparison in (VersionComparison.NEWER, VersionComparison.SAME)
        self._schedule(event.name).answered(now, usable=usable)
        if comparison is VersionComparison.OLDER:
            self.counters.stale_platform_answers += 1
            return
        if comparison is VersionComparison.NEWER:
            candidate = Candidate(event.version, digest, document, payload, from_platform=True)
            self._offer(state, candidate, actions)
            return
        self._confirm(state, now)
        if comparison is VersionComparison.CONFLICT:
            self._conflict(state, digest, None, actions)

    def _malformed_answer(self, event: PlatformAnswer, now: float) -> None:
        state = self._state(event.name)
        self.counters.malformed_values += 1
        self._schedule(event.name).answered(now, usable=False)
        if event.version > state.version:
            state.reject(event.version, digest_of(event.payload), now)
            self._confirm(state, now)

    def _not_modified(self, name: str, now: float) -> None:
        state = self._state(name)
        self._schedule(name).answered(now, usable=state.read_after > 0)
        if state.version:
            self._confirm(state, now)

    def _confirm(self, state: ValueState, now: float) -> None:
        self._confirmation_number += 1
        state.confirmations.observe(self._process, self._confirmation_number, now)
        self._announcer.confirmation_changed(from_platform=True)

    def _offer(self, state: ValueState, candidate: Candidate, actions: list[Action]) -> None:
        if state.offer(candidate):
            actions.append(
                ValidateCandidate(
                    state.name, candidate.version, candidate.digest, candidate.payload
                )
            )

    def _conflict(
        self, state: ValueState, digest: bytes, source: ProcessId | None, actions: list[Action]
    ) -> None:
        self.counters.conflicts += 1
        actions.append(ReportConflict(state.name, state.version, state.digest, digest, source))

    def _peer_digest(self, event: PeerDigest, now: float, actions: list[Action]) -> None:
        if not self._serving and any(announced.version for announced in event.digests):
            self._compared_peers.add(event.sender)
        for announced in event.digests:
            state = self._state_by_name.get(announced.name)
            if state is None:
                continue
            comparison = state.compare(announced.version, announced.digest)
            if comparison is VersionComparison.NEWER:
                state.note_holder(event.sender, announced.version, now)
            if comparison is VersionComparison.CONFLICT:
                self._conflict(state, announced.digest, event.sender, actions)
            if announced.confirmed_by == self._process:
                continue
            if state.note_confirmation(announced, comparison, now):
                self._announcer.confirmation_changed(from_platform=False)
        if event.reply_wanted:
            actions.append(self._digest_for(event.sender, now, reply_wanted=False))

    def _peer_request(self, event: PeerRequest, now: float, actions: list[Action]) -> None:
        state = self._state(event.name)
        if state.version <= event.base_version:
            return
        deltas = state.deltas_since(event.base_version)
        if deltas is not None:
            self.counters.deltas_sent += 1
            actions.append(
                SendValue(event.sender, state.name, state.version, state.digest, None, deltas)
            )
            return
        payload = state.payload()
        if not self._whole_value_budget.take(len(payload), now):
            self.counters.whole_values_deferred += 1
            return
        self.counters.whole_values_sent += 1
        actions.append(
            SendValue(event.sender, state.name, state.version, state.digest, payload, ())
        )

    def _peer_value(self, event: PeerValue, now: float, actions: list[Action]) -> None:
        state = self._state(event.name)
        state.note_delivery(event.sender)
        comparison = state.compare(event.version, event.digest)
        if comparison is VersionComparison.OLDER:
            self.counters.stale_peer_values += 1
        if comparison is VersionComparison.CONFLICT:
            self._conflict(state, event.digest, event.sender, actions)
        if comparison is not VersionComparison.NEWER:
            return
        if event.payload is None:
            self._apply_deltas(state, event, now, actions)
        else:
            self._apply_whole_value(state, event, event.payload, actions)

    def _apply_deltas(
        self, state: ValueState, event: PeerValue, now: float, actions: list[Action]
    ) -> None:
        try:
            document = state.with_deltas(event.deltas)
        except MalformedDeltaError:
            document = None
        payload = document.encode() if document else b""
        if document is None or digest_of(payload) != event.digest:
            self.counters.delta_mismatches += 1
            state.note_request(event.sender, now, whole=True)
            actions.append(RequestValue(event.sender, state.name, 0))
            return
        candidate = Candidate(event.version, event.digest, document, payload, from_platform=False)
        self._offer(state, candidate, actions)

    def _apply_whole_value(
        self, state: ValueState, event: PeerValue, payload: bytes, actions: list[Action]
    ) -> None:
        try:
            document, text, digest = canonicalise(payload)
        except MalformedValueError:
            digest = b""
        if digest != event.digest:
            self.counters.malformed_values += 1
            state.drop_holder(event.sender)
            return
        candidate = Candidate(event.version, digest, document, text, from_platform=False)
        self._offer(state, candidate, actions)

    def _validated(self, event: CandidateValidated, now: float, actions: list[Action]) -> None:
        state = self._state(event.name)
        candidate = state.take_candidate(event.version, event.digest)
        if candidate is None or candidate.version <= state.version:
            return
        self._finish_candidate(state, candidate, event.valid, now, actions)
        if candidate.from_platform and state.version:
            self._confirm(state, now)

    def _finish_candidate(
        self,
        state: ValueState,
        candidate: Candidate,
        valid: bool,
        now: float,
        actions: list[Action],
    ) -> None:
        if not valid:
            self.counters.invalid_versions += 1
            state.reject(candidate.version, candidate.digest, now)
            return
        state.install(candidate, now)
        self._announcer.version_changed()
        actions.append(
            ActivateValue(state.name, candidate.version, candidate.digest, candidate.payload)
        )

    def _gossip(self, now: float, actions: list[Action]) -> None:
        stale = any(state.is_stale(now) for state in self._state_by_name.values())
        peers = self._announcer.gossip(now, serving=self._serving, stale=stale)
        actions.extend(self._digest_for(peer, now, reply_wanted=True) for peer in peers)

    def _add_due_actions(self, now: float, actions: list[Action]) -> None:
        for name, state in self._state_by_name.items():
            peer = state.next_request(now)
            if peer is not None:
                actions.append(RequestValue(peer, name, state.version))
            wait_s = self._schedule_by_name[name].start(
                now,
                watcher=self._topology.is_watcher(name, state.version),
                has_version=state.version > 0,
                stale=state.is_stale(now),
                window_s=self._window_s(name),
            )
            if wait_s is not None:
                self.counters.platform_reads += 1
                actions.append(ReadPlatform(name, state.read_after, wait_s))
        peers = self._announcer.announce(now)
        actions.extend(self._digest_for(peer, now, reply_wanted=False) for peer in peers)
        self._start_serving(now, actions)

    def _window_s(self, name: str) -> float:
        if name == VM_LIST and not self._topology.has_peers:
            return max(MIN_WINDOW_S, self._expected_fleet / BOOTSTRAP_READS_S)
        fleet_size = max(
            self._topology.fleet_size, 0 if self._topology.has_peers else self._expected_fleet
        )
        return max(MIN_WINDOW_S, fleet_size * len(self._state_by_name) / FALLBACK_READS_S)

    def _start_serving(self, now: float, actions: list[Action]) -> None:
        states = self._state_by_name.values()
        if self._serving or not all(state.version for state in states):
            return
        if self._complete_since is None:
            self._complete_since = now
        up_to_date = (
            all(state.is_up_to_date(now) for state in states) and self._has_compared_with_peers()
        )
        if up_to_date or now - self._complete_since >= START_WAIT_S:
            self._serving = True
            actions.append(StartServing())

    def _has_compared_with_peers(self) -> bool:
        """Return whether enough peers sent their versions and none of them has a newer one.

        A stale platform may return every value before any peer could answer.
        """
        peers = self._topology.peer_count
        if len(self._compared_peers) < min(MIN_COMPARED_PEERS, peers):
            return False
        return not any(state.is_behind for state in self._state_by_name.values())

    def _digest_for(self, peer: ProcessId, now: float, *, reply_wanted: bool) -> SendDigest:
        announced = tuple(state.describe(now) for state in self._state_by_name.values())
        return SendDigest(peer, announced, reply_wanted)
