from __future__ import annotations

import pytest

from laburnumbridge.core import Event
from laburnumbridge.forwarding.forwarding_process import flow_text
from laburnumbridge.standins.flows.process_settings import OTHER_SERVICE
from laburnumbridge.standins.flows.process_settings import SERVICE
from laburnumbridge.standins.flows.simulated_fleet import SimulatedFleet

HIGH, LOW = SERVICE, OTHER_SERVICE
TARGET_S = 0.3


def make_fleet(tmp_path, *, agents, work_s=0.05, target_latency_ms=300):
    """Return a fleet with two classes of requests whose usual work the agents know."""
    fleet = SimulatedFleet(directory=tmp_path, agents=agents, slots=1, work_s=work_s)
    fleet.start()
    fleet.configure(
        version=2,
        endpoints=(HIGH, LOW),
        timeout_ms=1_300,
        target_latency_ms=target_latency_ms,
        priority_by_endpoint={HIGH: 1, LOW: 2},
    )
    for number in range(10 * agents):
        fleet.client.open_flow(HIGH).request(b"calm %d" % number)
        fleet.simulation.run_for(2 * work_s)
    return fleet


def send_burst(fleet, number, service, prefix):
    flows = []
    for index in range(number):
        flow = fleet.client.open_flow(service)
        flow.request(prefix + b"%d" % index)
        flows.append(flow)
    return flows


def started(fleet):
    return [run for one in fleet.upstream_by_address.values() for run in one.started_requests]


def requests_refused_or_run_twice(fleet, flows, prefix):
    """Return the requests that ran twice, or although their client was refused."""
    ran = started(fleet)
    names = [(prefix + b"%d" % index, flow) for index, flow in enumerate(flows)]
    return [name for name, flow in names if ran.count(name) > (0 if flow.was_reset else 1)]


class TestOrder:
    def test_the_higher_class_is_in_time_in_a_burst(self, tmp_path):
        # Guards against reads that make writes late, and against refusals that aren't true.
        # Two requests start before the others arrive, so four run within the target.
        fleet = make_fleet(tmp_path, agents=1)
        began = fleet.simulation.now
        low = send_burst(fleet, 20, LOW, b"low ")
        high = send_burst(fleet, 3, HIGH, b"high ")
        low += send_burst(fleet, 20, LOW, b"later ")
        fleet.simulation.run_for(3.0)
        assert all(flow.answers and flow.answered_at - began <= TARGET_S for flow in high)
        assert sum(bool(flow.answers) for flow in low) >= 20, "the slot runs until the time-out"
        assert not requests_refused_or_run_twice(fleet, low[:20], b"low ")

    def test_an_idle_agent_gets_the_opening_that_would_be_served_next(self, tmp_path):
        # Guards against important requests that wait while others are handed over.
        fleet = make_fleet(tmp_path, agents=2)
        fleet.upstream_by_address[fleet.agents[0]].work_s = 0.4
        send_burst(fleet, 6, LOW, b"low ")
        high = send_burst(fleet, 8, HIGH, b"high ")
        send_burst(fleet, 6, LOW, b"later ")
        fleet.simulation.run_for(1.0)
        handed_over = [line["flow"] for line in fleet.lines(Event.FLOW_HANDED_OVER, "waiting")]
        is_high = [flow in {flow_text(one.key) for one in high} for flow in handed_over]
        assert True in is_high
        assert False in is_high
        assert is_high == sorted(is_high, reverse=True)

    def test_without_a_target_the_newest_is_served_first(self, tmp_path):
        # Guards against another order for deployments that don't ask for one.
        fleet = make_fleet(tmp_path, agents=1, target_latency_ms=0)
        flows = send_burst(fleet, 12, LOW, b"low ")
        fleet.simulation.run_for(3.0)
        order = [run for run in started(fleet) if run.startswith(b"low")]
        assert len(order) == len(flows)
        assert order[2:] == [b"low %d" % number for number in range(11, 1, -1)]
        assert not fleet.lines(Event.OVERLOAD_CHANGED)

    def test_openings_held_before_the_first_target_keep_their_place(self, tmp_path):
        # Guards against openings that a change of the configuration leaves in a queue.
        fleet = make_fleet(tmp_path, agents=1, target_latency_ms=0)
        flows = send_burst(fleet, 8, LOW, b"a ")
        fleet.configure(
            version=3,
            endpoints=(HIGH, LOW),
            target_latency_ms=300,
            priority_by_endpoint={HIGH: 1, LOW: 2},
        )
        fleet.simulation.run_for(0.15)
        flows += send_burst(fleet, 4, HIGH, b"b ")
        fleet.simulation.run_for(3.0)
        assert all(flow.answers for flow in flows)

    def test_one_client_address_gets_a_quarter_of_the_queue(self, tmp_path):
        # Guards against a client whose flood fills the queue for all others.
        fleet = make_fleet(tmp_path, agents=1, work_s=0.005)
        send_burst(fleet, 100, LOW, b"flood ")
        fleet.simulation.run_for(0.01)
        assert len(fleet.lines(Event.FLOW_RESET, "client_share")) >= 30
        metrics = fleet.process_by_address[fleet.agents[0]].metrics
        assert metrics.value("flow_resets_total", "client_share", priority=2) >= 30


