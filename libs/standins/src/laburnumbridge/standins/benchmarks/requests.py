"""Requests under loss, crashes and changes of the agent set."""

from __future__ import annotations

import heapq
import itertools
import time
from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import ClassVar

from hdrh.histogram import HdrHistogram

from laburnumbridge import requests as rq
from laburnumbridge.cli.benchmark import Benchmark
from laburnumbridge.core import Choice
from laburnumbridge.core import Incarnation
from laburnumbridge.core import PlanName
from laburnumbridge.core import ProcessId
from laburnumbridge.core import Refusal
from laburnumbridge.core import RefusalReason
from laburnumbridge.core import RequestId
from laburnumbridge.standins.fake_network import FakeNetwork

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from laburnumbridge.cli.benchmark import Figure

SCHEDULES = 12
AGENTS = 5
SIMULATED_S = 240.0
SETTLE_S = 30.0  # every send has been answered by then
OPERATIONS_PER_S = 20.0
FAULT_EVERY_S = 20.0
DOWNTIME_S = 4.0
PARTITION_S = 50.0  # long enough for each side to regard its view as settled
VIEW_LAG_S = 3.0
DEADLINE_S = 2.0
TICK_S = 0.05
SERVICE_TIME_S = 0.05
MAX_SENDS = 5
LOST_GUESTS = 0.1  # share of sends whose guest loses its connection
SHED_SHARE = 0.02
TIMED_REQUESTS = 20_000
PLAN = PlanName("bench")
ANSWER = rq.StoredAnswer(200, (("content-type", "text/plain"),), b"done")


@dataclass(frozen=True, slots=True)
class Forwarded:
    """A request on the way to a sibling."""

    arrival: rq.RequestArrived
    origin: rq.AgentId
    origin_id: RequestId
    attempt: int


@dataclass(frozen=True, slots=True)
class Addressed:
    """An event for one incarnation of an agent."""

    agent: rq.AgentId
    event: rq.RequestEvent


@dataclass(slots=True)
class Operation:
    """What one guest wants done, over all of its sends."""

    name: str
    method: str
    key: str | None
    first_sent_at: float
    sends: int = 0
    whole: bool = False
    refused: bool = False
    ended: bool = False


