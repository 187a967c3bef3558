from __future__ import annotations

import json
import threading
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer

import pytest

from laburnumbridge.cli.application import run
from laburnumbridge.flows import ScoredCandidate
from laburnumbridge.forwarding.forwarding_process import flow_text
from laburnumbridge.forwarding.placement_explanation import ExcludedUpstream
from laburnumbridge.forwarding.placement_explanation import PlacementExplanation
from laburnumbridge.forwarding.placement_query import answer_placement_query
from laburnumbridge.standins.flows.process_settings import process_settings

HOST = "127.0.0.1"
FLOW = "100.64.0.1:10001>198.18.0.1:443"


def candidate(agent, score, **fields):
    known = {"failure_domain": "north", "slots": 1, "is_cold": False, "avoided": (), "pending": 0}
    return ScoredCandidate(agent=agent, score=(score,), **(known | fields))


def explain(flow):
    if flow.endswith(b"\x00\x50"):
        return PlacementExplanation(process="edge-1", flow=flow_text(flow), outcome="no_route")
    known = {"busy": 1, "open_flows": 12, "report_age_s": 0.0412}
    return PlacementExplanation(
        process="edge-1",
        flow=flow_text(flow),
        outcome="overflow",
        agent="10.2.0.1",
        route="r-reads",
        priority=2,
        target_latency_ms=253,
        is_long=True,
        selected_service="desk",
        service="archive",
        method="uneven",
        view_age_s=0.5,
        candidates=[
            candidate(
                "10.2.0.1", 0.0214, **known, speed=1.7, wait_s=0.01, work_s=0.0114, demand=0.41
            ),
            candidate("10.2.0.2", 1.5, is_cold=True, failure_domain="south [2]", pending=3),
            candidate("10.2.0.3", 1_100_000.25, **known, avoided=("silent", "failing")),
        ],
        excluded=[
            ExcludedUpstream(agent="10.2.0.4", failure_domain="south [2]", reason="evacuated")
        ],
    )


class BalancerHandler(BaseHTTPRequestHandler):
    """Answers as a balancer with fixed candidates; without routes or of another release."""

    def do_GET(self):
        status, body = answer_placement_query(self.path, explain)
        if "9%3A" in self.path:
            status, body = 503, b"no view of the fleet yet\n"
        if "8%3A" in self.path:
            status, body = 200, b"# TYPE laburnumbridge_flows_known gauge\n"
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_arguments):
        """Keep the output of the tests clean."""


@pytest.fixture
def write_settings(tmp_path):
    def write(port, *, is_agent=False):
        settings = process_settings(HOST, platform=(HOST, 1), seeds=[], is_agent=is_agent)
        path = tmp_path / "edge-1.json"
        path.write_text(json.dumps(settings | {"process": "edge-1", "metrics_port": port}))
        return str(path)

    return write


@pytest.fixture
def settings(write_settings):
    server = ThreadingHTTPServer((HOST, 0), BalancerHandler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield write_settings(server.server_address[1])
    server.shutdown()
    server.server_close()


class TestFlowPlace:
    @pytest.mark.parametrize("flow", [FLOW, "100.64.0.1:10001>198.18.0.1:80"])
    def test_the_table(self, settings, flow, capsys, snapshot):
        # Guards against figures in the wrong column, and against failure domains that are read as
        # markup; the second flow has no route.
        assert run(["flow", "place", settings, flow]) == 0
        assert capsys.readouterr().out == snapshot

    def test_json(self, settings, capsys):
        # Guards against JSON that lacks what the table has.
        assert run(["flow", "place", settings, FLOW, "--json"]) == 0
        answer = json.loads(capsys.readouterr().out)
        assert answer["agent"] == answer["candidates"][0]["agent"] == "10.2.0.1"
        assert answer["excluded"][0]["reason"] == "evacuated"

    @pytest.mark.parametrize(
        ("flow", "status", "reason"),
        [
            ("100.64.0.1:10001", 2, "the sign > is missing; use CLIENT:PORT>SERVICE:PORT"),
            ("", 2, "use CLIENT:PORT>SERVICE:PORT"),
            ("100.64.0.9:1>198.18.0.1:443", 3, "no view of the fleet yet"),
            ("100.64.0.8:1>198.18.0.1:443", 3, "another release"),
        ],
    )
    def test_a_balancer_without_an_answer(self, settings, flow, status, reason, capsys):
        # Guards against a table without content, and against a wrong exit status.
        assert run(["flow", "place", settings, flow]) == status
        assert reason in capsys.readouterr().err

    def test_a_stopped_balancer_and_an_agent(self, write_settings, unused_tcp_port, capsys):
        # Guards against a traceback, and against a query that an agent can't answer.
        assert run(["flow", "place", write_settings(unused_tcp_port), FLOW]) == 3
        assert "edge-1 gave no placement" in capsys.readouterr().err
        assert run(["flow", "place", write_settings(1, is_agent=True), FLOW]) == 2
        assert "edge-1 is an agent" in capsys.readouterr().err
