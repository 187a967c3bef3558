from __future__ import annotations

import json

import pytest

from laburnumbridge.cli.application import run
from laburnumbridge.cli.flow_explanation import explain_flow
from laburnumbridge.core import Event
from laburnumbridge.forwarding.forwarding_process import flow_text
from laburnumbridge.standins.flows.process_settings import OTHER_SERVICE
from laburnumbridge.standins.flows.process_settings import SERVICE
from laburnumbridge.standins.flows.simulated_fleet import SimulatedFleet

FLOW = "100.64.0.1:10001>198.18.0.1:443"


def line(at: float, process: str, event: Event, **fields: object) -> bytes:
    head = {"timestamp": at, "monotonic": at, "process": process}
    event_fields = {"event": event.name.lower(), "number": event.number, "level": event.level}
    return json.dumps({**head, **event_fields, **fields}).encode()


@pytest.fixture
def logs(tmp_path):
    balancer_log = tmp_path / "entry.log"
    agent_log = tmp_path / "side.log"
    balancer_log.write_bytes(
        b"\n".join(
            [
                b"a line that isn't JSON",
                line(10.0, "entry-1", Event.FLOW_PLACED, flow=FLOW, agent="10.2.0.1"),
                line(10.1, "entry-1", Event.FLOW_PLACED, flow="other>flow", agent="10.2.0.2"),
                line(11.0, "entry-1", Event.UPSTREAM_CHANGED, agent="10.2.0.1", outcome="ready"),
                line(99.0, "entry-1", Event.UPSTREAM_CHANGED, agent="10.2.0.1", outcome="late"),
            ]
        )
    )
    agent_log.write_bytes(
        b"\n".join(
            [
                b"  12.5 side-1 "
                + line(12.5, "side-1", Event.FLOW_RESET, flow=FLOW, outcome="upstream_down"),
                line(12.4, "side-1", Event.UPSTREAM_DOWN, upstream="10.2.0.1", flows=3),
            ]
        )
    )
    return [balancer_log, agent_log]


class TestFlowExplain:
    def test_the_logs_of_all_processes_are_joined(self, logs, capsys, snapshot):
        # Guards against omitting a cause that only the log of another process has.
        options = [f"--log={log}" for log in logs]
        assert run(["flow", "explain", *options, FLOW]) == 0
        assert capsys.readouterr().out == snapshot

    def test_a_flow_that_isnt_logged(self, logs, capsys):
        # Guards against an empty table in place of an error.
        assert run(["flow", "explain", f"--log={logs[0]}", "none"]) == 1
        assert "CLIENT:PORT>SERVICE:PORT" in capsys.readouterr().err


class TestThreeFailures:
    """The three kinds of failed request in docs/OPERATIONS.md, traced from the id to the cause."""

    @pytest.fixture
    def fleet(self, tmp_path):
        fleet = SimulatedFleet(directory=tmp_path)
        fleet.start()
        return fleet

    def explain(self, fleet, key):
        lines = [
            line(
                float(number),
                address,
                event,
                **{name: value for name, value in fields.items() if value is not None},
            )
            for address, log in fleet.log_by_address.items()
            for number, (event, fields) in enumerate(log.lines)
        ]
        return [(one.event, one.outcome) for one in explain_flow(flow_text(key), lines)]

    def test_a_refused_flow(self, fleet):
        # Guards against a refusal whose cause isn't in the logs.
        flow = fleet.client.open_flow(OTHER_SERVICE)
        fleet.simulation.run_for(0.1)
        assert ("flow_reset", "no_route") in self.explain(fleet, flow.key)

    def test_a_flow_whose_upstream_was_lost(self, fleet):
        # Guards against logs that don't distinguish a lost upstream from a lost balancer.
        flow = fleet.open_served_flow(settle_s=0.5)
        holder = fleet.holder(flow.key)
        fleet.upstream_by_address[holder].crash()
        fleet.terminate(holder)
        fleet.simulation.run_for(0.3)
        explained = self.explain(fleet, flow.key)
        assert ("flow_reset", "upstream_down") in explained
        assert ("upstream_down", "") in explained

    def test_a_flow_while_the_platform_was_unavailable(self, fleet):
        # Guards against a timeout without a log line.
        fleet.platform.is_unresponsive = True
        for address in (*fleet.balancers, *fleet.agents):
            fleet.kill(address)
            fleet.start_process(address)
        fleet.simulation.run_for(0.3)
        flow = fleet.client.open_flow(SERVICE)
        fleet.simulation.run_for(2.0)
        assert flow.has_timed_out
        assert ("packet_dropped", "no_view") in self.explain(fleet, flow.key)
        assert fleet.lines(Event.PLATFORM_UNAVAILABLE)


class TestFlowCheck:
    def test_faults_name_the_setting(self, tmp_path, capsys):
        # Guards against invalid settings that are only detected when a process starts.
        path = tmp_path / "settings.json"
        path.write_text('{"process": 7}')
        assert run(["flow", "check", str(path)]) == 2
        assert "process" in capsys.readouterr().err
