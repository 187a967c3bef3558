"""A fleet of failure detectors on a fake clock and network."""

from __future__ import annotations

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from laburnumbridge import membership
from laburnumbridge.core import ProcessId
from laburnumbridge.membership import MemberState
from laburnumbridge.membership import Role
from laburnumbridge.standins.benchmarks.membership import Fleet
from laburnumbridge.standins.benchmarks.membership import make_members

VICTIM = ProcessId("agent-0003")


class MembersWorld:
    """10 balancers and 12 agents in 5 failure domains; the steps act on one agent."""

    def __init__(self) -> None:
        self.fleet = Fleet(members=(), seed=1)
        self.changed_at = 0.0

    def start_fleet(self, seed: int) -> None:
        members = make_members(balancers=10, agents=12)
        self.fleet = Fleet(members=members, seed=seed, loss=0.02, doubled=0.05)
        self.fleet.run(10.0)
        self.fleet.observations.clear()
        self.fleet.actions.clear()

    def balancer_states(self) -> set[MemberState]:
        return {
            detector.view.state(VICTIM)
            for name, detector in self.fleet.detector_by_id.items()
            if self.fleet.role_by_id[name] is Role.BALANCER
        }


@pytest.fixture
def members_world() -> MembersWorld:
    return MembersWorld()


@given(parsers.parse("a fleet that loses and duplicates messages, seed {seed:d}"))
def a_fleet(members_world: MembersWorld, seed: int) -> None:
    members_world.start_fleet(seed)


@when(parsers.parse("an agent pauses for {seconds:g} seconds"))
def pauses(members_world: MembersWorld, seconds: float) -> None:
    members_world.fleet.pause(VICTIM)
    members_world.fleet.run(seconds)


@when("the agent resumes")
def resumes(members_world: MembersWorld) -> None:
    members_world.fleet.resume(VICTIM)


@when("the agent resumes after every balancer marked it dead")
def resumes_after_eviction(members_world: MembersWorld) -> None:
    assert members_world.balancer_states() == {MemberState.DEAD}
    members_world.fleet.observations.clear()
    members_world.fleet.resume(VICTIM)


@when("an agent crashes")
def crashes(members_world: MembersWorld) -> None:
    members_world.fleet.kill([VICTIM])


@when("an agent announces that it leaves")
def leaves(members_world: MembersWorld) -> None:
    # The messages returned here are discarded, so the change spreads by gossip only.
    detector = members_world.fleet.detector_by_id[VICTIM]
    detector.handle(membership.LeaveAnnounced(), members_world.fleet.now)


@when(parsers.parse("a partition cuts off two of the five failure domains for {seconds:g} seconds"))
def partition(members_world: MembersWorld, seconds: float) -> None:
    fleet = members_world.fleet
    smaller = {m.process_id for m in fleet.members if m.failure_domain in ("domain-3", "domain-4")}
    fleet.network.cut(fleet.detector_by_id.keys() - smaller, smaller)
    fleet.run(seconds)


@when("the partition heals")
def heals(members_world: MembersWorld) -> None:
    members_world.fleet.network.heal()


@when(parsers.parse("{seconds:g} seconds pass in the fleet"))
def time_passes(members_world: MembersWorld, seconds: float) -> None:
    members_world.fleet.run(seconds)


@then(parsers.parse('every balancer sees the agent as "{state}"'))
def state_at_balancers(members_world: MembersWorld, state: str) -> None:
    assert members_world.balancer_states() == {MemberState(state)}


@then("no flow may be reset")
def none_declared_dead(members_world: MembersWorld) -> None:
    assert members_world.fleet.declared_dead() == set()


@then("only the flows of the dead agent may be reset")
def only_victim_declared_dead(members_world: MembersWorld) -> None:
    assert members_world.fleet.declared_dead() == {VICTIM}


@then("the agent's view expired and was then refreshed")
def view_expired(members_world: MembersWorld) -> None:
    kinds = [
        type(action)
        for name, action in members_world.fleet.actions
        if name == VICTIM and isinstance(action, membership.ViewExpired | membership.ViewRefreshed)
    ]
    assert kinds == [membership.ViewExpired, membership.ViewRefreshed]


@then("no process on the cut-off side has marked another dead")
def smaller_side_evicts_none(members_world: MembersWorld) -> None:
    fleet = members_world.fleet
    domains = {m.process_id: m.failure_domain for m in fleet.members}
    observers = {o.observer for o in fleet.observations if o.change.state is MemberState.DEAD}
    assert not {name for name in observers if domains[name] in ("domain-3", "domain-4")}


@then("every process sees every other as live")
def all_live(members_world: MembersWorld) -> None:
    assert members_world.fleet.all_live()
