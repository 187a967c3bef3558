from __future__ import annotations

import pytest
from msgspec.structs import replace

from laburnumbridge.core import Event
from laburnumbridge.flows.peer_datagrams import DatagramKind
from laburnumbridge.standins.flows.flow_requests import request_on_all
from laburnumbridge.standins.flows.flow_requests import unanswered
from laburnumbridge.standins.flows.platform_data import SERVICES
from laburnumbridge.standins.flows.process_settings import PEER_PORT
from laburnumbridge.standins.flows.process_settings import SECOND_SERVICE_NAME
from laburnumbridge.standins.flows.process_settings import SERVICE
from laburnumbridge.standins.flows.simulated_fleet import SimulatedFleet

FLOWS = 24
DOWN_S = 0.4
GAP_S = 1.0


@pytest.fixture
def fleet(tmp_path):
    fleet = SimulatedFleet(directory=tmp_path, balancers=2, agents=4, second_service_agents=2)
    fleet.start()
    return fleet


def open_flows(fleet):
    flows = [fleet.client.open_flow(SERVICE) for _ in range(FLOWS)]
    request_on_all(flows, b"first ")
    fleet.simulation.run_for(2.0)
    assert unanswered(flows, 1) == []
    return flows


def assert_served(fleet, flows, *, count) -> None:
    """Send the request ``count`` on each flow, which is answered without a reset."""
    request_on_all(flows, b"request %d " % count)
    fleet.simulation.run_for(3.0)
    assert unanswered(flows, count) == []


def drop_service(fleet, *, version=2) -> None:
    """Move the route to the second service and leave the first one out of the configuration."""
    fleet.configure(
        version=version,
        weight_by_service={SECOND_SERVICE_NAME: 1},
        services=(SECOND_SERVICE_NAME,),
    )
    fleet.simulation.run_for(1.0)


def roll(fleet, addresses) -> None:
    """Stop the processes in turn, and start each again after ``DOWN_S``."""
    for address in addresses:
        fleet.rotation = [one for one in fleet.balancers if one != address]
        fleet.terminate(address)
        while fleet.is_running(address):
            fleet.simulation.run_for(0.05)
        fleet.simulation.run_for(DOWN_S)
        fleet.start_process(address)
        fleet.simulation.run_for(GAP_S - DOWN_S)
    fleet.rotation = list(fleet.balancers)


def restart_at_once(fleet, addresses) -> None:
    for address in addresses:
        fleet.kill(address)
    fleet.simulation.run_for(DOWN_S)
    for address in addresses:
        fleet.start_process(address)
    fleet.simulation.run_for(2.0)


def roll_overlapping(fleet, addresses) -> None:
    """Stop the next process while the one before is still down."""
    for address in addresses:
        fleet.terminate(address)
        fleet.simulation.run_for(DOWN_S)
        fleet.simulation.schedule(DOWN_S, lambda address=address: fleet.start_process(address))
    fleet.simulation.run_for(2.0)


def put_foreign(fleet, *, count: int) -> None:
    """Publish entries of services that were never configured, at addresses without an agent."""
    for number in range(count):
        entry = fleet.entry(fleet.agents[0])
        fleet.platform.put(
            replace(
                entry,
                name=f"other-{number}",
                service=f"exporter-{number}",
                address=f"10.9.0.{number}",
            )
        )
    fleet.simulation.run_for(4.0)


