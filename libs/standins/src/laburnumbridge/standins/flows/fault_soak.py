"""Injects seeded faults into real forwarding processes and checks what clients observe."""

from __future__ import annotations

import json
import random
import sys
import tempfile
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import typer

from laburnumbridge.core import Choice
from laburnumbridge.forwarding.event_loop import EventLoop
from laburnumbridge.standins.flows.fault_injector import FaultInjector
from laburnumbridge.standins.flows.fault_schedule import make_schedule
from laburnumbridge.standins.flows.invariant_checks import SoakFindings
from laburnumbridge.standins.flows.invariant_checks import check_evacuations
from laburnumbridge.standins.flows.invariant_checks import check_invariants
from laburnumbridge.standins.flows.invariant_checks import flow_name
from laburnumbridge.standins.flows.process_fleet import ProcessFleet
from laburnumbridge.standins.flows.process_settings import SERVICE
from laburnumbridge.standins.flows.process_settings import STOP_GRACE_S

if TYPE_CHECKING:
    from laburnumbridge.standins.flows.client_stand_in import ClientFlow

BALANCERS = 4
AGENTS = 8
REQUEST_INTERVAL_S = 0.01
"""A hundred requests a second, which occupy a tenth of the slots of each upstream."""
LONG_FLOWS = 20
LONG_FLOW_INTERVAL_S = 0.05
START_TIMEOUT_S = 30.0
SETTLE_S = 3.0
"""Processes and upstreams serve again within two seconds of a restart; one more is a margin."""
CALM_S = 3.0
"""Length of the calm period, which has traffic but no faults, at the end of a soak."""
ANSWER_TIMEOUT_S = 2.5
"""In the calm period a request takes 30 ms.

This covers one lost packet and the longest retransmission interval.
"""
POLL_INTERVAL_S = 0.1


