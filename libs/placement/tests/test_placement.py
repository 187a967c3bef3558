from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from laburnumbridge.core import AgentNumber
from laburnumbridge.placement import DrainStarted
from laburnumbridge.placement import FlowClosed
from laburnumbridge.placement import FlowOpened
from laburnumbridge.placement import ForwardHandshake
from laburnumbridge.placement import HandshakeArrived
from laburnumbridge.placement import KeepHandshake
from laburnumbridge.placement import LoadReport
from laburnumbridge.placement import Placement
from laburnumbridge.placement import PlacementAction
from laburnumbridge.placement import PlacementSettings
from laburnumbridge.placement import RequestReconnect
from laburnumbridge.placement import SiblingChanged
from laburnumbridge.placement import SiblingReported
from laburnumbridge.placement import SiblingState
from laburnumbridge.placement import Tick
from laburnumbridge.placement import UpstreamStartedCold


class Agent:
    """One `Placement` with short forms of its events."""

    def __init__(self, *, flows: int = 0, handshake_limit: int = 100) -> None:
        settings_ = PlacementSettings(
            connections=2000, slots=4, seed=1, handshake_limit=handshake_limit
        )
        self.placement = Placement(settings=settings_)
        for _ in range(flows):
            self.placement.handle(FlowOpened(), 0)

    def report(
        self, number: int, flows: int, now: float = 0, *, age_s: float = 0, share: float = 1.0
    ) -> None:
        report = LoadReport(
            open_flows=flows, connections=2000, busy_slots=0, slots=4, slow_start_share=share
        )
        event = SiblingReported(agent_number=AgentNumber(number), report=report, age_s=age_s)
        self.placement.handle(event, now)

    def change(self, number: int, state: SiblingState) -> None:
        self.placement.handle(SiblingChanged(agent_number=AgentNumber(number), state=state), 0)

    def add(self, number: int, flows: int, *, share: float = 1.0) -> None:
        self.change(number, SiblingState.LIVE)
        self.report(number, flows, share=share)

    def place(self, key: bytes, now: float = 0, *, was_forwarded: bool = False) -> PlacementAction:
        event = HandshakeArrived(key=key, was_forwarded=was_forwarded)
        (action,) = self.placement.handle(event, now)
        return action

    def asked(self, now: float) -> int:
        actions = self.placement.handle(Tick(), now)
        return sum(action.count for action in actions if isinstance(action, RequestReconnect))


class TestHandshakes:
    @pytest.mark.parametrize(("flows", "is_forwarded"), [(1010, False), (990, False), (900, True)])
    def test_only_a_clearly_lower_sibling_takes_over(self, flows: int, is_forwarded: bool) -> None:
        # Guards against a hop for a difference that is noise.
        agent = Agent(flows=1000)
        agent.add(2, flows)
        assert isinstance(agent.place(b"k"), ForwardHandshake) == is_forwarded

    def test_forwarded_handshake_stays(self) -> None:
        # Guards against packets that travel between agents with different views.
        agent = Agent(flows=1000)
        agent.add(2, 0)
        assert agent.place(b"k") == ForwardHandshake(b"k", AgentNumber(2))
        assert agent.place(b"k", was_forwarded=True) == KeepHandshake(b"k")

    @given(loads=st.lists(st.tuples(st.integers(2, 5), st.integers(0, 2000)), max_size=8))
    @settings(derandomize=True, deadline=None, database=None)
    def test_repeated_packet_follows_the_first(self, loads: list[tuple[int, int]]) -> None:
        # Guards against one connection with two handshakes at two agents.
        agent = Agent(flows=1000)
        for number in range(2, 6):
            agent.add(number, 1000)
        first = agent.place(b"k")
        for step, (number, flows) in enumerate(loads, start=1):
            agent.report(number, flows, step)
            assert agent.place(b"k", step) == first

    def test_repeated_packet_leaves_a_dead_sibling(self) -> None:
        # Guards against a client that repeats its handshake towards an agent that died.
        agent = Agent(flows=1000)
        agent.add(2, 0)
        agent.place(b"k")
        agent.change(2, SiblingState.LEAVING)
        assert agent.place(b"k", 1) == ForwardHandshake(b"k", AgentNumber(2))
        agent.change(2, SiblingState.SUSPECT)
        assert agent.place(b"k", 1) == KeepHandshake(b"k")

    def test_table_is_bounded_and_expires(self) -> None:
        # Guards against memory that a flood of handshakes could fill.
        agent = Agent(flows=1000, handshake_limit=10)
        agent.add(2, 0)
        for n in range(1000):
            agent.place(n.to_bytes(2, "big"))
        assert len(agent.placement._handshakes) == 10
        agent.place(b"late", 11)
        assert len(agent.placement._handshakes) == 1


