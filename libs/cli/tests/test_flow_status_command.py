from __future__ import annotations

import json
import threading
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer

import pytest

from laburnumbridge.cli.application import run
from laburnumbridge.cli.forwarding_status import parse_metrics
from laburnumbridge.forwarding.metrics import Metrics
from laburnumbridge.standins.flows.process_settings import process_settings

HOST = "127.0.0.1"


def make_metrics():
    metrics = Metrics()
    metrics.count("flow_resets_total", "no_route", 2)
    metrics.count("flow_resets_total", "upstream_down")
    metrics.count("packets_dropped_total", "truncated", 4)
    metrics.gauge("flows_known", 12)
    metrics.gauge("view_age_seconds", 0.5)
    metrics.gauge("requests_busy", 2)
    metrics.gauge('failure_domain_evacuated{domain="south 1"}', True)
    metrics.gauge('failure_domain_evacuated{domain="north"}', False)
    metrics.gauge("requests_arriving", 5)
    metrics.observe("loop_lag_seconds", 0.01)
    return metrics


class BalancerHandler(BaseHTTPRequestHandler):
    """Answers as a balancer that has just lost its agents."""

    def do_GET(self):
        is_metrics = self.path == "/metrics"
        body = make_metrics().render() if is_metrics else b"no agent answers\n"
        self.send_response(200 if is_metrics else 503)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_arguments):
        """Keep the output of the tests clean."""


@pytest.fixture
def server():
    server = ThreadingHTTPServer((HOST, 0), BalancerHandler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield server
    server.shutdown()
    server.server_close()


@pytest.fixture
def write_settings(tmp_path):
    def write(name, port):
        settings = process_settings(HOST, platform=(HOST, 1), seeds=[], is_agent=False)
        settings |= {
            "process": name,
            "ready_endpoint": f"{HOST}:{port}",
            "metrics_port": port,
        }
        path = tmp_path / f"{name}.json"
        path.write_text(json.dumps(settings))
        return str(path)

    return write


class TestFlowStatus:
    def test_a_process_and_one_that_does_not_answer(
        self, server, write_settings, unused_tcp_port, capsys
    ):
        # Guards against a stopped process that prevents the status of the others.
        running = write_settings("edge-1", server.server_address[1])
        stopped = write_settings("edge-2", unused_tcp_port)
        assert run(["flow", "status", running, stopped, "--json"]) == 0
        first, second = json.loads(capsys.readouterr().out)
        assert first["readiness"] == "no agent answers"
        assert (first["flows"], first["resets"], first["drops"]) == (12, 3, 4)
        assert first["view_age_s"] == 0.5
        assert (first["busy"], first["arriving"]) == (2, 5)
        assert first["evacuated"] == ["south 1"]
        assert second["readiness"].startswith("no answer: ")
        assert second["flows"] is None

    def test_the_table_has_a_line_for_each_process(self, server, write_settings, capsys):
        # Guards against a table that leaves out figures which a role doesn't have.
        assert run(["flow", "status", write_settings("edge-1", server.server_address[1])]) == 0
        output = capsys.readouterr().out
        assert "edge-1" in output
        assert "no agent answers" in output
        assert "Evacuated: south 1 (in the view of 1 of 1 processes)" in output

    def test_bad_settings_are_named(self, tmp_path, capsys):
        # Guards against a command that queries some processes before it finds the fault.
        path = tmp_path / "settings.json"
        path.write_text("{}")
        assert run(["flow", "status", str(path)]) == 2
        assert str(path) in capsys.readouterr().err


class TestMetricsPage:
    def test_labels_are_summed(self):
        # Guards against reporting the figure of one label as the total.
        figures = parse_metrics(make_metrics().render().decode())
        assert figures["flow_resets_total"] == 3
        assert figures["loop_lag_seconds_count"] == 1
