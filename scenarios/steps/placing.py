"""Placement of handshakes at one agent of the service with siblings 2 and 3."""

from __future__ import annotations

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from laburnumbridge import placement as pl
from laburnumbridge.core import AgentNumber

HANDSHAKES = 100


class PlacingWorld:
    """One `Placement` and the place of each handshake."""

    def __init__(self) -> None:
        self.now = 0.0
        settings = pl.PlacementSettings(connections=2000, slots=4, seed=1)
        self.placement = pl.Placement(settings=settings)
        self.placed: list[pl.PlacementAction] = []

    def tell(self, event: pl.PlacementEvent) -> None:
        self.placed += self.placement.handle(event, self.now)

    def add_sibling(self, number: int, flows: int, share: float) -> None:
        report = pl.LoadReport(
            open_flows=flows, connections=2000, busy_slots=0, slots=4, slow_start_share=share
        )
        agent = AgentNumber(number)
        self.tell(pl.SiblingChanged(agent_number=agent, state=pl.SiblingState.LIVE))
        self.tell(pl.SiblingReported(agent_number=agent, report=report, age_s=0.0))


@pytest.fixture
def placing_world() -> PlacingWorld:
    return PlacingWorld()


@given(parsers.parse("an agent with {own:d} flows and siblings 2 and 3 with {flows:d} flows each"))
def siblings(placing_world: PlacingWorld, own: int, flows: int) -> None:
    for _ in range(own):
        placing_world.tell(pl.FlowOpened())
    for number in (2, 3):
        placing_world.add_sibling(number, flows, 1.0)


@given(parsers.parse("sibling {number:d} has just started with {flows:d} flows"))
def cold_sibling(placing_world: PlacingWorld, number: int, flows: int) -> None:
    placing_world.add_sibling(number, flows, 0.1)


@when(parsers.parse("sibling {number:d} is {state}"))
def sibling_changes(placing_world: PlacingWorld, number: int, state: str) -> None:
    event = pl.SiblingChanged(agent_number=AgentNumber(number), state=pl.SiblingState(state))
    placing_world.tell(event)


@when("the agent's own upstream is leaving")
def own_leaves(placing_world: PlacingWorld) -> None:
    placing_world.tell(pl.DrainStarted())


@when("100 clients open a connection")
def clients_come(placing_world: PlacingWorld) -> None:
    for number in range(HANDSHAKES):
        placing_world.tell(pl.HandshakeArrived(key=number.to_bytes(2, "big")))


@then(parsers.re(r"(?P<some>all|none|some) of them stay at the agent"))
def stay(placing_world: PlacingWorld, some: str) -> None:
    kept = sum(isinstance(action, pl.KeepHandshake) for action in placing_world.placed)
    assert len(placing_world.placed) == HANDSHAKES
    assert {"all": kept == HANDSHAKES, "none": kept == 0, "some": kept > 0}[some]


@then(parsers.parse("sibling {number:d} gets none of them"))
def gets_none(placing_world: PlacingWorld, number: int) -> None:
    forwards = [a for a in placing_world.placed if isinstance(a, pl.ForwardHandshake)]
    assert number not in {action.agent_number for action in forwards}
