from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from laburnumbridge.core import Incarnation
from laburnumbridge.core import ProcessId
from laburnumbridge.membership import Claim
from laburnumbridge.membership import ForwardingTimedOut
from laburnumbridge.membership import Gossip
from laburnumbridge.membership import IndirectPing
from laburnumbridge.membership import InterestChanged
from laburnumbridge.membership import LeaveAnnounced
from laburnumbridge.membership import LivenessRecord
from laburnumbridge.membership import LivenessVersion
from laburnumbridge.membership import MemberState
from laburnumbridge.membership import MessageReceived
from laburnumbridge.membership import PanicChanged
from laburnumbridge.membership import Ping
from laburnumbridge.membership import PortClosed
from laburnumbridge.membership import Role
from laburnumbridge.membership import SendMessage
from laburnumbridge.membership import Superseded
from laburnumbridge.membership import SuspicionRefuted
from laburnumbridge.membership import ViewExpired
from laburnumbridge.membership import ViewRefreshed
from laburnumbridge.standins.benchmarks.membership import Fleet
from laburnumbridge.standins.benchmarks.membership import make_members

if TYPE_CHECKING:
    from laburnumbridge.membership import Event

VICTIM = ProcessId("agent-0003")
SIBLING = ProcessId("agent-0004")
BALANCER = ProcessId("balancer-0000")
# Unplanned loss of one upstream: each client is notified within this time.
DETECTION_LIMIT_S = 3.0
CONTROL_BYTES_PER_S = 27_000
NEWER_LIFE = LivenessVersion(Incarnation(2_000))


def make_fleet(
    *,
    seed: int = 1,
    domains: int = 5,
    balancers: int = 10,
    agents: int = 12,
    service_size: int = 3,
    loss: float = 0.0,
    doubled: float = 0.0,
    jitter_s: float = 0.002,
) -> Fleet:
    members = make_members(
        balancers=balancers, agents=agents, domains=domains, service_size=service_size
    )
    fleet = Fleet(members=members, seed=seed, loss=loss, doubled=doubled, jitter_s=jitter_s)
    fleet.run(10.0)
    fleet.observations.clear()
    fleet.actions.clear()
    return fleet


def handle_event(fleet: Fleet, process_id: ProcessId, event: Event) -> None:
    """Pass an event to one detector and discard the actions that it returns."""
    fleet.detector_by_id[process_id].handle(event, fleet.now)


def states_of(fleet: Fleet, process_id: ProcessId, role: Role | None = None) -> set[MemberState]:
    return {
        detector.view.state(process_id)
        for name, detector in fleet.detector_by_id.items()
        if role in (None, fleet.role_by_id[name]) and name != process_id
    }


def all_states(fleet: Fleet) -> set[MemberState]:
    return {state for name in fleet.detector_by_id for state in states_of(fleet, name)}


def actions_of(fleet: Fleet, process_id: ProcessId, kind: type) -> list[object]:
    return [a for name, a in fleet.actions if name == process_id and isinstance(a, kind)]


class TestDeath:
    @pytest.mark.parametrize("seed", range(4))
    @pytest.mark.parametrize(
        ("domains", "balancers", "agents", "service_size"), [(3, 6, 7, 7), (5, 10, 12, 3)]
    )
    def test_balancers_and_siblings_detect_a_dead_agent_in_time(
        self, seed: int, domains: int, balancers: int, agents: int, service_size: int
    ) -> None:
        # Guards against a lost upstream whose clients aren't notified within 3 s.
        fleet = make_fleet(
            seed=seed,
            domains=domains,
            balancers=balancers,
            agents=agents,
            service_size=service_size,
        )
        killed_at = fleet.now
        fleet.kill([VICTIM])
        fleet.run(6.0)
        detected_at = fleet.observers_of(VICTIM, MemberState.DEAD)
        siblings = {SIBLING, ProcessId("agent-0005")}
        needed = siblings | {p for p, role in fleet.role_by_id.items() if role is Role.BALANCER}
        assert needed <= detected_at.keys()
        assert max(detected_at.values()) - killed_at <= DETECTION_LIMIT_S
        assert fleet.declared_dead() == {VICTIM}

    def test_a_closed_port_confirms_a_death_and_a_timeout_does_not(self) -> None:
        # Guards against flows that are reset while their agent is only suspect.
        fleet = make_fleet()
        handle_event(fleet, BALANCER, ForwardingTimedOut(VICTIM))
        fleet.run(5.0)
        assert fleet.declared_dead() == set()
        fleet.kill([VICTIM])
        handle_event(fleet, BALANCER, PortClosed(VICTIM))
        fleet.run(0.5)
        assert states_of(fleet, VICTIM, Role.BALANCER) == {MemberState.DEAD}

    def test_a_forwarding_timeout_triggers_a_probe_of_an_agent_without_siblings(self) -> None:
        fleet = make_fleet(agents=1)
        sole_agent = ProcessId("agent-0000")
        fleet.kill([sole_agent])
        handle_event(fleet, BALANCER, ForwardingTimedOut(sole_agent))
        fleet.run(DETECTION_LIMIT_S)
        assert states_of(fleet, sole_agent, Role.BALANCER) == {MemberState.DEAD}

    def test_an_observer_without_helpers_only_suspects(self) -> None:
        # Guards against a death that no other observer confirmed.
        fleet = make_fleet()
        others = [name for name in fleet.detector_by_id if name != SIBLING]
        fleet.network.cut([SIBLING], others)
        fleet.run(20.0)
        observed_states = [
            seen.change.state for seen in fleet.observations if seen.observer == SIBLING
        ]
        assert set(observed_states) == {MemberState.SUSPECT}
        assert PanicChanged(True) in actions_of(fleet, SIBLING, PanicChanged)


