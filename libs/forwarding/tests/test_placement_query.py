from __future__ import annotations

from urllib.parse import quote

import msgspec
import pytest

from laburnumbridge.core import pack_ipv4
from laburnumbridge.flows import FlowKey
from laburnumbridge.flows.peer_datagrams import LoadReport
from laburnumbridge.forwarding.forwarding_process import flow_text
from laburnumbridge.forwarding.placement_explanation import PlacementExplanation
from laburnumbridge.standins.flows.process_settings import OTHER_SERVICE
from laburnumbridge.standins.flows.process_settings import SECOND_SERVICE_NAME
from laburnumbridge.standins.flows.process_settings import SERVICE
from laburnumbridge.standins.flows.process_settings import SERVICE_NAME
from laburnumbridge.standins.flows.simulated_fleet import CLIENT
from laburnumbridge.standins.flows.simulated_fleet import SimulatedFleet


@pytest.fixture
def fleet(tmp_path):
    fleet = SimulatedFleet(
        directory=tmp_path,
        balancers=1,
        agents=4,
        second_service_agents=1,
        slots=1,
        failure_domains=("north", "south"),
    )
    fleet.start()
    return fleet


def next_flow(fleet, service=SERVICE):
    """Return the flow that the client opens next."""
    ends = (CLIENT[0], fleet.client._next_port + 1), service
    return FlowKey(b"".join(pack_ipv4(ip) + port.to_bytes(2, "big") for ip, port in ends))


def query(fleet, flow):
    balancer = fleet.process_by_address[fleet.balancers[0]]
    status, body = balancer._serve_metrics(f"/place?flow={quote(flow_text(flow))}")
    assert status == 200
    return msgspec.json.decode(body, type=PlacementExplanation)


def reasons(explanation):
    return {one.agent: one.reason for one in explanation.excluded}


class TestExplainedPlacement:
    def test_the_next_opening_goes_where_the_answer_says(self, fleet):
        # Guards against an explanation that decides differently from the placement.
        for _ in range(12):
            expected = query(fleet, next_flow(fleet))
            flow = fleet.client.open_flow(SERVICE)
            flow.request(b"short")
            balancer = fleet.process_by_address[fleet.balancers[0]]
            fleet.simulation.run_for(0.01)
            assert expected.outcome == "placed"
            assert expected.candidates[0].agent == expected.agent
            assert balancer._agent_by_flow.get(flow.key, fleet.simulation.now) == expected.agent
            fleet.simulation.run_for(0.2)

    def test_a_query_sends_and_counts_nothing(self, fleet):
        # Guards against a query that places, logs or sends something.
        balancer = fleet.process_by_address[fleet.balancers[0]]
        log = fleet.log_by_address[fleet.balancers[0]]
        before = balancer.metrics.render(), list(log.lines)
        first = query(fleet, next_flow(fleet))
        assert query(fleet, next_flow(fleet)) == first
        assert (balancer.metrics.render(), list(log.lines)) == before
        assert not any(upstream.openings for upstream in fleet.upstream_by_address.values())

    def test_excluded_upstreams_have_a_reason(self, fleet):
        # Guards against an answer that doesn't say why an upstream gets no flow.
        draining = fleet.agents[0]
        fleet.platform.put(fleet.entry(draining, is_draining=True))
        fleet.platform.evacuate("south")
        fleet.simulation.run_for(5.0)
        explanation = query(fleet, next_flow(fleet))
        assert reasons(explanation) == {
            draining: "draining",
            **{
                agent: "evacuated"
                for agent in fleet.agents[:4]
                if fleet.failure_domain(agent) == "south"
            },
        }
        assert [one.failure_domain for one in explanation.candidates] == ["north"]

    def test_a_located_flow_goes_there_again(self, fleet):
        # Guards against an answer that leaves out that the balancer knows the flow.
        flow = fleet.open_served_flow(settle_s=0.3)
        explanation = query(fleet, flow.key)
        assert (explanation.outcome, explanation.agent) == ("located", fleet.holder(flow.key))

    def test_an_overflow_names_both_services(self, fleet):
        # Guards against an answer that follows the hash when the service is full.
        fleet.configure(
            version=2,
            weight_by_service={SERVICE_NAME: 999, SECOND_SERVICE_NAME: 1},
            target_latency_ms=250,
        )
        fleet.simulation.run_for(1.5)
        selector = fleet.process_by_address[fleet.balancers[0]]._selector
        for agent in fleet.agents:
            is_second = agent in fleet.second_service_agents
            report = LoadReport(busy=int(not is_second), open_flows=1, slots=1, is_available=True)
            selector.on_load_report(agent, report, fleet.simulation.now)
        explanation = query(fleet, next_flow(fleet))
        assert (explanation.outcome, explanation.selected_service) == ("overflow", SERVICE_NAME)
        assert explanation.agent == fleet.second_service_agents[0]
        assert explanation.service == SECOND_SERVICE_NAME

    @pytest.mark.parametrize("is_listed", [True, False])
    def test_a_refusal_is_named(self, fleet, is_listed):
        # Guards against an answer without a reason where the flow would be reset.
        for agent in fleet.agents:
            fleet.deregister_upstream(agent)
        fleet.simulation.run_for(2.0)
        flow = next_flow(fleet, SERVICE if is_listed else OTHER_SERVICE)
        explanation = query(fleet, flow)
        assert explanation.agent is None
        assert explanation.outcome == ("no_upstream" if is_listed else "no_route")


class TestQuery:
    @pytest.mark.parametrize(
        "flow",
        [
            "",
            "100.64.0.1:1",
            "100.64.0.1:1>198.18.0.1",
            "100.64.0.1:1>198.18.0.1:65536",
            "100.64.0.256:1>198.18.0.1:443",
            "100.64.0:1>198.18.0.1:443",
            "100.64.0.-1:1>198.18.0.1:443",
            "100.64.0.1:1>198.18.0.1:443>1",
            "1" * 5_000 + ".0.0.1:1>198.18.0.1:443",
        ],
    )
    def test_a_malformed_flow_is_rejected(self, fleet, flow):
        # Guards against an internal error, and against an answer about another flow.
        balancer = fleet.process_by_address[fleet.balancers[0]]
        status, body = balancer._serve_metrics(f"/place?flow={quote(flow)}")
        assert status == 400
        assert b"CLIENT:PORT>SERVICE:PORT" in body

    def test_agents_and_balancers_without_a_view_say_so(self, fleet):
        # Guards against a "no_route" of a process that doesn't know the routes.
        fleet.platform.is_unresponsive = True
        fleet.kill(fleet.balancers[0])
        fleet.start_process(fleet.balancers[0])
        path = f"/place?flow={quote(flow_text(next_flow(fleet)))}"
        balancer = fleet.process_by_address[fleet.balancers[0]]
        assert balancer._serve_metrics(path)[0] == 503
        assert fleet.process_by_address[fleet.agents[0]]._serve_metrics(path)[0] == 404