class TestSiblings:
    @pytest.mark.parametrize("state", [SiblingState.SUSPECT, SiblingState.LEAVING])
    def test_leaving_and_suspect_siblings_get_nothing(self, state: SiblingState) -> None:
        agent = Agent(flows=1000)
        agent.add(2, 0)
        agent.change(2, state)
        assert agent.place(b"k") == KeepHandshake(b"k")

    def test_late_report_does_not_bring_back_a_dead_sibling(self) -> None:
        # Guards against new work for an agent whose last report arrives after its death.
        agent = Agent(flows=1000)
        agent.add(2, 0)
        agent.change(2, SiblingState.GONE)
        agent.report(2, 0, 1)
        assert agent.place(b"k", 1) == KeepHandshake(b"k")

    def test_old_report_does_not_count(self) -> None:
        # Guards against placing by a report from before a partition.
        agent = Agent(flows=1000)
        agent.add(2, 0)
        agent.report(2, 0, 10, age_s=5)
        assert agent.place(b"in-time", 19) == ForwardHandshake(b"in-time", AgentNumber(2))
        assert agent.place(b"too-late", 21) == KeepHandshake(b"too-late")

    def test_cold_sibling_is_scaled_by_its_share(self) -> None:
        # Guards against flooding an upstream that is still warming up.
        agent = Agent(flows=1000)
        agent.add(2, 300, share=0.2)
        assert agent.place(b"k") == KeepHandshake(b"k")
        assert agent.place(b"later", 9) == ForwardHandshake(b"later", AgentNumber(2))

    def test_old_report_of_a_cold_sibling_gives_its_present_share(self) -> None:
        # Guards against flooding a new upstream because its share is taken for larger than it is.
        cold = Agent()
        cold.placement.handle(UpstreamStartedCold(), 0)
        early = cold.placement.load_report(1)
        event = SiblingReported(agent_number=AgentNumber(2), report=early, age_s=4)
        agent = Agent()
        agent.change(2, SiblingState.LIVE)
        agent.placement.handle(event, 5)
        expected = 2000 * cold.placement.load_report(5).slow_start_share
        assert agent.placement._weight_of(AgentNumber(2), 5) == pytest.approx(expected)

    def test_leaving_agent_forwards_whatever_the_loads(self) -> None:
        agent = Agent(flows=0)
        agent.add(2, 1000)
        agent.placement.handle(DrainStarted(), 0)
        assert agent.place(b"k") == ForwardHandshake(b"k", AgentNumber(2))

    def test_burst_on_one_old_report_does_not_herd(self) -> None:
        # Guards against every agent filling the emptiest one until the next report.
        agent = Agent(flows=1000)
        for number in range(2, 8):
            agent.add(number, 700 if number == 2 else 1000)
        actions = [agent.place(n.to_bytes(2, "big"), 1 + n / 1000) for n in range(500)]
        forwards = [action for action in actions if isinstance(action, ForwardHandshake)]
        # Six agents with this view may together bring the sibling up to the others at most.
        assert 0 < 6 * len(forwards) <= 300


class TestRebalancing:
    def test_excess_is_asked_for_at_a_bounded_rate_and_stops(self) -> None:
        # Guards against a storm of reconnects after a join, and against asking for ever.
        agent = Agent(flows=1000)
        agent.add(2, 1000)
        agent.add(3, 0)
        counts = []
        flows = 1000
        for now in range(1, 60):
            counts.append(agent.asked(now))
            flows -= counts[-1]
            for _ in range(counts[-1]):
                agent.placement.handle(FlowClosed(), now + 0.5)
            agent.report(2, flows, now + 0.9)
            agent.report(3, 2000 - 2 * flows, now + 0.9)
        assert 0 < max(counts) <= 10
        assert counts[-10:] == [0] * 10
        assert 2000 / 3 <= flows <= 2000 / 3 * 1.05

    def test_clients_that_stay_are_not_asked_for_twice_at_once(self) -> None:
        # Guards against slow clients being counted as excess again on each check.
        agent = Agent(flows=1000)
        agent.add(2, 800)
        assert sum(agent.asked(now) for now in range(1, 11)) <= 1000 - 900 * 1.02 + 1

    @pytest.mark.parametrize("flows", [1000, 1040])
    def test_small_excess_is_left_alone(self, flows: int) -> None:
        # Guards against flows moving to and fro around the mean.
        agent = Agent(flows=flows)
        agent.add(2, 1000)
        assert [agent.asked(now) for now in range(1, 11)] == [0] * 10

    @pytest.mark.parametrize("event", [DrainStarted(), UpstreamStartedCold()])
    def test_leaving_or_cold_agent_does_not_ask(
        self, event: DrainStarted | UpstreamStartedCold
    ) -> None:
        agent = Agent(flows=1000)
        agent.add(2, 0)
        agent.placement.handle(event, 0)
        assert [agent.asked(now) for now in range(1, 6)] == [0] * 5
