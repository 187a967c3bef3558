"""Placement of handshakes at one agent that has siblings 2 and 3 in its service."""

from __future__ import annotations

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from laburnumbridge import placement as pl
from laburnumbridge.core import AgentNumber

HANDSHAKES = 100


class PlacementWorld:
    """One `Placement` and the actions that it returned."""

    def __init__(self) -> None:
        self.now = 0.0
        settings = pl.PlacementSettings(connections=2000, slots=4, seed=1)
        self.placement = pl.Placement(settings=settings)
        self.actions: list[pl.PlacementAction] = []

    def handle(self, event: pl.PlacementEvent) -> None:
        self.actions += self.placement.handle(event, self.now)

    def add_sibling(self, number: int, flows: int, share: float) -> None:
        report = pl.LoadReport(
            open_flows=flows, connections=2000, busy_slots=0, slots=4, slow_start_share=share
        )
        agent = AgentNumber(number)
        self.handle(pl.SiblingChanged(agent_number=agent, state=pl.SiblingState.LIVE))
        self.handle(pl.SiblingReported(agent_number=agent, report=report, age_s=0.0))


@pytest.fixture
def placement_world() -> PlacementWorld:
    return PlacementWorld()


@given(parsers.parse("an agent with {own:d} flows and siblings 2 and 3 with {flows:d} flows each"))
def siblings(placement_world: PlacementWorld, own: int, flows: int) -> None:
    for _ in range(own):
        placement_world.handle(pl.FlowOpened())
    for number in (2, 3):
        placement_world.add_sibling(number, flows, 1.0)


@given(parsers.parse("sibling {number:d} has just started with {flows:d} flows"))
def slow_starting_sibling(placement_world: PlacementWorld, number: int, flows: int) -> None:
    placement_world.add_sibling(number, flows, 0.1)


@when(parsers.parse("sibling {number:d} is {state}"))
def sibling_changes(placement_world: PlacementWorld, number: int, state: str) -> None:
    event = pl.SiblingChanged(agent_number=AgentNumber(number), state=pl.SiblingState(state))
    placement_world.handle(event)


@when("the agent's own upstream starts to drain")
def own_upstream_drains(placement_world: PlacementWorld) -> None:
    placement_world.handle(pl.DrainStarted())


@when("100 clients open a connection")
def clients_connect(placement_world: PlacementWorld) -> None:
    for number in range(HANDSHAKES):
        placement_world.handle(pl.HandshakeArrived(key=number.to_bytes(2, "big")))


@then(parsers.re(r"(?P<amount>all|none|some) of them stay at the agent"))
def handshakes_stay(placement_world: PlacementWorld, amount: str) -> None:
    kept = sum(isinstance(action, pl.KeepHandshake) for action in placement_world.actions)
    assert len(placement_world.actions) == HANDSHAKES
    assert {"all": kept == HANDSHAKES, "none": kept == 0, "some": kept > 0}[amount]


@then(parsers.parse("sibling {number:d} gets none of them"))
def sibling_gets_none(placement_world: PlacementWorld, number: int) -> None:
    forwards = [a for a in placement_world.actions if isinstance(a, pl.ForwardHandshake)]
    assert number not in {action.agent_number for action in forwards}
