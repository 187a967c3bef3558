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

    def requested_reconnects(self, now: float) -> int:
        actions = self.placement.handle(Tick(), now)
        return sum(action.count for action in actions if isinstance(action, RequestReconnect))


class TestHandshakes:
    @pytest.mark.parametrize(("flows", "is_forwarded"), [(1010, False), (990, False), (900, True)])
    def test_only_a_clearly_less_loaded_sibling_receives_the_handshake(
        self, flows: int, is_forwarded: bool
    ) -> None:
        # Guards against a forward because of a difference within the estimation noise.
        agent = Agent(flows=1000)
        agent.add(2, flows)
        assert isinstance(agent.place(b"k"), ForwardHandshake) == is_forwarded

    def test_forwarded_handshake_is_kept(self) -> None:
        # Guards against forwarding loops between agents with different views.
        agent = Agent(flows=1000)
        agent.add(2, 0)
        assert agent.place(b"k") == ForwardHandshake(b"k", AgentNumber(2))
        assert agent.place(b"k", was_forwarded=True) == KeepHandshake(b"k")

    @given(loads=st.lists(st.tuples(st.integers(2, 5), st.integers(0, 2000)), max_size=8))
    @settings(derandomize=True, deadline=None, database=None)
    def test_repeated_packet_follows_the_first(self, loads: list[tuple[int, int]]) -> None:
        # Guards against handshakes of one connection at two agents.
        agent = Agent(flows=1000)
        for number in range(2, 6):
            agent.add(number, 1000)
        first = agent.place(b"k")
        for step, (number, flows) in enumerate(loads, start=1):
            agent.report(number, flows, step)
            assert agent.place(b"k", step) == first

    def test_repeated_packet_is_not_forwarded_to_a_suspect_sibling(self) -> None:
        # Guards against forwarding a client's repeated handshake to an agent that has failed.
        agent = Agent(flows=1000)
        agent.add(2, 0)
        agent.place(b"k")
        agent.change(2, SiblingState.LEAVING)
        assert agent.place(b"k", 1) == ForwardHandshake(b"k", AgentNumber(2))
        agent.change(2, SiblingState.SUSPECT)
        assert agent.place(b"k", 1) == KeepHandshake(b"k")

    def test_handshake_table_is_bounded_and_expires(self) -> None:
        # Guards against unbounded memory during a flood of handshakes.
        agent = Agent(flows=1000, handshake_limit=10)
        agent.add(2, 0)
        for n in range(1000):
            agent.place(n.to_bytes(2, "big"))
        assert len(agent.placement._handshakes) == 10
        agent.place(b"late", 11)
        assert len(agent.placement._handshakes) == 1


class TestSiblings:
    @pytest.mark.parametrize("state", [SiblingState.SUSPECT, SiblingState.LEAVING])
    def test_leaving_and_suspect_siblings_receive_no_handshakes(self, state: SiblingState) -> None:
        agent = Agent(flows=1000)
        agent.add(2, 0)
        agent.change(2, state)
        assert agent.place(b"k") == KeepHandshake(b"k")

    def test_late_report_does_not_restore_a_removed_sibling(self) -> None:
        # Guards against new connections for an agent whose last report arrives after its removal.
        agent = Agent(flows=1000)
        agent.add(2, 0)
        agent.change(2, SiblingState.GONE)
        agent.report(2, 0, 1)
        assert agent.place(b"k", 1) == KeepHandshake(b"k")

    def test_report_beyond_its_lifetime_is_ignored(self) -> None:
        # Guards against placement by a report from before a partition.
        agent = Agent(flows=1000)
        agent.add(2, 0)
        agent.report(2, 0, 10, age_s=5)
        assert agent.place(b"in-time", 19) == ForwardHandshake(b"in-time", AgentNumber(2))
        assert agent.place(b"too-late", 21) == KeepHandshake(b"too-late")

    def test_load_of_a_cold_sibling_is_scaled_by_its_share(self) -> None:
        # Guards against overloading an upstream that is still warming up.
        agent = Agent(flows=1000)
        agent.add(2, 300, share=0.2)
        assert agent.place(b"k") == KeepHandshake(b"k")
        assert agent.place(b"later", 9) == ForwardHandshake(b"later", AgentNumber(2))

    def test_present_share_of_a_cold_sibling_follows_from_an_old_report(self) -> None:
        # Guards against overloading a new upstream because its share is overestimated.
        cold = Agent()
        cold.placement.handle(UpstreamStartedCold(), 0)
        early = cold.placement.load_report(1)
        event = SiblingReported(agent_number=AgentNumber(2), report=early, age_s=4)
        agent = Agent()
        agent.change(2, SiblingState.LIVE)
        agent.placement.handle(event, 5)
        expected = 2000 * cold.placement.load_report(5).slow_start_share
        assert agent.placement._weight_of(AgentNumber(2), 5) == pytest.approx(expected)

    def test_draining_agent_forwards_regardless_of_load(self) -> None:
        agent = Agent(flows=0)
        agent.add(2, 1000)
        agent.placement.handle(DrainStarted(), 0)
        assert agent.place(b"k") == ForwardHandshake(b"k", AgentNumber(2))

    def test_burst_on_one_old_report_causes_no_herding(self) -> None:
        # Guards against herding: all agents forward to the least loaded one until its next report.
        agent = Agent(flows=1000)
        for number in range(2, 8):
            agent.add(number, 700 if number == 2 else 1000)
        actions = [agent.place(n.to_bytes(2, "big"), 1 + n / 1000) for n in range(500)]
        forwards = [action for action in actions if isinstance(action, ForwardHandshake)]
        # Six agents with this view may together raise the sibling at most to the others' load.
        assert 0 < 6 * len(forwards) <= 300


class TestRebalancing:
    def test_reconnects_are_requested_at_a_bounded_rate_and_stop(self) -> None:
        # Guards against a burst of reconnects after a join, and against requests without end.
        agent = Agent(flows=1000)
        agent.add(2, 1000)
        agent.add(3, 0)
        counts = []
        flows = 1000
        for now in range(1, 60):
            counts.append(agent.requested_reconnects(now))
            flows -= counts[-1]
            for _ in range(counts[-1]):
                agent.placement.handle(FlowClosed(), now + 0.5)
            agent.report(2, flows, now + 0.9)
            agent.report(3, 2000 - 2 * flows, now + 0.9)
        assert 0 < max(counts) <= 10
        assert counts[-10:] == [0] * 10
        assert 2000 / 3 <= flows <= 2000 / 3 * 1.05

    def test_flows_still_open_are_not_requested_twice(self) -> None:
        # Guards against counting slow clients as excess again on each check.
        agent = Agent(flows=1000)
        agent.add(2, 800)
        assert sum(agent.requested_reconnects(now) for now in range(1, 11)) <= 1000 - 900 * 1.02 + 1

    @pytest.mark.parametrize("flows", [1000, 1040])
    def test_small_excess_causes_no_reconnects(self, flows: int) -> None:
        # Guards against flows that oscillate around the mean.
        agent = Agent(flows=flows)
        agent.add(2, 1000)
        assert [agent.requested_reconnects(now) for now in range(1, 11)] == [0] * 10

    @pytest.mark.parametrize("event", [DrainStarted(), UpstreamStartedCold()])
    def test_draining_or_cold_agent_requests_no_reconnects(
        self, event: DrainStarted | UpstreamStartedCold
    ) -> None:
        agent = Agent(flows=1000)
        agent.add(2, 0)
        agent.placement.handle(event, 0)
        assert [agent.requested_reconnects(now) for now in range(1, 6)] == [0] * 5
