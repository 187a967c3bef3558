from __future__ import annotations

import pytest

from laburnumbridge.core import Event
from laburnumbridge.standins.flows.flow_requests import request_on_all
from laburnumbridge.standins.flows.flow_requests import unanswered
from laburnumbridge.standins.flows.process_settings import SECOND_SERVICE_NAME
from laburnumbridge.standins.flows.process_settings import SERVICE
from laburnumbridge.standins.flows.process_settings import SERVICE_NAME
from laburnumbridge.standins.flows.simulated_fleet import SimulatedFleet

FLOWS = 24
TARGETS = [
    pytest.param({SERVICE_NAME: 1}, {SECOND_SERVICE_NAME: 1}, id="service"),
    pytest.param(
        {SERVICE_NAME: 90, SECOND_SERVICE_NAME: 10},
        {SERVICE_NAME: 10, SECOND_SERVICE_NAME: 90},
        id="weights",
    ),
]


@pytest.fixture
def fleet(tmp_path):
    fleet = SimulatedFleet(directory=tmp_path, balancers=4, agents=3, second_service_agents=3)
    fleet.start()
    return fleet


@pytest.mark.parametrize(("before", "after"), TARGETS)
class TestRouteThatMoves:
    """A new configuration leaves open flows where they are while their route remains."""

    def open_flows(self, fleet, before, after):
        """Open flows under ``before`` and put ``after`` in force."""
        fleet.configure(version=2, weight_by_service=before)
        fleet.simulation.run_for(0.5)
        flows = [fleet.client.open_flow(SERVICE) for _ in range(FLOWS)]
        request_on_all(flows, b"first ")
        fleet.simulation.run_for(2.0)
        assert unanswered(flows, 1) == []
        fleet.configure(version=3, weight_by_service=after)
        fleet.simulation.run_for(1.0)
        return flows

    def test_open_flows_survive_a_restart_of_the_balancers(self, fleet, before, after):
        # Guards against a search among the agents of the new service only, which ends in a reset of
        # each flow that is open at the earlier one.
        flows = self.open_flows(fleet, before, after)
        for balancer in fleet.balancers:
            fleet.kill(balancer)
            fleet.start_process(balancer)
        fleet.simulation.run_for(1.0)
        request_on_all(flows, b"second ")
        fleet.simulation.run_for(2.0)
        assert unanswered(flows, 2) == []

    def test_open_flows_survive_a_restart_of_all_processes(self, fleet, before, after):
        # Guards against flows that are found only as long as a process remembers where they are.
        flows = self.open_flows(fleet, before, after)
        for address in (*fleet.balancers, *fleet.agents):
            fleet.kill(address)
            fleet.start_process(address)
        fleet.simulation.run_for(1.5)
        request_on_all(flows, b"second ")
        fleet.simulation.run_for(3.0)
        assert unanswered(flows, 2) == []

    def test_a_known_location_is_kept_while_its_agent_is_silent(self, fleet, before, after):
        # Guards against a balancer that takes an agent of the earlier service for one that has
        # left: its flows would be searched for while it is only slow.
        flows = self.open_flows(fleet, before, after)
        for agent in fleet.agents:
            fleet.pause(agent, 0.5)
        request_on_all(flows, b"second ")
        fleet.simulation.run_for(0.4)
        request_on_all(flows, b"third ")
        fleet.simulation.run_for(2.0)
        assert unanswered(flows, 3) == []
        assert fleet.lines(Event.FLOW_SEARCHED) == []

    def test_new_flows_go_to_the_new_service(self, fleet, before, after):
        # Guards against a search that opens a flow at a service that its route doesn't name.
        self.open_flows(fleet, before, after)
        flows = [fleet.client.open_flow(SERVICE) for _ in range(FLOWS)]
        request_on_all(flows, b"new ")
        fleet.simulation.run_for(2.0)
        assert unanswered(flows, 1) == []
        holders = [fleet.holder(flow.key) for flow in flows]
        at_first = sum(holder not in fleet.second_service_agents for holder in holders)
        assert at_first <= (0 if len(after) == 1 else FLOWS // 3)


class TestFlowsThatNobodyHolds:
    def test_they_are_reset_after_a_search_over_all_services(self, fleet):
        # Guards against a search that never ends, since it goes on beyond the service's agents.
        flow = fleet.open_served_flow(settle_s=1.0)
        fleet.remove_vm(fleet.holder(flow.key))
        fleet.simulation.run_for(1.0)
        flow.request(b"second")
        fleet.simulation.run_for(1.0)
        assert flow.was_reset
