from __future__ import annotations

import zlib

import pytest
from msgspec.structs import replace

from laburnumbridge.core import Event
from laburnumbridge.core import pack_ipv4
from laburnumbridge.flows import FlowKey
from laburnumbridge.flows.peer_datagrams import Envelope
from laburnumbridge.flows.peer_datagrams import SearchStage
from laburnumbridge.flows.peer_datagrams import encode_envelope
from laburnumbridge.standins.flows.flow_requests import unanswered
from laburnumbridge.standins.flows.process_settings import OTHER_SERVICE
from laburnumbridge.standins.flows.process_settings import PEER_PORT
from laburnumbridge.standins.flows.process_settings import SERVICE
from laburnumbridge.standins.flows.simulated_fleet import CLIENT
from laburnumbridge.standins.flows.simulated_fleet import SimulatedFleet
from laburnumbridge.standins.flows.stand_in_packets import StandInPacket

FIRST, SECOND = COLLIDING = ("bume57c", "niki49e")
"""Names with the same CRC-32."""
FLOWS = 40
ENDPOINTS = (SERVICE, OTHER_SERVICE)
APART = {SERVICE: {FIRST: 1}, OTHER_SERVICE: {SECOND: 1}}


def make_fleet(directory, *, configured=COLLIDING, **arguments):
    fleet = SimulatedFleet(
        directory=directory, agents=3, second_service_agents=3, services=COLLIDING, **arguments
    )
    fleet.start(services=configured)
    return fleet


@pytest.fixture
def fleet(tmp_path):
    fleet = make_fleet(tmp_path)
    configure(fleet, 2)
    return fleet


def configure(fleet, version, weights_by_endpoint=APART, **arguments) -> None:
    fleet.configure(
        version=version,
        endpoints=ENDPOINTS,
        weights_by_endpoint=weights_by_endpoint,
        **arguments,
    )
    fleet.simulation.run_for(1.0)


def open_flows(fleet, *, count=FLOWS, settle_s=2.0):
    """Open flows to both endpoints in turn."""
    flows = []
    for number in range(count):
        flow = fleet.client.open_flow(ENDPOINTS[number % 2])
        flow.request(b"first " + flow.key)
        fleet.simulation.run_for(0.01)
        flows.append(flow)
    fleet.simulation.run_for(settle_s)
    return flows


def misplaced(fleet, weights_by_endpoint=APART, *, ignored=()):
    """Return the flows that were delivered to an upstream of a service without a route to it."""
    return [
        (flow, address)
        for address, upstream in fleet.upstream_by_address.items()
        for flow in upstream.openings
        for endpoint, weights in weights_by_endpoint.items()
        if flow not in ignored
        and flow.endswith(endpoint_bytes(endpoint))
        and fleet.entry(address).service not in weights
    ]


def endpoint_bytes(endpoint) -> bytes:
    address, port = endpoint
    return pack_ipv4(address) + port.to_bytes(2, "big")


def test_the_names_collide():
    # Guards against tests that guard nothing, since their names have different tags.
    assert len({zlib.crc32(name.encode()) for name in COLLIDING}) == 1