class FaultSoak:
    """Runs one seed: a fleet, traffic, faults, a calm period, and the checks.

    ``timeout_s`` limits how long the answers to requests of the calm period may take, and how
    long processes may take to exit after SIGTERM if it is longer than ``STOP_GRACE_S``. Where only
    the outcome counts, a long timeout merely bounds hanging.
    """

    def __init__(
        self,
        *,
        directory: Path,
        seed: int,
        seconds: float,
        timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> None:
        self._timeout_s = timeout_s
        self._loop = EventLoop()
        self._seed = seed
        self._seconds = seconds
        self._fleet = ProcessFleet(
            loop=self._loop, directory=directory, balancers=BALANCERS, agents=AGENTS, seed=seed
        )
        self._choice = Choice(seed=seed)
        self._flows: list[ClientFlow] = []
        self._long_flows: list[ClientFlow] = []
        self._calm_requests: list[tuple[ClientFlow, bytes]] = []
        self._is_calm = False
        self._is_sending = False
        self._requests = 0
        self.findings = SoakFindings()
        self._injector = FaultInjector(
            loop=self._loop,
            fleet=self._fleet,
            findings=self.findings,
            stop_timeout_s=max(STOP_GRACE_S, timeout_s),
        )

    def run(self) -> SoakFindings:
        """Run the seed and return the findings.

        Raises TimeoutError if the balancers aren't ready within ``START_TIMEOUT_S``.
        """
        try:
            self._fleet.start()
            self._wait_until_ready()
            self._is_sending = True
            self._loop.call_every(REQUEST_INTERVAL_S, self._send_on_new_flow)
            self._loop.call_every(LONG_FLOW_INTERVAL_S, self._send_on_long_flow)
            for fault in make_schedule(seed=self._seed, seconds=self._seconds):
                self._loop.call_later(fault.at, partial(self._injector.inject, fault))
            self._run_for(self._seconds + STOP_GRACE_S + SETTLE_S)
            self._is_calm = True
            self._run_for(CALM_S)
            self._is_sending = self._is_calm = False
            self._await_calm_answers()
            self._collect_violations()
        finally:
            self._fleet.close()
            self._loop.close()
        return self.findings

    def _run_for(self, seconds: float) -> None:
        self._loop.call_later(seconds, self._loop.stop)
        self._loop.run()

    def _wait_until_ready(self) -> None:
        deadline = self._loop.now() + START_TIMEOUT_S
        while self._fleet.ready_balancers < BALANCERS:
            if self._loop.now() > deadline:
                raise TimeoutError(f"{self._fleet.ready_balancers} of {BALANCERS} balancers ready")
            self._run_for(POLL_INTERVAL_S)
        self._run_for(1.0)

    def _await_calm_answers(self) -> None:
        deadline = self._loop.now() + self._timeout_s
        while self._unanswered_calm_requests() and self._loop.now() < deadline:
            self._calm_requests = [self._retry_unopened(*one) for one in self._calm_requests]
            self._run_for(POLL_INTERVAL_S)

    def _retry_unopened(self, flow: ClientFlow, request: bytes) -> tuple[ClientFlow, bytes]:
        """Send the request on a new flow if its own never opened, since it can't have run then.

        Returns the flow that carries the request.
        """
        if flow.is_open or not (flow.was_reset or flow.has_timed_out):
            return flow, request
        self.findings.counts["calm_retried"] += 1
        retry_flow = self._open_flow()
        retry_flow.request(request)
        retry_flow.close_after_answers()
        return retry_flow, request

    # Traffic.

    def _next_request(self) -> bytes:
        self._requests += 1
        return b"r%d-%d" % (self._seed, self._requests)

    def _open_flow(self) -> ClientFlow:
        flow = self._fleet.client.open_flow(SERVICE)
        self._flows.append(flow)
        return flow

    def _send_on_new_flow(self) -> None:
        if not self._is_sending:
            return
        flow, request = self._open_flow(), self._next_request()
        flow.request(request)
        flow.close_after_answers()
        if self._is_calm:
            self._calm_requests.append((flow, request))

    def _send_on_long_flow(self) -> None:
        if not self._is_sending:
            return
        if len(self._long_flows) < LONG_FLOWS:
            self._long_flows.append(self._open_flow())
            return
        index = self._choice.below(LONG_FLOWS)
        flow = self._long_flows[index]
        if flow.ended_at is not None:
            flow = self._long_flows[index] = self._open_flow()
        request = self._next_request()
        flow.request(request)
        if self._is_calm:
            self._calm_requests.append((flow, request))

    # Checks.

    def _unanswered_calm_requests(self) -> list[tuple[ClientFlow, bytes]]:
        """Return the requests of the calm period without an answer.

        Requests of a long flow that was reset aren't included: the reset reports that the flow
        is lost.
        """
        return [
            (flow, request)
            for flow, request in self._calm_requests
            if request not in flow.answers and not (flow in self._long_flows and flow.was_reset)
        ]

    def _collect_violations(self) -> None:
        check_invariants(self._flows, self._fleet.all_upstreams, self.findings)
        check_evacuations(
            self._injector.evacuations,
            self._fleet.all_upstreams,
            self._fleet.failure_domain,
            self.findings,
        )
        for flow, request in self._unanswered_calm_requests():
            state = "open" if flow.is_open else "given up" if flow.has_timed_out else "reset"
            self.findings.violations.append(
                f"request {request.decode()} of calm time on flow {flow_name(flow.key)}, {state}:"
                " no answer"
            )
        for address in (*self._fleet.balancers, *self._fleet.agents):
            code = self._fleet.exit_code(address)
            if code is not None:
                self.findings.violations.append(f"{address} ended by itself with {code}")
            if b"Traceback" in self._fleet.log_path(address).read_bytes():
                self.findings.violations.append(f"{address} logged a traceback")
        self.findings.counts["requests"] = self._requests
        self.findings.counts["calm_requests"] = len(self._calm_requests)


def main(
    output: Path,
    first_seed: int = 0,
    seeds: int = 3,
    seconds: float = 20.0,
    logs: Path | None = None,
) -> None:
    """Run seeds, write the findings as JSON, and exit with 1 if an invariant was violated.

    Without ``first_seed`` the first seed is random. With ``logs`` the logs of each seed are kept in
    a folder named after it.
    """
    first = first_seed or random.SystemRandom().randrange(1, 1 << 30)
    report = {}
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as folder:
            directory = Path(folder) if logs is None else logs / str(seed)
            directory.mkdir(parents=True, exist_ok=True)
            findings = FaultSoak(directory=directory, seed=seed, seconds=seconds).run()
        report[str(seed)] = {"broken": findings.violations, **findings.counts}
        typer.echo(
            f"seed {seed}: {len(findings.violations)} broken,"
            f" {findings.counts['answered']} answered"
        )
        output.write_text(json.dumps(report, indent=2) + "\n")
    sys.exit(1 if any(seed["broken"] for seed in report.values()) else 0)


if __name__ == "__main__":
    typer.run(main)