class TestFalsePositives:
    def test_loss_duplication_and_reordering_cause_no_false_death(self) -> None:
        # Guards against false deaths at 5 % loss.
        fleet = make_fleet(seed=5, loss=0.05, doubled=0.05, jitter_s=0.05)
        fleet.run(60.0)
        assert fleet.declared_dead() == set()

    @pytest.mark.parametrize(("seed", "loss"), [(6, 0.0), (21, 0.05), (22, 0.05), (24, 0.05)])
    def test_pauses_of_two_seconds_cause_no_false_death(self, seed: int, loss: float) -> None:
        # Guards against false deaths of paused processes, also if the ping before the pause was
        # lost, and against false deaths declared by processes that were paused.
        fleet = make_fleet(seed=seed, loss=loss)
        for number, process_id in enumerate(sorted(fleet.detector_by_id)):
            fleet.pause(process_id)
            fleet.run(2.0)
            fleet.resume(process_id)
            fleet.run(1.0 + number * 0.07)
        fleet.run(5.0)
        assert fleet.declared_dead() == set()
        if not loss:
            assert all_states(fleet) == {MemberState.LIVE}


class TestClockGap:
    def test_a_resumed_process_suspects_no_other_and_refutes_its_own_death(self) -> None:
        # Guards against a process that acts on an outdated view.
        fleet = make_fleet(seed=7)
        fleet.pause(VICTIM)
        fleet.run(60.0)
        assert states_of(fleet, VICTIM, Role.BALANCER) == {MemberState.DEAD}
        fleet.observations.clear()
        fleet.resume(VICTIM)
        fleet.run(3.0)
        assert len(actions_of(fleet, VICTIM, ViewExpired)) == 1
        assert len(actions_of(fleet, VICTIM, ViewRefreshed)) == 1
        assert actions_of(fleet, VICTIM, SuspicionRefuted)
        assert fleet.declared_dead() == set()
        assert states_of(fleet, VICTIM, Role.BALANCER) == {MemberState.LIVE}
        assert {d.view.incarnation(VICTIM) for d in fleet.detector_by_id.values()} <= {1_000, None}

    def test_the_view_stays_expired_until_new_answers_arrive(self) -> None:
        # Guards against a view that is refreshed by answers to pings from before the pause.
        fleet = make_fleet(seed=8)
        fleet.pause(VICTIM)
        fleet.run(5.0)
        others = [name for name in fleet.detector_by_id if name != VICTIM]
        fleet.network.cut([VICTIM], others)
        fleet.observations.clear()
        fleet.resume(VICTIM)
        fleet.run(10.0)
        assert fleet.detector_by_id[VICTIM].is_expired
        assert [seen for seen in fleet.observations if seen.observer == VICTIM] == []