class TestOverloadEvents:
    def test_an_overload_is_reported_once_and_its_end_after_a_second(self, tmp_path):
        # Guards against operators who can't see when requests began to be late, and against a line
        # for each request.
        fleet = make_fleet(tmp_path, agents=1)
        send_burst(fleet, 20, LOW, b"low ")
        fleet.simulation.run_for(1.3)
        assert len(fleet.lines(Event.OVERLOAD_CHANGED, "entered")) == 1
        page = fleet.process_by_address[fleet.agents[0]].metrics.render()
        assert b'laburnumbridge_opening_wait_seconds_count{priority="2"}' in page
        assert b'laburnumbridge_openings_waiting{priority="2"}' in page
        fleet.simulation.run_for(3.0)
        assert [line["outcome"] for line in fleet.lines(Event.OVERLOAD_CHANGED)] == [
            "entered",
            "left",
        ]


class TestFailures:
    @pytest.mark.parametrize("agents", [1, 2])
    def test_an_agent_that_restarts_with_openings_in_its_queue(self, tmp_path, agents):
        # Guards against clients that wait in vain after a restart: nothing of the queue has run,
        # and their copies are served.
        fleet = make_fleet(tmp_path, agents=agents)
        flows = send_burst(fleet, 8 * agents, HIGH, b"high ")
        fleet.simulation.run_for(0.03)
        assert len(fleet.lines(Event.FLOW_HELD)) >= 4 * agents
        fleet.kill(fleet.agents[0])
        fleet.start_process(fleet.agents[0])
        fleet.simulation.run_for(3.0)
        assert all(flow.answers or flow.was_reset for flow in flows)
        assert sum(bool(flow.answers) for flow in flows) >= 6 * agents
        assert not requests_refused_or_run_twice(fleet, flows, b"high ")

    def test_a_copy_of_a_held_opening_changes_nothing(self, tmp_path):
        # Guards against a copy that runs beside its first packet, or gives it another turn.
        fleet = make_fleet(tmp_path, agents=1)
        flows = send_burst(fleet, 12, HIGH, b"high ")
        fleet.simulation.run_for(0.19)
        held = len(fleet.lines(Event.FLOW_HELD))
        fleet.simulation.run_for(0.05)  # copies arrive after 0.2 s
        assert len(fleet.lines(Event.FLOW_HELD)) == held
        fleet.simulation.run_for(3.0)
        [upstream] = fleet.upstream_by_address.values()
        assert len(upstream.openings) == len({*upstream.openings})
        assert not requests_refused_or_run_twice(fleet, flows, b"high ")

    @pytest.mark.parametrize("agents", [1, 3])
    def test_a_planned_stop_hands_held_openings_over_or_refuses_them(self, tmp_path, agents):
        # Guards against clients of a stopped agent that wait until their deadline.
        fleet = make_fleet(tmp_path, agents=agents)
        flows = send_burst(fleet, 8 * agents, LOW, b"low ")
        fleet.simulation.run_for(0.05)
        stopped_at = fleet.simulation.now
        fleet.terminate(fleet.agents[0])
        fleet.simulation.run_for(3.0)
        assert not fleet.is_running(fleet.agents[0])
        assert all(flow.answers or flow.was_reset for flow in flows)
        if agents == 1:
            assert max(flow.ended_at - stopped_at for flow in flows if flow.was_reset) < 0.45
        else:
            assert all(flow.answers for flow in flows)
        assert not requests_refused_or_run_twice(fleet, flows, b"low ")
