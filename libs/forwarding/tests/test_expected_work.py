from __future__ import annotations

import pytest

from laburnumbridge.core import Event
from laburnumbridge.flows.peer_datagrams import DatagramKind
from laburnumbridge.forwarding import flow_agent
from laburnumbridge.forwarding.detail_requester import DetailRequester
from laburnumbridge.forwarding.network import DatagramPort
from laburnumbridge.standins.flows.process_settings import SECOND_SERVICE_NAME
from laburnumbridge.standins.flows.process_settings import SERVICE
from laburnumbridge.standins.flows.process_settings import SERVICE_NAME
from laburnumbridge.standins.flows.simulated_fleet import SimulatedFleet


@pytest.fixture
def fleet(tmp_path):
    fleet = SimulatedFleet(directory=tmp_path, balancers=2, agents=4, slots=1, work_s=0.04)
    fleet.start()
    return fleet


def serve(fleet: SimulatedFleet, flows: int = 8, requests: int = 20) -> None:
    opened = [fleet.client.open_flow(SERVICE) for _ in range(flows)]
    for number in range(requests):
        for flow in opened:
            flow.request(str(number).encode())
        fleet.simulation.run_for(0.4)
    assert all(len(flow.answers) == requests for flow in opened)


def reports(fleet: SimulatedFleet) -> list[object]:
    return [
        received.report.work
        for address in fleet.balancers
        for received in fleet.process_by_address[address]._selector._report_by_agent.values()
        if fleet.simulation.now - received.reported_at < 1.0
    ]


class TestReports:
    def test_balancers_get_the_learned_work(self, fleet):
        # Guards against placement that never learns the work, and against an estimate that counts
        # the waiting in the upstream's queue.
        serve(fleet)
        received = reports(fleet)
        assert len(received) >= 4
        for work in received:
            assert work is not None
            assert work.work_s == pytest.approx(0.04, rel=0.5)
            assert work.samples >= 8

    def test_an_agent_estimates_the_work_of_a_flow(self, fleet):
        # Guards against an order of held openings without the work of their route.
        serve(fleet, flows=1)
        estimates = [
            fleet.process_by_address[agent].expected_work_s(flow)
            for agent in fleet.agents
            for flow in fleet.upstream_by_address[agent].openings
        ]
        assert estimates == [pytest.approx(0.04, rel=0.5)]


class TestUnevenUpstreams:
    def test_balancers_place_by_work_once_it_is_learned(self, fleet):
        # Guards against reports that are received and not used.
        for agent in fleet.agents[:2]:
            fleet.upstream_by_address[agent].work_s = 0.01
        serve(fleet)
        for _ in range(24):
            fleet.client.open_flow(SERVICE).request(b"short")
            fleet.simulation.run_for(0.1)
        entered = fleet.lines(Event.UPSTREAMS_UNEVEN, "entered")
        assert {line["service"] for line in entered} == {SERVICE_NAME}
        assert all(line["slowest_s"] >= 1.8 * line["fastest_s"] for line in entered)
        balancers = [fleet.process_by_address[address] for address in fleet.balancers]
        assert sum(each.metrics.value("placements_total", "uneven") for each in balancers) >= 12
        agent = fleet.process_by_address[fleet.agents[0]]
        assert b"laburnumbridge_expected_work_seconds 0.01" in agent.metrics.render()

    def test_even_upstreams_are_placed_on_as_before(self, fleet):
        # Guards against a change for deployments whose upstreams don't differ.
        serve(fleet)
        assert not fleet.lines(Event.UPSTREAMS_UNEVEN)
        for address in fleet.balancers:
            assert not fleet.process_by_address[address].metrics.value("placements_total", "uneven")


class TestRollingUpgrade:
    def test_agents_of_the_previous_version_answer_with_a_plain_report(self, fleet, monkeypatch):
        # Guards against a balancer that treats such agents as silent.
        monkeypatch.setattr(flow_agent, "requests_detail", lambda probe: False)
        serve(fleet)
        assert set(reports(fleet)) == {None}
        assert not fleet.lines(Event.PACKET_DROPPED)

    def test_balancers_of_the_previous_version_get_only_plain_reports(self, fleet, monkeypatch):
        # Guards against datagrams that such a balancer drops, so that all agents seem silent.
        monkeypatch.setattr(DetailRequester, "on_sent", lambda self, agent, now: None)
        serve(fleet)
        assert set(reports(fleet)) == {None}


class RecordingPort(DatagramPort):
    def __init__(self):
        self.sent = []

    def start(self):
        pass

    def close(self):
        pass

    def send(self, datagram, endpoint):
        self.sent.append((datagram, endpoint))
        return True


class TestDetailRequester:
    def test_reports_are_requested_at_the_first_packet_and_once_a_second(self):
        # Guards against reports that end while packets are sent, and a request with each packet.
        port = RecordingPort()
        requester = DetailRequester(port=port, peer_port=7)
        for tick in range(250):
            requester.on_sent("10.0.0.1", tick / 100)
        assert port.sent == [(bytes((DatagramKind.PROBE, 2)), ("10.0.0.1", 7))] * 3
        requester.retain([])
        requester.on_sent("10.0.0.1", 2.5)
        assert len(port.sent) == 4


class TestOverflow:
    FLOWS = 12

    @pytest.fixture
    def two_services(self, tmp_path):
        fleet = SimulatedFleet(
            directory=tmp_path, balancers=1, agents=2, second_service_agents=2, slots=1, work_s=0.2
        )
        fleet.start()
        return fleet

    def overflowed(self, fleet: SimulatedFleet, target_latency_ms: int, second: int) -> int:
        """Open flows for a service of which all slots are taken; return how many overflowed."""
        fleet.configure(
            version=2,
            weight_by_service={SERVICE_NAME: 99, SECOND_SERVICE_NAME: second},
            target_latency_ms=target_latency_ms,
        )
        fleet.simulation.run_for(0.5)
        for agent in fleet.agents:  # both services have sent reports
            fleet.process_by_address[fleet.balancers[0]]._detail_requester.on_sent(
                agent, fleet.simulation.now
            )
        opened = []
        for _ in range(self.FLOWS):
            opened.append(fleet.client.open_flow(SERVICE))
            opened[-1].request(b"work")
            fleet.simulation.run_for(0.05)
        fleet.simulation.run_for(30.0)
        assert all(len(flow.answers) == 1 for flow in opened)
        balancer = fleet.process_by_address[fleet.balancers[0]]
        return balancer.metrics.value("flows_overflowed_total")

    def test_flows_overflow_to_a_service_with_a_free_slot(self, two_services):
        # Guards against flows that wait while another service of their route is idle.
        assert self.overflowed(two_services, target_latency_ms=250, second=1) >= 1

    @pytest.mark.parametrize(("target_latency_ms", "second"), [(0, 1), (250, 0)])
    def test_other_routes_keep_their_weights(self, two_services, target_latency_ms, second):
        # Guards against a change for routes without a target, and against flows for a service whose
        # weight is 0.
        assert self.overflowed(two_services, target_latency_ms, second) == 0
