"""Fakes of a fleet that open no sockets."""

from __future__ import annotations

import os
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from laburnumbridge.cli.fleet import Fleet
from laburnumbridge.cli.fleet import FleetOpener
from laburnumbridge.lists import ServiceList
from laburnumbridge.lists import parse_list
from laburnumbridge.runtime.fleet_reader import FleetProcess
from laburnumbridge.runtime.fleet_reader import FleetReader
from laburnumbridge.runtime.fleet_reader import Reply
from laburnumbridge.telemetry import DecisionRecord
from laburnumbridge.telemetry import ExplainAnswer
from laburnumbridge.telemetry import ListInForce
from laburnumbridge.telemetry import MembershipSummary
from laburnumbridge.telemetry import MetricRegistry
from laburnumbridge.telemetry import Outcome
from laburnumbridge.telemetry import ProcessFacts
from laburnumbridge.telemetry import ProcessSnapshot
from laburnumbridge.telemetry import SeriesKey
from laburnumbridge.telemetry import UpstreamLoad
from laburnumbridge.telemetry import take_snapshot
from laburnumbridge.wire import Endpoint

NOW = 1_800_000_000.0
UNRESPONSIVE = "certificate-store-2"
EXAMPLE = Path(__file__).parents[3] / "examples" / "swan-coast" / "services.json"
SERVICES = parse_list("services", EXAMPLE.read_bytes(), ServiceList)


def make_facts(name: str, *, role: str, plans_version: int, flows: int) -> ProcessFacts:
    upstream = UpstreamLoad(upstream=name, service="workshop-desk", open_flows=flows, busy_slots=1)
    return ProcessFacts(
        name=name,
        role=role,
        region="perth",
        failure_domain="midland" if flows > 100 else "osborne",
        started_at=NOW - 900,
        lists=(ListInForce(name="plans", version=plans_version, digest=f"{plans_version:032x}"),),
        membership=MembershipSummary(digest=f"{plans_version:032x}", count_by_state={"live": 4}),
        upstreams=(upstream,) if role == "agent" else (),
    )


def make_snapshot(name: str, *, role: str, plans_version: int, flows: int) -> ProcessSnapshot:
    registry = MetricRegistry()
    registry.count("broken_flows", flows % 4)
    if role == "agent":
        registry.refusals_by_reason["queue_full"] += 3
        for number in range(20):
            registry.record_request(
                SeriesKey("workshop-desk", "benches"),
                Outcome.CUT if number == 0 else Outcome.ANSWERED,
                latency_s=0.02 * (number + 1),
                objective_ms=250,
                now=NOW - 60 * number,
            )
    facts = make_facts(name, role=role, plans_version=plans_version, flows=flows)
    return take_snapshot(registry=registry, facts=facts, now=NOW)


def make_answer(name: str, start: float) -> ExplainAnswer:
    decisions = tuple(
        DecisionRecord(
            at=start + 10 * step,
            event="request_refused",
            number=501,
            level="info",
            cause=f"queue_full: 32 of 32 [step {step}]",
            subjects={"plan": "benches", "request": f"{name}/{step}"},
        )
        for step in range(3)
    )
    return ExplainAnswer(process=name, decisions=decisions)


SNAPSHOTS = {
    "balancer-1": make_snapshot("balancer-1", role="balancer", plans_version=8, flows=0),
    "workshop-desk-1": make_snapshot("workshop-desk-1", role="agent", plans_version=8, flows=90),
    "workshop-desk-2": make_snapshot("workshop-desk-2", role="agent", plans_version=7, flows=110),
}
ANSWERS = {
    "balancer-1": ExplainAnswer(process="balancer-1"),
    "workshop-desk-1": make_answer("workshop-desk-1", NOW),
    "workshop-desk-2": make_answer("workshop-desk-2", NOW + 5),
}


class FakeReader(FleetReader):
    """Answers from fixed content; processes without content don't answer."""

    def __init__(self, *, snapshots=SNAPSHOTS, answers=ANSWERS) -> None:
        self._snapshots = snapshots
        self._answers = answers

    def status(self, processes):
        return self._reply(processes, self._snapshots)

    metrics = status

    def explain(self, processes, *, kind, identifier):
        return self._reply(processes, self._answers)

    async def close(self) -> None:
        pass

    async def _reply(self, processes, contents):
        for process in processes:
            content = contents.get(process.name)
            failure = None if content else "no answer within 3 s"
            yield Reply(process=process, content=content, failure=failure)


class FakeOpener(FleetOpener):
    """A fleet of four processes, of which one doesn't answer."""

    def __init__(self, *, reader: FleetReader | None = None) -> None:
        self._reader = reader or FakeReader()

    @asynccontextmanager
    async def open(self, *, with_services: bool = False):
        names = (*SNAPSHOTS, UNRESPONSIVE)
        yield Fleet(
            processes=tuple(
                FleetProcess(name=name, endpoint=Endpoint("192.0.2.1", 4701 + place))
                for place, name in enumerate(names)
            ),
            reader=self._reader,
            services=SERVICES if with_services else None,
        )


@pytest.fixture
def opener() -> FakeOpener:
    return FakeOpener()


@pytest.fixture
def unresponsive_opener() -> FakeOpener:
    """A fleet in which no process answers."""
    return FakeOpener(reader=FakeReader(snapshots={}, answers={}))


@pytest.fixture
def opener_without_decisions() -> FakeOpener:
    """A fleet whose processes answer without decisions."""
    answers = {name: ExplainAnswer(process=name) for name in ANSWERS}
    return FakeOpener(reader=FakeReader(answers=answers))


@pytest.fixture(autouse=True)
def _plain_output(monkeypatch: pytest.MonkeyPatch) -> None:
    # The environment of the person who runs the tests must not change the snapshots.
    for name in list(os.environ):
        if name.startswith(("LABURNUMBRIDGE_", "FORCE_COLOR", "TTY_")):
            monkeypatch.delenv(name)
    monkeypatch.setenv("COLUMNS", "100")