class RequestFleet:
    """Agents, their upstreams and guests on a fake clock, under seeded faults.

    ``at_most_once`` False is the baseline: every request counts as idempotent, has no key, and
    is retried on another upstream.
    """

    def __init__(self, *, seed: int, at_most_once: bool, simulated_s: float = SIMULATED_S) -> None:
        self._choice = Choice(seed=seed)
        self._at_most_once = at_most_once
        self._simulated_s = simulated_s
        self._links: FakeNetwork[Forwarded | Addressed] = FakeNetwork(
            seed=seed, jitter_s=0.05, loss=0.02, doubled=0.05
        )
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.now = 0.0
        self.runs: Counter[str] = Counter()
        self.runs_by_send: Counter[str] = Counter()
        self.false_not_run: set[str] = set()
        self.operations: dict[str, Operation] = {}
        self.finals: Counter[str] = Counter()
        self._agents: dict[str, rq.RequestCoordinator] = {}
        self._arrivals: dict[RequestId, rq.RequestArrived] = {}
        self._origins: dict[tuple[rq.AgentId, RequestId], Forwarded] = {}
        self._upstream_up = {f"a{number}": True for number in range(AGENTS)}
        self._incarnations: Counter[str] = Counter()
        self._view_version = 0
        self._cut_off: frozenset[str] = frozenset()
        self._pending: dict[str, set[RequestId]] = defaultdict(set)
        for name in self._upstream_up:
            self._start_agent(name)

    def run(self) -> None:
        """Play the whole schedule."""
        for number in range(int(self._simulated_s * OPERATIONS_PER_S)):
            self._after(self._choice.fraction() * self._simulated_s, self._operation(number))
        for number in range(1, int(self._simulated_s / FAULT_EVERY_S)):
            self._after(number * FAULT_EVERY_S, self._inject_fault)
        end = self._simulated_s + SETTLE_S
        while self.now < end:
            self._step(min(self.now + TICK_S, end))

    @property
    def doubled_requests(self) -> int:
        """Return the non-idempotent operations that ran more than once."""
        unsafe = (op for op in self.operations.values() if op.method == "POST")
        return sum(self.runs[op.name] > 1 for op in unsafe)

    @property
    def lost_answers(self) -> int:
        """Return the operations that ran but whose guest never got the whole answer."""
        return sum(self.runs[op.name] > 0 and not op.whole for op in self.operations.values())

    def _step(self, until: float) -> None:
        while True:
            timer_at = self._timers[0][0] if self._timers else until + 1
            link_at = self._links.next_at()
            if min(timer_at, until + 1 if link_at is None else link_at) > until:
                break
            if link_at is not None and link_at <= timer_at:
                self.now = max(self.now, link_at)
                for delivery in self._links.take_due(link_at):
                    self._deliver(delivery.destination, delivery.message)
                continue
            self.now = max(self.now, timer_at)
            heapq.heappop(self._timers)[2]()
        self.now = until
        for agent in list(self._agents.values()):
            self._give(agent.own, rq.Tick())

    def _after(self, delay_s: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._timers, (self.now + delay_s, next(self._order), call))

    def _operation(self, number: int) -> Callable[[], None]:
        name = f"op{number}"
        kind = self._choice.below(4)
        key = name if kind == 0 else None
        method = "GET" if kind == 3 else "POST"

        def begin() -> None:
            self.operations[name] = Operation(name, method, key, self.now)
            self._send(name)

        return begin

    def _send(self, name: str) -> None:
        operation = self.operations[name]
        operation.ended = False
        operation.sends += 1
        live = sorted(self._agents)
        if not live:
            return
        agent = self._agents[self._choice.one_of(live)].own
        request_id = RequestId(f"{name}.{operation.sends}")
        # A guest marks its sends, but for one in twenty that leaves out the header.
        age_s = None if int(name[2:]) % 20 == 0 else self.now - operation.first_sent_at
        arrival = rq.RequestArrived(
            request_id=request_id,
            method=operation.method if self._at_most_once else "GET",
            plan=PLAN,
            deadline_s=DEADLINE_S,
            key=operation.key if self._at_most_once else None,
            first_attempt_age_s=age_s,
        )
        self._pending[agent.process_id].add(request_id)
        self._arrivals[request_id] = arrival
        self._give(agent, arrival)
        if self._choice.fraction() < LOST_GUESTS:
            self._after(self._choice.fraction() * 0.2, lambda: self._leave(agent, request_id))

    def _leave(self, agent: rq.AgentId, request_id: RequestId) -> None:
        if request_id in self._pending[agent.process_id]:
            self._give(agent, rq.GuestGone(request_id))

    def _end_send(self, agent: rq.AgentId, action: rq.FinalAnswer | None, name: str) -> None:
        operation = self.operations[name]
        if operation.whole or operation.ended:
            return
        operation.ended = True
        self.finals[type(action).__name__] += 1
        operation.refused = isinstance(action, rq.AnswerRefused)
        operation.whole = isinstance(action, rq.FinishAnswer | rq.ReplayAnswer)
        # A refusal covers all sends of a keyed request, and one send of any other.
        ran = self.runs[name] if operation.key else self.runs_by_send[f"{name}.{operation.sends}"]
        if operation.refused and ran > 0:
            self.false_not_run.add(name)
        repeatable = operation.key is not None or operation.method == "GET"
        if not operation.whole and repeatable and operation.sends < MAX_SENDS:
            self._after(0.5 + 4 * self._choice.fraction(), lambda: self._send(name))

    def _give(self, agent: rq.AgentId, event: rq.RequestEvent) -> None:
        coordinator = self._agents.get(agent.process_id)
        if coordinator is None or coordinator.own != agent:
            return
        for action in coordinator.handle(event, self.now):
            self._apply(agent, action)

    def _apply(self, agent: rq.AgentId, action: rq.RequestAction) -> None:
        match action:
            case rq.AskAdmission(request_id):
                self._later(agent, rq.AdmissionStarted(request_id), 0.001)
            case rq.SendUpstream(request_id):
                self._call_upstream(agent, request_id)
            case rq.ForwardToSibling():
                self._forward(agent, action)
            case rq.SendKeyInquiry() | rq.SendKeyReply():
                self._link(agent, action.sibling, Addressed(action.sibling, action.message))
            case rq.StartAnswer(request_id, status):
                self._tell_origin(agent, request_id, status)
            case (
                rq.FinishAnswer()
                | rq.CutAnswer()
                | rq.ReplayAnswer()
                | rq.AnswerOutcomeUnknown()
                | rq.AnswerRefused()
                | rq.AnswerStatus()
                | rq.DropAnswer()
            ):
                self._finish(agent, action)

    def _later(self, agent: rq.AgentId, event: rq.RequestEvent, delay_s: float) -> None:
        self._after(delay_s, lambda: self._give(agent, event))
        if self._choice.fraction() < 0.02:
            self._after(delay_s * 2, lambda: self._give(agent, event))

    def _call_upstream(self, agent: rq.AgentId, request_id: RequestId) -> None:
        name = agent.process_id
        if not self._upstream_up[name]:
            self._later(agent, rq.UpstreamNotConnected(request_id), 0.001)
            return
        self._later(agent, rq.UpstreamBytesSent(request_id), 0.001)
        if self._choice.fraction() < SHED_SHARE:
            self._later(agent, rq.UpstreamHeaders(request_id, 503, 1.0), 0.002)
            return
        self._after(SERVICE_TIME_S / 2, lambda: self._run_upstream(agent, request_id))

    def _run_upstream(self, agent: rq.AgentId, request_id: RequestId) -> None:
        if not self._upstream_up[agent.process_id]:
            self._later(agent, rq.UpstreamLost(request_id), 0.001)
            return
        self.runs[request_id.split(".")[0]] += 1
        self.runs_by_send[request_id.split("/")[0]] += 1
        delay_s = SERVICE_TIME_S * self._choice.fraction()
        self._after(delay_s, lambda: self._answer_upstream(agent, request_id))

    def _answer_upstream(self, agent: rq.AgentId, request_id: RequestId) -> None:
        # Some connections end between the run and the answer, or within the answer.
        fate = self._choice.fraction()
        if fate < 0.02 or not self._upstream_up[agent.process_id]:
            self._later(agent, rq.UpstreamLost(request_id), 0.001)
            return
        self._later(agent, rq.UpstreamHeaders(request_id, 200), 0.001)
        lost = fate < 0.03
        end = rq.UpstreamLost(request_id) if lost else rq.UpstreamCompleted(request_id, ANSWER)
        self._later(agent, end, 0.003)

    def _forward(self, agent: rq.AgentId, action: rq.ForwardToSibling) -> None:
        original = self._arrivals[action.request_id]
        arrival = replace(
            original,
            request_id=action.forward_id,
            deadline_s=action.remaining_ms / 1000,
            role=action.role,
            addressee=action.sibling,
        )
        self._arrivals[action.forward_id] = arrival
        if action.sibling.process_id not in self._agents:
            event = rq.SiblingNotConnected(action.request_id, action.attempt)
            self._later(agent, event, 0.001)
            return
        message = Forwarded(arrival, agent, action.request_id, action.attempt)
        self._link(agent, action.sibling, message)

    def _link(self, source: rq.AgentId, to: rq.AgentId, message: Forwarded | Addressed) -> None:
        self._links.send(
            source=source.process_id, destination=to.process_id, message=message, now=self.now
        )

    def _deliver(self, name: str, message: Forwarded | Addressed) -> None:
        coordinator = self._agents.get(name)
        if isinstance(message, Addressed):
            self._give(message.agent, message.event)
        elif coordinator is not None:
            self._origins[coordinator.own, message.arrival.request_id] = message
            self._give(coordinator.own, message.arrival)

    def _tell_origin(self, agent: rq.AgentId, request_id: RequestId, status: int) -> None:
        origin = self._origins.get((agent, request_id))
        if origin is not None:
            event = rq.SiblingHeaders(origin.origin_id, origin.attempt, status)
            self._link(agent, origin.origin, Addressed(origin.origin, event))

    def _finish(self, agent: rq.AgentId, action: rq.FinalAnswer) -> None:
        origin = self._origins.get((agent, action.request_id))
        if origin is None:
            self._pending[agent.process_id].discard(action.request_id)
            self._end_send(agent, action, action.request_id.split(".")[0])
            return
        where, request_id, attempt = origin.origin, origin.origin_id, origin.attempt
        event: rq.RequestEvent = rq.SiblingLost(request_id, attempt)
        match action:
            case rq.ReplayAnswer(_, answer):
                headers = rq.SiblingHeaders(request_id, attempt, answer.status)
                self._link(agent, where, Addressed(where, headers))
                event = rq.SiblingCompleted(request_id, attempt, answer)
            case rq.FinishAnswer():
                event = rq.SiblingCompleted(request_id, attempt, ANSWER)
            case rq.AnswerRefused(_, refusal):
                event = rq.SiblingRefused(request_id, attempt, refusal)
        self._link(agent, where, Addressed(where, event))

    def _inject_fault(self) -> None:
        name = f"a{self._choice.below(AGENTS)}"
        kind = self._choice.below(5)
        if kind == 0:
            self._cut_agents(frozenset({name, f"a{self._choice.below(AGENTS)}"}))
        elif kind <= 2:
            self._upstream_up[name] = False
            self._after(DOWNTIME_S, lambda: self._upstream_up.update({name: True}))
        elif name in self._agents:
            self._crash_agent(name)

    def _cut_agents(self, side: frozenset[str]) -> None:
        self._links.cut(side, self._upstream_up.keys() - side)
        self._cut_off = side
        self._spread_view()
        self._after(PARTITION_S, self._heal)

    def _heal(self) -> None:
        self._links.heal()
        self._cut_off = frozenset()
        self._spread_view()

    def _crash_agent(self, name: str) -> None:
        agent = self._agents.pop(name).own
        for request_id in sorted(self._pending.pop(name, ())):
            operation = request_id.split(".")[0]
            self._after(1.0, lambda op=operation: self._end_send(agent, None, op))  # type: ignore[misc]
        self._spread_view()
        self._after(DOWNTIME_S, lambda: self._start_agent(name))

    def _start_agent(self, name: str) -> None:
        self._incarnations[name] += 1
        own = rq.AgentId(ProcessId(name), Incarnation(self._incarnations[name]))
        self._agents[name] = rq.RequestCoordinator(own=own, now=self.now)
        self._spread_view()

    def _spread_view(self) -> None:
        self._view_version += 1
        listed = frozenset(ProcessId(name) for name in self._upstream_up)
        live = [agent.own for agent in self._agents.values()]
        for agent in sorted(live):
            side = agent.process_id in self._cut_off
            seen = frozenset(a for a in live if (a.process_id in self._cut_off) == side)
            event = rq.AgentSetChanged(self._view_version, seen, listed)
            self._later(agent, event, VIEW_LAG_S * self._choice.fraction())


