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
# Unplanned loss of one upstream: each client is told within this time.
TOLD_WITHIN_S = 3.0
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


def tell(fleet: Fleet, process_id: ProcessId, event: Event) -> None:
    """Hand an event to one detector; what it sends at once is dropped."""
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
    def test_balancers_and_siblings_know_of_a_dead_agent_in_time(
        self, seed: int, domains: int, balancers: int, agents: int, service_size: int
    ) -> None:
        # Guards against flows of a lost upstream that stay silent for more than 3 s.
        fleet = make_fleet(
            seed=seed,
            domains=domains,
            balancers=balancers,
            agents=agents,
            service_size=service_size,
        )
        lost_at = fleet.now
        fleet.kill([VICTIM])
        fleet.run(6.0)
        known = fleet.observers_of(VICTIM, MemberState.DEAD)
        siblings = {SIBLING, ProcessId("agent-0005")}
        needed = siblings | {p for p, role in fleet.role_by_id.items() if role is Role.BALANCER}
        assert needed <= known.keys()
        assert max(known.values()) - lost_at <= TOLD_WITHIN_S
        assert fleet.declared_dead() == {VICTIM}

    def test_a_closed_port_is_a_verdict_and_silence_is_not(self) -> None:
        # Guards against flows that are reset on mere suspicion.
        fleet = make_fleet()
        tell(fleet, BALANCER, ForwardingTimedOut(VICTIM))
        fleet.run(5.0)
        assert fleet.declared_dead() == set()
        fleet.kill([VICTIM])
        tell(fleet, BALANCER, PortClosed(VICTIM))
        fleet.run(0.5)
        assert states_of(fleet, VICTIM, Role.BALANCER) == {MemberState.DEAD}

    def test_silence_makes_a_balancer_probe_an_agent_without_siblings(self) -> None:
        fleet = make_fleet(agents=1)
        only = ProcessId("agent-0000")
        fleet.kill([only])
        tell(fleet, BALANCER, ForwardingTimedOut(only))
        fleet.run(TOLD_WITHIN_S)
        assert states_of(fleet, only, Role.BALANCER) == {MemberState.DEAD}

    def test_an_observer_without_helpers_only_suspects(self) -> None:
        # Guards against a verdict without an independent confirmation.
        fleet = make_fleet()
        others = [name for name in fleet.detector_by_id if name != SIBLING]
        fleet.network.cut([SIBLING], others)
        fleet.run(20.0)
        mine = [seen.change.state for seen in fleet.observations if seen.observer == SIBLING]
        assert set(mine) == {MemberState.SUSPECT}
        assert PanicChanged(True) in actions_of(fleet, SIBLING, PanicChanged)


class TestFalseVerdicts:
    def test_loss_doubling_and_reordering_kill_nobody(self) -> None:
        # Guards against verdicts under 5 % loss.
        fleet = make_fleet(seed=5, loss=0.05, doubled=0.05, jitter_s=0.05)
        fleet.run(60.0)
        assert fleet.declared_dead() == set()

    @pytest.mark.parametrize(("seed", "loss"), [(6, 0.0), (21, 0.05), (22, 0.05), (24, 0.05)])
    def test_pauses_of_two_seconds_kill_nobody(self, seed: int, loss: float) -> None:
        # Guards against verdicts on processes that pause, also where the ping before the pause
        # was lost, and against verdicts by processes that paused.
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


class TestFreeze:
    def test_a_late_wake_up_accuses_nobody_and_refutes_its_own_death(self) -> None:
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

    def test_the_view_stays_expired_without_fresh_answers(self) -> None:
        # Guards against answers from before the freeze that count as fresh.
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
    def test_a_new_process_on_the_same_address_is_known_by_its_incarnation(self) -> None:
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

    def test_the_old_process_learns_that_it_is_superseded(self) -> None:
        fleet = make_fleet()
        newer = LivenessRecord(VICTIM, Claim.ALIVE, NEWER_LIFE, BALANCER)
        event = MessageReceived(BALANCER, Gossip((newer,)))
        detector = fleet.detector_by_id[VICTIM]
        assert Superseded(NEWER_LIFE) in detector.handle(event, fleet.now)
        assert detector.liveness_version.refutation == 0


class TestLostDomainAndPartition:
    def test_a_lost_failure_domain_is_recognised(self) -> None:
        # Guards against a panic rule that never ends when a fifth of the fleet is really lost.
        fleet = make_fleet(seed=10, balancers=20, agents=30)
        lost = {m.process_id for m in fleet.members if m.failure_domain == "domain-2"}
        fleet.kill(lost)
        fleet.run(10.0)
        assert fleet.declared_dead() == lost
        for process_id in lost:
            assert states_of(fleet, process_id, Role.BALANCER) == {MemberState.DEAD}

    def test_the_smaller_side_evicts_nothing_and_all_return_at_the_heal(self) -> None:
        # Guards against a cut region that stays dead, and against a storm at the heal.
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
    def test_a_leaving_process_is_known_to_all_balancers(self) -> None:
        fleet = make_fleet()
        tell(fleet, VICTIM, LeaveAnnounced())
        fleet.run(1.0)
        assert states_of(fleet, VICTIM, Role.BALANCER) == {MemberState.LEAVING}

    def test_an_agent_learns_only_of_siblings_and_of_its_interest(self) -> None:
        # Guards against exceptions about all agents that are sent to all agents.
        fleet = make_fleet()
        interested, other = ProcessId("agent-0000"), ProcessId("agent-0009")
        tell(fleet, interested, InterestChanged((VICTIM,)))
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

    def test_a_process_is_watched_by_a_handful_of_others(self) -> None:
        fleet = make_fleet(balancers=100, agents=90)
        watchers = dict.fromkeys(fleet.role_by_id, 0)
        for detector in fleet.detector_by_id.values():
            for process_id in detector.watched():
                watchers[process_id] += 1
        assert min(watchers.values()) >= 2
        assert max(watchers.values()) <= 8

    def test_requests_for_help_are_bounded(self) -> None:
        # Guards against a helper that others can make send without limit.
        fleet = make_fleet()
        detector = fleet.detector_by_id[BALANCER]
        events = [MessageReceived(SIBLING, IndirectPing(n, VICTIM)) for n in range(1_000)]
        actions = [a for event in events for a in detector.handle(event, fleet.now)]
        sent = [a for a in actions if isinstance(a, SendMessage) and isinstance(a.message, Ping)]
        assert len(sent) == 256