class TestServiceThatIsDropped:
    """Its upstreams live and stay listed, and so do their open flows."""

    @pytest.mark.parametrize(
        "restart", [roll, roll_overlapping, restart_at_once], ids=lambda one: one.__name__
    )
    @pytest.mark.parametrize(
        "order",
        [
            ("agents", "balancers"),
            ("balancers", "agents"),
            ("agents", "balancers", "agents"),
            ("second_service_agents", "balancers"),
        ],
        ids="-".join,
    )
    def test_open_flows_survive_restarts(self, fleet, restart, order):
        # Guards against a search that leaves out the agents of a service which was dropped before
        # the process started: the flows there were reset.
        flows = open_flows(fleet)
        drop_service(fleet)
        restart(fleet, [address for group in order for address in getattr(fleet, group)])
        assert_served(fleet, flows, count=2)

    def test_open_flows_survive_several_versions(self, fleet):
        # Guards against flows that are found only under the version that dropped their service.
        flows = open_flows(fleet)
        for version, services in enumerate(((SECOND_SERVICE_NAME,), ("other",), SERVICES), 2):
            fleet.configure(version=version, weight_by_service={services[-1]: 1}, services=services)
            fleet.simulation.run_for(0.5)
            restart_at_once(fleet, [*fleet.agents, *fleet.balancers])
            assert_served(fleet, flows, count=version)

    def test_open_flows_survive_while_another_service_has_no_upstreams_yet(self, tmp_path):
        # Guards against a view without agents: the only service that is left gets its upstreams
        # later, and until then no process would know whom to ask.
        fleet = SimulatedFleet(directory=tmp_path, balancers=2, agents=3)
        fleet.start()
        flows = open_flows(fleet)
        drop_service(fleet)
        restart_at_once(fleet, [*fleet.agents, *fleet.balancers])
        assert_served(fleet, flows, count=2)

    def test_open_flows_survive_while_few_agents_are_left_and_restart(self, fleet):
        # Guards against packets that are lost at the agents of the remaining service: any other
        # agent can search as well.
        flows = open_flows(fleet)
        drop_service(fleet)
        restart_at_once(fleet, fleet.balancers)
        for agent in fleet.second_service_agents:
            fleet.kill(agent)
        request_on_all(flows, b"second ")
        fleet.simulation.run_for(2.5)
        assert unanswered(flows, 2) == []

    def test_open_flows_survive_at_many_agents_that_have_restarted(self, tmp_path):
        # Guards against a walk along the ranking that ends with the agents of configured services:
        # that is the way of packets when more than 32 agents have lately restarted.
        fleet = SimulatedFleet(directory=tmp_path, balancers=2, agents=36, second_service_agents=2)
        fleet.start()
        flows = open_flows(fleet)
        drop_service(fleet)
        fleet.simulation.should_drop = lambda datagram, endpoint: (
            endpoint[1] == PEER_PORT and datagram[0] == DatagramKind.RECORDS
        )
        restart_at_once(fleet, [*fleet.agents, *fleet.balancers])
        assert_served(fleet, flows, count=2)

    def test_open_flows_survive_beside_entries_of_other_writers(self, fleet):
        # Guards against agents that can't be told from addresses where none runs: such entries name
        # services that aren't configured either.
        put_foreign(fleet, count=6)
        flows = open_flows(fleet)
        drop_service(fleet)
        restart_at_once(fleet, [*fleet.agents, *fleet.balancers])
        assert_served(fleet, flows, count=2)

    def test_its_upstreams_get_no_new_flow(self, fleet):
        # Guards against openings that are sent to a service which no route names.
        drop_service(fleet)
        restart_at_once(fleet, [*fleet.agents, *fleet.balancers])
        flows = open_flows(fleet)
        assert {fleet.holder(flow.key) for flow in flows} <= set(fleet.second_service_agents)

    @pytest.mark.parametrize("foreign", [0, 6])
    def test_flows_that_nobody_holds_are_reset(self, fleet, foreign):
        # Guards against clients that wait for their deadline, since a search waits for addresses at
        # which no agent runs.
        put_foreign(fleet, count=foreign)
        flows = open_flows(fleet)
        drop_service(fleet)
        for agent in fleet.agents[:4]:
            fleet.remove_vm(agent)
        restart_at_once(fleet, fleet.balancers)
        fleet.simulation.run_for(16.0)
        request_on_all(flows, b"second ")
        fleet.simulation.run_for(1.0)
        assert all(flow.was_reset for flow in flows)
        [fields, *_] = fleet.lines(Event.FLOW_RESET, "not_found")
        assert (fields["agents"], fields["unanswered"]) == (2 + foreign, foreign)


class TestViewsOfServices:
    def test_no_agent_is_probed_before_a_configuration_is_known(self, tmp_path):
        # Guards against probes of all agents by all at a start, since no service is configured yet.
        fleet = SimulatedFleet(directory=tmp_path, balancers=2, agents=4)
        probes = []
        fleet.simulation.should_drop = lambda datagram, endpoint: bool(
            endpoint[1] == PEER_PORT
            and datagram[0] == DatagramKind.PROBE
            and probes.append(endpoint)
        )
        for agent in fleet.agents:
            fleet.start_upstream(agent)
        for address in (*fleet.balancers, *fleet.agents):
            fleet.start_process(address)
        fleet.simulation.run_for(3.0)
        listed = {len(one.directory.listed_agents) for one in fleet.process_by_address.values()}
        assert listed == {4}
        assert probes == []

    def test_processes_agree_whenever_they_have_started(self, fleet):
        # Guards against an index that depends on the versions that a process has seen: records are
        # then sent to nodes that others don't ask.
        put_foreign(fleet, count=2)
        drop_service(fleet)
        restart_at_once(fleet, [fleet.balancers[0], fleet.agents[0], fleet.agents[-1]])
        directories = [process.directory for process in fleet.process_by_address.values()]
        for agents in (
            {frozenset(one.agent_ranking.agents) for one in directories},
            {frozenset(one.further_ranking.agents) for one in directories},
            {frozenset(one.unconfigured_agents) for one in directories},
        ):
            assert len(agents) == 1
        assert set(directories[0].agent_ranking.agents) == set(fleet.second_service_agents)