class TestServicesWithOneTag:
    """Services are told apart by their names, not by the tags of these in datagrams."""

    def test_openings_reach_upstreams_of_their_own_service(self, fleet):
        # Guards against services that share their upstreams, since candidates are kept by tag.
        assert unanswered(open_flows(fleet), 1) == []
        assert misplaced(fleet) == []

    def test_held_and_handed_over_openings_stay_with_their_service(self, tmp_path):
        # Guards against agents that hand over to the upstreams of both services, or hold an opening
        # for the other one.
        fleet = make_fleet(tmp_path, slots=1, work_s=0.2)
        configure(fleet, 2, timeout_ms=3_000, target_latency_ms=500)
        open_flows(fleet, count=2 * FLOWS)
        assert fleet.lines(Event.FLOW_HANDED_OVER, "busy")
        assert fleet.lines(Event.FLOW_HELD)
        assert misplaced(fleet) == []

    def test_an_opening_that_reaches_the_other_service_is_handed_over(self, fleet):
        # Guards against an address that was given to an upstream of the other service: a balancer
        # that doesn't know it yet sends openings there, and the tag doesn't show it.
        balancer = fleet.process_by_address[fleet.balancers[0]]
        for number, agent in enumerate(fleet.agents):
            other_endpoint = ENDPOINTS[agent not in fleet.second_service_agents]
            client = endpoint_bytes((CLIENT[0], 50_000 + number))
            opening = StandInPacket(
                flow=FlowKey(client + endpoint_bytes(other_endpoint)),
                sequence=0,
                acknowledged=0,
                is_opening=True,
            )
            envelope = Envelope(
                stage=SearchStage.DIRECT,
                hops=0,
                service_tag=zlib.crc32(FIRST.encode()),
                entry_address=fleet.balancers[0],
                raw=opening.encode(),
            )
            balancer.peers.send(encode_envelope(envelope), (agent, PEER_PORT))
        fleet.simulation.run_for(0.5)
        assert len(fleet.lines(Event.FLOW_HANDED_OVER, "other_service")) == len(fleet.agents)
        assert misplaced(fleet) == []

    @pytest.mark.parametrize("restarts", ["agents", "balancers", "all"])
    def test_they_stay_apart_after_restarts(self, fleet, restarts):
        # Guards against processes that take the services for one until they have learned more.
        chosen = {
            "agents": fleet.agents,
            "balancers": fleet.balancers,
            "all": [*fleet.agents, *fleet.balancers],
        }[restarts]
        flows = open_flows(fleet)
        for address in chosen:
            fleet.kill(address)
            fleet.start_process(address)
        flows += open_flows(fleet, settle_s=3.0)
        assert unanswered(flows, 1) == []
        assert misplaced(fleet) == []

    def test_a_service_that_is_configured_later_stays_apart(self, tmp_path):
        # Guards against an index that was right before the second service came. Its upstreams
        # register before the operator adds it.
        fleet = make_fleet(tmp_path, configured=(FIRST,))
        first = {SERVICE: {FIRST: 1}, OTHER_SERVICE: {FIRST: 1}}
        configure(fleet, 2, first, services=(FIRST,))
        flows = open_flows(fleet)
        assert unanswered(flows, 1) == []
        assert misplaced(fleet, first) == []
        configure(fleet, 3)
        assert unanswered(open_flows(fleet), 1) == []
        assert misplaced(fleet, ignored={flow.key for flow in flows}) == []

    def test_a_service_that_was_never_configured_gets_nothing(self, tmp_path):
        # Guards against entries that are used because of their tag alone.
        fleet = make_fleet(tmp_path, configured=(FIRST,))
        weights = {SERVICE: {FIRST: 1}, OTHER_SERVICE: {FIRST: 1}}
        configure(fleet, 2, weights, services=(FIRST,))
        for agent in fleet.agents[:3]:
            fleet.platform.put(replace(fleet.entry(agent), name=f"other-{agent}", service=SECOND))
        fleet.simulation.run_for(0.5)
        assert unanswered(open_flows(fleet), 1) == []
        assert misplaced(fleet, weights) == []

    def test_flows_stay_and_new_ones_move_with_their_route(self, fleet):
        # Guards against a move between the services that nobody notices, as their tags are equal.
        flows = open_flows(fleet)
        moved = {SERVICE: {SECOND: 1}, OTHER_SERVICE: {FIRST: 1}}
        configure(fleet, 3, moved)
        for balancer in fleet.balancers:
            fleet.kill(balancer)
            fleet.start_process(balancer)
        fleet.simulation.run_for(1.0)
        for flow in flows:
            flow.request(b"second " + flow.key)
        new = open_flows(fleet)
        assert unanswered(flows, 2) == []
        assert unanswered(new, 1) == []
        assert misplaced(fleet, moved, ignored={flow.key for flow in flows}) == []

    def test_a_route_may_name_both(self, fleet):
        # Guards against openings that are passed to and fro, since either service may be meant.
        weights = {SERVICE: {FIRST: 1, SECOND: 1}, OTHER_SERVICE: {SECOND: 1}}
        configure(fleet, 3, weights)
        assert unanswered(open_flows(fleet), 1) == []
        assert misplaced(fleet, weights) == []
        assert not fleet.lines(Event.FLOW_HANDED_OVER, "other_service")

    def test_the_collision_is_logged_once_by_each_process(self, fleet):
        # Guards against operators who don't learn of it, and against a line with each change.
        configure(fleet, 3)
        lines = fleet.lines(Event.SERVICES_COLLIDE)
        assert len(lines) == len(fleet.process_by_address)
        assert {line["services"] for line in lines} == {COLLIDING}