class TestRestart:
    def test_a_new_process_on_the_same_address_is_identified_by_its_incarnation(self) -> None:
        # Guards against flows of the old process that are sent to the new one.
        fleet = make_fleet(seed=9)
        fleet.kill([VICTIM])
        fleet.run(0.3)
        fleet.start(VICTIM, incarnation=2_000)
        fleet.run(1.0)
        balancers = [d for n, d in fleet.detector_by_id.items() if n.startswith("balancer")]
        assert {d.view.incarnation(VICTIM) for d in balancers} == {2_000}
        fleet.run(5.0)
        assert fleet.declared_dead() == set()

    def test_the_old_process_reports_that_it_is_superseded(self) -> None:
        fleet = make_fleet()
        newer = LivenessRecord(VICTIM, Claim.ALIVE, NEWER_LIFE, BALANCER)
        event = MessageReceived(BALANCER, Gossip((newer,)))
        detector = fleet.detector_by_id[VICTIM]
        assert Superseded(NEWER_LIFE) in detector.handle(event, fleet.now)
        assert detector.liveness_version.refutation == 0


class TestLostDomainAndPartition:
    def test_a_lost_failure_domain_is_declared_dead(self) -> None:
        # Guards against a panic mode that never ends after a fifth of the fleet is lost.
        fleet = make_fleet(seed=10, balancers=20, agents=30)
        lost = {m.process_id for m in fleet.members if m.failure_domain == "domain-2"}
        fleet.kill(lost)
        fleet.run(10.0)
        assert fleet.declared_dead() == lost
        for process_id in lost:
            assert states_of(fleet, process_id, Role.BALANCER) == {MemberState.DEAD}

    def test_a_minority_partition_evicts_nothing_and_all_are_live_after_the_heal(self) -> None:
        # Guards against a partitioned region that stays dead after the heal, and against traffic
        # above the byte budget at the heal.
        fleet = make_fleet(seed=11, balancers=10, agents=15)
        larger = {
            m.process_id
            for m in fleet.members
            if m.failure_domain in ("domain-0", "domain-1", "domain-2")
        }
        smaller = fleet.detector_by_id.keys() - larger
        fleet.network.cut(larger, smaller)
        fleet.run(400.0)
        assert {s.observer for s in fleet.observations if s.change.state is MemberState.DEAD} <= (
            larger
        )
        assert MemberState.LIVE not in {
            fleet.detector_by_id[BALANCER].view.state(name) for name in smaller
        }
        fleet.network.heal()
        for _ in range(10):
            fleet.reset_counters()
            fleet.run(1.0)
            assert max(fleet.bytes_by_id.values()) <= CONTROL_BYTES_PER_S
        assert all_states(fleet) == {MemberState.LIVE}


class TestDissemination:
    def test_all_balancers_receive_a_leave(self) -> None:
        fleet = make_fleet()
        handle_event(fleet, VICTIM, LeaveAnnounced())
        fleet.run(1.0)
        assert states_of(fleet, VICTIM, Role.BALANCER) == {MemberState.LEAVING}

    def test_an_agent_receives_records_only_about_siblings_and_its_interest(self) -> None:
        # Guards against records about all agents that are sent to all agents.
        fleet = make_fleet()
        interested, other = ProcessId("agent-0000"), ProcessId("agent-0009")
        handle_event(fleet, interested, InterestChanged((VICTIM,)))
        fleet.kill([VICTIM])
        fleet.run(8.0)
        assert fleet.detector_by_id[interested].view.state(VICTIM) is MemberState.DEAD
        assert fleet.detector_by_id[other].view.state(VICTIM) is MemberState.LIVE

    def test_a_balancer_that_starts_late_catches_up(self) -> None:
        # Guards against a new balancer that routes flows to an agent known to be dead.
        fleet = make_fleet()
        fleet.kill([BALANCER, VICTIM])
        fleet.run(10.0)
        fleet.start(BALANCER, incarnation=2_000)
        fleet.run(10.0)
        assert fleet.detector_by_id[BALANCER].view.state(VICTIM) is MemberState.DEAD

    def test_each_process_is_watched_by_two_to_eight_others(self) -> None:
        fleet = make_fleet(balancers=100, agents=90)
        watchers = dict.fromkeys(fleet.role_by_id, 0)
        for detector in fleet.detector_by_id.values():
            for process_id in detector.watched():
                watchers[process_id] += 1
        assert min(watchers.values()) >= 2
        assert max(watchers.values()) <= 8

    def test_indirect_probes_for_others_are_bounded(self) -> None:
        # Guards against requests of other processes that cause unlimited pings.
        fleet = make_fleet()
        detector = fleet.detector_by_id[BALANCER]
        events = [MessageReceived(SIBLING, IndirectPing(n, VICTIM)) for n in range(1_000)]
        actions = [a for event in events for a in detector.handle(event, fleet.now)]
        sent = [a for a in actions if isinstance(a, SendMessage) and isinstance(a.message, Ping)]
        assert len(sent) == 256
