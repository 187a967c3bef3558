"""Imbalance of open flows and busy slots under three ways of placement."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from statistics import median
from typing import TYPE_CHECKING

from laburnumbridge.cli.benchmark import Benchmark
from laburnumbridge.core import AgentNumber
from laburnumbridge.core import hash64
from laburnumbridge.placement import BusySlotsChanged
from laburnumbridge.placement import DrainStarted
from laburnumbridge.placement import FlowClosed
from laburnumbridge.placement import FlowOpened
from laburnumbridge.placement import ForwardHandshake
from laburnumbridge.placement import HandshakeArrived
from laburnumbridge.placement import Placement
from laburnumbridge.placement import PlacementSettings
from laburnumbridge.placement import RequestReconnect
from laburnumbridge.placement import SiblingChanged
from laburnumbridge.placement import SiblingReported
from laburnumbridge.placement import SiblingState
from laburnumbridge.placement import Tick
from laburnumbridge.placement import UpstreamStartedCold
from laburnumbridge.routing import MaglevTable

if TYPE_CHECKING:
    from collections.abc import Mapping

    from laburnumbridge.cli.benchmark import Figure
    from laburnumbridge.placement import LoadReport

SEED = 20
UPSTREAMS = 7
FLOWS = 7000
SLOTS = 4
CONNECTIONS = 2000
BOUND = 1.10
STEP_S = 0.1
REPORT_INTERVAL_S = 0.5
# Membership and the routing tables show a change after this time.
DETECTION_S = 1.0
MEAN_FLOW_S = 300.0
FILL_S = 40.0
STEADY_AT_S = 60.0
DRAIN_AT_S = 90.0
JOIN_AT_S = 150.0
CRASH_AT_S = 240.0
END_S = 300.0
# One flow in ten sends ten times the requests; together they keep half of the slots busy.
HEAVY_SHARE = 0.1
HEAVY_ACTIVITY = 10.0
BUSY_SHARE = 0.5
# A single request fills a quarter of an upstream, so only means over time are comparable.
BUSY_WINDOW_S = 15.0
HERDING_TRACE_S = 20.0


class Policy(StrEnum):
    """How the upstream of a new flow is chosen."""

    HASH = "hash"
    LEAST_LOADED = "least_loaded"
    PLACED = "placed"


@dataclass(slots=True)
class _Agent:
    placement: Placement
    reported_by_number: dict[int, int] = field(default_factory=dict)
    activity_by_flow: dict[int, float] = field(default_factory=dict)
    request_ends: list[float] = field(default_factory=list)
    even_request_ends: list[float] = field(default_factory=list)
    busy_s: float = 0.0
    even_busy_s: float = 0.0
    is_accepting: bool = True
    is_alive: bool = True


@dataclass(frozen=True, slots=True)
class _Sample:
    at: float
    imbalance: float
    imbalance_by_share: float
    offered_imbalance: float


class PlacementSimulation:
    """Seven agents under one timeline: fill, steady, drain, join with a cold start, crash."""

    def __init__(self, *, policy: Policy, report_age_s: float) -> None:
        self._policy = policy
        self._report_age_s = report_age_s
        self._random = random.Random(SEED)
        self._now = 0.0
        self._flow_ids = itertools.count()
        self._agents: dict[AgentNumber, _Agent] = {}
        self._arrivals: list[tuple[float, int, int | None]] = []
        self._ends: list[tuple[float, int]] = []
        self._owner_by_flow: dict[int, AgentNumber] = {}
        self._reports: list[tuple[float, float, AgentNumber, LoadReport]] = []
        self._changes: list[tuple[float, AgentNumber, SiblingState]] = []
        self.samples: list[_Sample] = []
        self.busy_imbalances: list[float] = []
        self.even_busy_imbalances: list[float] = []
        self.opened = self.ended = self.moved = self.crashed = 0
        self.placed = self.forwarded = self.reconnects_requested = 0
        for number in range(UPSTREAMS):
            self._add_agent(AgentNumber(number))
        self._table = MaglevTable(members=self._agents)
        for _ in range(FLOWS):
            self._arrive(self._random.uniform(0, FILL_S))

    def run(self) -> None:
        """Run the timeline."""
        events = [(DRAIN_AT_S, self._drain), (JOIN_AT_S, self._join), (CRASH_AT_S, self._crash)]
        for step in range(round(END_S / STEP_S)):
            self._now = step * STEP_S
            while events and events[0][0] <= self._now:
                events.pop(0)[1]()
            self._announce_changes()
            self._end_flows()
            self._place_arrivals()
            self._run_requests()
            if step % round(REPORT_INTERVAL_S / STEP_S) == 0 or not self._report_age_s:
                self._send_reports()
            self._deliver_reports()
            self._rebalance()
            self._measure(step)

    def broken_by_plan(self) -> int:
        """Return how many flows broke although they were part of no crash.

        These neither ended, nor moved after a new one was open, nor crashed.
        """
        open_now = sum(len(agent.activity_by_flow) for agent in self._agents.values())
        return self.opened - open_now - self.ended - self.moved - self.crashed

    def samples_between(self, start: float, end: float) -> list[_Sample]:
        """Return the samples of one part of the timeline."""
        return [sample for sample in self.samples if start <= sample.at < end]

    def _add_agent(self, number: AgentNumber) -> None:
        settings = PlacementSettings(connections=CONNECTIONS, slots=SLOTS, seed=number)
        self._agents[number] = _Agent(placement=Placement(settings=settings))
        for other, agent in self._agents.items():
            if other != number and agent.is_alive:
                self._announce(agent, number, SiblingState.LIVE)
                state = SiblingState.LIVE if agent.is_accepting else SiblingState.LEAVING
                self._announce(self._agents[number], other, state)

    def _announce(self, agent: _Agent, number: AgentNumber, state: SiblingState) -> None:
        event = SiblingChanged(agent_number=number, state=state)
        agent.placement.handle(event, self._now)

    def _drain(self) -> None:
        number = AgentNumber(0)
        self._agents[number].is_accepting = False
        self._agents[number].placement.handle(DrainStarted(), self._now)
        self._changes.append((self._now + DETECTION_S, number, SiblingState.LEAVING))

    def _join(self) -> None:
        number = AgentNumber(UPSTREAMS)
        self._add_agent(number)
        self._agents[number].placement.handle(UpstreamStartedCold(), self._now)
        self._changes.append((self._now + DETECTION_S, number, SiblingState.LIVE))

    def _crash(self) -> None:
        number = AgentNumber(1)
        agent = self._agents[number]
        agent.is_accepting = False
        agent.is_alive = False
        self._changes.append((self._now + DETECTION_S, number, SiblingState.GONE))
        for flow in agent.activity_by_flow:
            self.crashed += 1
            del self._owner_by_flow[flow]
            self._arrive(self._now + self._random.uniform(1, 3))
        agent.activity_by_flow.clear()

    def _announce_changes(self) -> None:
        while self._changes and self._changes[0][0] <= self._now:
            _, number, state = self._changes.pop(0)
            for other, agent in self._agents.items():
                if other != number:
                    self._announce(agent, number, state)
            self._table = MaglevTable(members=self._accepting())

    def _arrive(self, at: float, *, replaces: int | None = None) -> None:
        heapq.heappush(self._arrivals, (at, next(self._flow_ids), replaces))

    def _end_flows(self) -> None:
        while self._ends and self._ends[0][0] <= self._now:
            flow = heapq.heappop(self._ends)[1]
            if flow in self._owner_by_flow:
                self._close(flow)
                self.ended += 1
                self._arrive(self._now)

    def _close(self, flow: int) -> None:
        agent = self._agents[self._owner_by_flow.pop(flow)]
        del agent.activity_by_flow[flow]
        agent.placement.handle(FlowClosed(), self._now)

    def _place_arrivals(self) -> None:
        while self._arrivals and self._arrivals[0][0] <= self._now:
            _, flow, replaces = heapq.heappop(self._arrivals)
            if replaces is not None and replaces not in self._owner_by_flow:
                continue
            number = self._choose(flow)
            if not self._agents[number].is_alive:
                # The client sends its first packet again, under the same key.
                heapq.heappush(self._arrivals, (self._now + DETECTION_S, flow, replaces))
                continue
            self._open(flow, number)
            if replaces is not None:
                self._close(replaces)
                self.moved += 1

    def _open(self, flow: int, number: AgentNumber) -> None:
        agent = self._agents[number]
        is_heavy = self._random.random() < HEAVY_SHARE
        agent.activity_by_flow[flow] = HEAVY_ACTIVITY if is_heavy else 1.0
        agent.placement.handle(FlowOpened(), self._now)
        self.opened += 1
        self._owner_by_flow[flow] = number
        heapq.heappush(self._ends, (self._now + self._random.expovariate(1 / MEAN_FLOW_S), flow))

    def _choose(self, flow: int) -> AgentNumber:
        key = flow.to_bytes(8, "big")
        number = AgentNumber(self._table.lookup(hash64(key)))
        agent = self._agents[number]
        self.placed += 1
        if self._policy is Policy.HASH or not agent.is_alive:
            return number
        if self._policy is Policy.LEAST_LOADED:
            return self._least_loaded(agent, number)
        (action,) = agent.placement.handle(HandshakeArrived(key=key), self._now)
        if isinstance(action, ForwardHandshake):
            self.forwarded += 1
            return action.agent_number
        return number

    def _least_loaded(self, agent: _Agent, own: AgentNumber) -> AgentNumber:
        reported = agent.reported_by_number
        flows = {other: reported[other] for other in self._table.members if other in reported}
        flows[own] = len(agent.activity_by_flow)
        return AgentNumber(min(flows, key=lambda other: (flows[other], other != own)))

    def _accepting(self) -> list[AgentNumber]:
        return [number for number, agent in self._agents.items() if agent.is_accepting]

    def _run_requests(self) -> None:
        activity = FLOWS * (1 - HEAVY_SHARE + HEAVY_SHARE * HEAVY_ACTIVITY)
        rate = UPSTREAMS * SLOTS * BUSY_SHARE / activity
        even_share = activity / len(self._accepting())
        for agent in self._agents.values():
            self._run_step(agent.request_ends, sum(agent.activity_by_flow.values()) * rate)
            busy = len(agent.request_ends)
            agent.placement.handle(BusySlotsChanged(busy), self._now)
            self._run_step(agent.even_request_ends, even_share * rate)
            agent.busy_s += busy * STEP_S
            agent.even_busy_s += len(agent.even_request_ends) * STEP_S

    def _run_step(self, ends: list[float], requests_per_s: float) -> None:
        ends[:] = [end for end in ends if end > self._now]
        at = self._random.expovariate(1.0)
        while at < requests_per_s * STEP_S:
            if len(ends) < SLOTS:
                ends.append(self._now + self._random.expovariate(1.0))
            at += self._random.expovariate(1.0)

    def _send_reports(self) -> None:
        due = self._now + self._report_age_s
        for number, agent in self._agents.items():
            if agent.is_alive:
                self._reports.append(
                    (due, self._now, number, agent.placement.load_report(self._now))
                )

    def _deliver_reports(self) -> None:
        while self._reports and self._reports[0][0] <= self._now + STEP_S / 2:
            _, sent_at, number, report = self._reports.pop(0)
            event = SiblingReported(agent_number=number, report=report, age_s=self._now - sent_at)
            for other, agent in self._agents.items():
                if other != number and agent.is_alive:
                    agent.reported_by_number[number] = report.open_flows
                    agent.placement.handle(event, self._now)

    def _rebalance(self) -> None:
        if self._policy is not Policy.PLACED:
            return
        for agent in self._agents.values():
            if not agent.is_alive or agent.placement.next_deadline() > self._now:
                continue
            for action in agent.placement.handle(Tick(), self._now):
                if isinstance(action, RequestReconnect):
                    self._reconnect(agent, action.count)

    def _reconnect(self, agent: _Agent, count: int) -> None:
        flows = self._random.sample(sorted(agent.activity_by_flow), count)
        self.reconnects_requested += count
        for flow in flows:
            self._arrive(self._now + self._random.uniform(0.1, 2.0), replaces=flow)

    def _measure(self, step: int) -> None:
        if self._now < STEADY_AT_S:
            return
        accepting = [self._agents[number] for number in self._accepting()]
        flows = [len(agent.activity_by_flow) for agent in accepting]
        shares = [agent.placement.load_report(self._now).slow_start_share for agent in accepting]
        mean_by_share = sum(flows) / sum(shares)
        by_share = max(n / share for n, share in zip(flows, shares, strict=True))
        offered = [sum(agent.activity_by_flow.values()) for agent in accepting]
        self.samples.append(
            _Sample(
                at=self._now,
                imbalance=_imbalance([*flows]),
                imbalance_by_share=by_share / mean_by_share,
                offered_imbalance=_imbalance(offered),
            )
        )
        if step % round(BUSY_WINDOW_S / STEP_S) == 0:
            self._measure_busy(accepting)

    def _measure_busy(self, accepting: list[_Agent]) -> None:
        self.busy_imbalances.append(_imbalance([agent.busy_s for agent in accepting]))
        self.even_busy_imbalances.append(_imbalance([agent.even_busy_s for agent in accepting]))
        for agent in self._agents.values():
            agent.busy_s = 0.0
            agent.even_busy_s = 0.0


def _imbalance(values: list[float]) -> float:
    return max(values) * len(values) / sum(values)


class PlacementBenchmark(Benchmark):
    """Compares placement with a plain hash and with the least loaded of all upstreams."""

    name = "placement"

    def run(self) -> Mapping[str, Figure]:
        """Return the worst imbalances, and a table by policy and age of the load reports."""
        table: dict[str, Figure] = {}
        worst: dict[Policy, list[float]] = {policy: [] for policy in Policy}
        unweighted: list[float] = []
        ages = (0.0, 1.0, 5.0)
        cases = itertools.product((Policy.LEAST_LOADED, Policy.PLACED), ages)
        for policy, age_s in [(Policy.HASH, 0.0), *cases]:
            simulation = PlacementSimulation(policy=policy, report_age_s=age_s)
            simulation.run()
            table[f"{policy}_age_{age_s:g}s"] = self._describe(simulation)
            worst[policy].append(max(item.imbalance_by_share for item in simulation.samples))
            if policy is Policy.PLACED:
                unweighted.append(max(item.imbalance for item in simulation.samples))
            if policy is Policy.LEAST_LOADED:
                trace = simulation.samples_between(CRASH_AT_S, CRASH_AT_S + HERDING_TRACE_S)
                table[f"herding_trace_age_{age_s:g}s"] = [
                    round(item.imbalance, 3) for item in trace[:: round(1 / STEP_S)]
                ]
        return {
            "imbalance_hash": round(max(worst[Policy.HASH]), 3),
            "imbalance_placed": round(max(worst[Policy.PLACED]), 3),
            "imbalance_placed_unweighted": round(max(unweighted), 3),
            "placement": table,
        }

    def _describe(self, simulation: PlacementSimulation) -> Figure:
        parts = {
            "steady": (STEADY_AT_S, DRAIN_AT_S),
            "drain": (DRAIN_AT_S, JOIN_AT_S),
            "join": (JOIN_AT_S, CRASH_AT_S),
            "crash": (CRASH_AT_S, END_S),
        }
        figures: dict[str, Figure] = {}
        for name, (start, end) in parts.items():
            samples = simulation.samples_between(start, end)
            outside = [item.at for item in samples if item.imbalance > BOUND]
            within_s = outside[-1] + STEP_S - start if outside else 0.0
            never = within_s >= end - start - STEP_S
            figures[name] = {
                "max_by_share": round(max(item.imbalance_by_share for item in samples), 3),
                "max": round(max(item.imbalance for item in samples), 3),
                "end": round(samples[-1].imbalance, 3),
                "within_bound_after_s": "not reached" if never else round(within_s, 1),
            }
        offers = [item.offered_imbalance for item in simulation.samples]
        # "even" is the same process of requests, offered evenly: no placement can improve on it.
        figures["offered_requests_median"] = round(median(offers), 3)
        figures["busy_slots_median"] = round(median(simulation.busy_imbalances), 3)
        figures["busy_slots_even_median"] = round(median(simulation.even_busy_imbalances), 3)
        figures["broken_flows_planned"] = simulation.broken_by_plan()
        figures["broken_flows_crash"] = simulation.crashed
        figures["asked_to_reconnect"] = simulation.reconnects_requested
        figures["forwarded_share"] = round(simulation.forwarded / simulation.placed, 3)
        return figures