class RequestsBenchmark(Benchmark):
    """At most one run, true refusals and whole answers, against retrying everything."""

    name: ClassVar[str] = "requests"

    def run(self) -> Mapping[str, Figure]:
        """Return counts over all schedules, for the coordinator and for the baseline."""
        figures: dict[str, Figure] = {}
        for prefix, at_most_once in (("", True), ("baseline_", False)):
            fleets = [
                RequestFleet(seed=seed, at_most_once=at_most_once) for seed in range(SCHEDULES)
            ]
            for fleet in fleets:
                fleet.run()
            finals = sum((fleet.finals for fleet in fleets), Counter())
            figures[f"{prefix}operations"] = sum(len(fleet.operations) for fleet in fleets)
            figures[f"{prefix}doubled_requests"] = sum(f.doubled_requests for f in fleets)
            figures[f"{prefix}false_not_run"] = sum(len(f.false_not_run) for f in fleets)
            figures[f"{prefix}lost_answers"] = sum(fleet.lost_answers for fleet in fleets)
            figures[f"{prefix}final_answers"] = dict(sorted(finals.items()))
        return {**figures, **_time_coordinator()}


def _time_coordinator() -> dict[str, Figure]:
    histogram = HdrHistogram(1, 1_000_000_000, 3)
    own = rq.AgentId(ProcessId("a0"), Incarnation(1))
    coordinator = rq.RequestCoordinator(own=own, now=0.0)
    refusal = Refusal(reason=RefusalReason.QUEUE_FULL, plan=PLAN)
    for number in range(TIMED_REQUESTS):
        request_id = RequestId(f"r{number}")
        arrival = rq.RequestArrived(
            request_id=request_id,
            method="GET" if number % 2 else "POST",
            plan=PLAN,
            key=None if number % 4 else request_id,
            first_attempt_age_s=0.0,
        )
        events: list[rq.RequestEvent] = [
            arrival,
            rq.AdmissionStarted(request_id),
            rq.UpstreamBytesSent(request_id),
            rq.UpstreamHeaders(request_id, 200),
            rq.UpstreamCompleted(request_id, ANSWER),
            rq.Tick(),
        ]
        if number % 10 == 0:
            events[1:5] = [rq.AdmissionRefused(request_id, refusal)]
        for event in events:
            started_ns = time.perf_counter_ns()
            coordinator.handle(event, number * 0.01)
            histogram.record_value(time.perf_counter_ns() - started_ns)
    return {
        "coordinator_us_median": histogram.get_value_at_percentile(50) / 1000,
        "coordinator_us_p99": histogram.get_value_at_percentile(99) / 1000,
    }
