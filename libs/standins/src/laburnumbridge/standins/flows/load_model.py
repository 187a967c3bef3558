"""A load on upstreams of different speeds, played without a network on simulated time.

``python -m laburnumbridge.standins.flows.load_model`` prints what callers get from placement by
counts and from placement by expected work.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from laburnumbridge.flows import Candidate
from laburnumbridge.flows import FlowKey
from laburnumbridge.flows import UpstreamSelector
from laburnumbridge.flows import WorkEstimator
from laburnumbridge.flows.peer_datagrams import DatagramKind
from laburnumbridge.flows.peer_datagrams import LoadReport
from laburnumbridge.flows.peer_datagrams import WorkReport
from laburnumbridge.flows.peer_datagrams import decode_load
from laburnumbridge.flows.peer_datagrams import decode_load_detail
from laburnumbridge.forwarding.load_reporter import REPORT_INTERVAL_S
from laburnumbridge.forwarding.load_reporter import LoadReporter
from laburnumbridge.forwarding.network import DatagramPort

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from laburnumbridge.forwarding.endpoints import Endpoint

LATENCY_S = 0.001
"""One way between any two VMs."""
QUEUE_LIMIT = 8
"""Requests that an upstream queues; it rejects any beyond."""
MAX_HANDOVERS = 3
MAX_TRIES = 6
TIMEOUT_S = 3.0
FLOW_REQUESTS_PER_S = 2.0
FLOW_LIFE_S = 12.0
LONG_REQUEST_SHARE = 0.03
LONG_REQUEST_FACTOR = 7.0
COST_SHAPE = 3.0
"""Shape of the gamma distribution of the costs, of which 4 % are below a quarter of the mean."""
UPKEEP_S = 0.05
UNEVEN_SPEEDS = (0.7, 0.7, 1.7)


@dataclass(frozen=True, kw_only=True, slots=True)
class Kind:
    """A kind of requests: its share of all, its usual work, and whether its flows are long."""

    name: str
    share: float
    work_s: float
    is_long: bool


KINDS = (
    Kind(name="read", share=578 / 793, work_s=0.019, is_long=True),
    Kind(name="write", share=165 / 793, work_s=0.025, is_long=False),
    Kind(name="download", share=50 / 793, work_s=0.007, is_long=False),
)


@dataclass(kw_only=True, slots=True)
class Results:
    """What callers got: the latency of each request, and requests that got no answer."""

    seconds: list[float] = field(default_factory=list)
    unanswered: int = 0
    rejections: int = 0

    @property
    def mean_s(self) -> float:
        """Mean latency of the answered requests."""
        return sum(self.seconds) / len(self.seconds)

    def percentile_s(self, share: float) -> float:
        """Return the latency that ``share`` of the answered requests don't exceed."""
        return sorted(self.seconds)[min(int(share * len(self.seconds)), len(self.seconds) - 1)]

    def share_within(self, seconds: float) -> float:
        """Return the share of all requests that were answered within ``seconds``."""
        in_time = sum(each <= seconds for each in self.seconds)
        return in_time / (len(self.seconds) + self.unanswered)


@dataclass(kw_only=True, slots=True, eq=False)
class _Request:
    kind: Kind
    work: float
    sent_at: float
    flow: _Flow
    tries: int = 0


@dataclass(kw_only=True, slots=True, eq=False)
class _Flow:
    key: FlowKey
    kind: Kind
    balancer: str
    ends_at: float
    request: _Request | None = None
    agent: _Agent | None = None
    tried: tuple[str, ...] = ()


class _Port(DatagramPort):
    def __init__(self, deliver: Callable[[bytes, str], None]) -> None:
        self._deliver = deliver

    def start(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""

    def send(self, datagram: bytes, endpoint: Endpoint) -> bool:
        """Deliver a report."""
        self._deliver(datagram, endpoint[0])
        return True


class _Agent:
    """An agent and its upstream of ``slots`` slots; requests run in order of arrival."""

    def __init__(self, *, address: str, domain: str, speed: float, slots: int, seed: int) -> None:
        self.address = address
        self.domain = domain
        self.speed = speed
        self.slots = slots
        self.estimator = WorkEstimator(slots=slots)
        self.selector = UpstreamSelector(seed=seed, failure_domain=domain)
        self.reporter: LoadReporter
        self.running = 0
        self.queue: deque[_Request] = deque()
        self.due: set[FlowKey] = set()
        self.held: list[_Flow] = []
        self.open_flows = 0

    @property
    def busy(self) -> int:
        return self.running + len(self.queue) + len(self.due)

    def wait_s(self, now: float) -> float:
        return self.estimator.expected_wait_s(now, due=len(self.due) + len(self.held))

    def report(self, now: float) -> LoadReport:
        work = WorkReport(
            wait_s=self.wait_s(now),
            work_s=self.estimator.expected_s(),
            demand=self.estimator.demand(now),
            samples=self.estimator.samples,
        )
        return LoadReport(
            busy=self.busy,
            open_flows=self.open_flows,
            slots=self.slots,
            is_available=True,
            work=work,
        )


class LoadModel:
    """Plays requests through selectors, reporters and estimators of balancers and agents.

    ``utilization`` is the work of all requests over what the upstreams can do. Without
    ``by_work`` no process requests work reports, so that flows are placed by counts.
    ``report_loss`` maps the time to the share of reports that are lost.
    """

    def __init__(
        self,
        *,
        by_work: bool,
        utilization: float,
        speeds: Sequence[float] = UNEVEN_SPEEDS,
        upstreams: int = 34,
        slots: int = 1,
        balancers: int = 15,
        seed: int = 1,
        report_delay_s: float = LATENCY_S,
        lost_reports: tuple[float, float] = (0.0, 0.0),
    ) -> None:
        self._by_work = by_work
        self._random = random.Random(seed)
        self._report_delay_s = report_delay_s
        self._lost_reports = lost_reports
        self.now = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.agents = {
            f"10.2.0.{number}": _Agent(
                address=f"10.2.0.{number}",
                domain="abc"[number % 3],
                speed=speeds[number % len(speeds)],
                slots=slots,
                seed=seed * 1_000 + number,
            )
            for number in range(upstreams)
        }
        self.balancers = {
            f"10.1.0.{number}": UpstreamSelector(
                seed=seed * 2_000 + number, failure_domain="abc"[number % 3]
            )
            for number in range(balancers)
        }
        self._candidates = [
            Candidate(agent=agent.address, failure_domain=agent.domain, slots=slots, slow_start=1.0)
            for agent in self.agents.values()
        ]
        capacity = sum(agent.speed * slots for agent in self.agents.values())
        factor = 1 + LONG_REQUEST_SHARE * (LONG_REQUEST_FACTOR - 1)
        work_s = factor * sum(kind.share * kind.work_s for kind in KINDS)
        self._requests_per_s = utilization * capacity / work_s
        self.results_by_kind = {kind.name: Results() for kind in KINDS}
        self.other_domain_placements = 0
        self.placements = 0
        for agent in self.agents.values():
            agent.reporter = LoadReporter(
                port=_Port(lambda data, to, agent=agent: self._report(agent, data, to)),  # type: ignore[misc]
                peer_port=1,
            )
            offset = self._random.random() * REPORT_INTERVAL_S
            self._after(offset, lambda agent=agent: self._tick(agent))  # type: ignore[misc]
            self._after(offset, lambda agent=agent: self._upkeep(agent))  # type: ignore[misc]

    @property
    def results(self) -> Results:
        """The results of all kinds together."""
        total = Results()
        for results in self.results_by_kind.values():
            total.seconds += results.seconds
            total.unanswered += results.unanswered
            total.rejections += results.rejections
        return total

    def run(self, seconds: float) -> None:
        """Play ``seconds`` of load; most long flows are opened in the first second."""
        for kind in KINDS:
            rate = self._requests_per_s * kind.share
            if not kind.is_long:
                self._arrive(kind, rate, seconds)
                continue
            for _ in range(round(rate / FLOW_REQUESTS_PER_S)):
                self._after(self._random.random(), lambda kind=kind: self._open_long(kind))  # type: ignore[misc]
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def _after(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + seconds, next(self._order), action))

    def _arrive(self, kind: Kind, rate: float, seconds: float) -> None:
        at = self._random.expovariate(rate)
        while at < seconds:
            self._after(at, lambda: self._send_on_new_flow(self._request(kind, None)))
            at += self._random.expovariate(rate)

    def _open_long(self, kind: Kind) -> None:
        ends_at = self.now + self._random.expovariate(1 / FLOW_LIFE_S)
        self._send_on_new_flow(self._request(kind, ends_at))

    def _request(self, kind: Kind, ends_at: float | None) -> _Request:
        cost = self._random.gammavariate(COST_SHAPE, 1 / COST_SHAPE)
        if self._random.random() < LONG_REQUEST_SHARE:
            cost *= LONG_REQUEST_FACTOR
        flow = self._flow(kind, self.now if ends_at is None else ends_at)
        return _Request(kind=kind, work=cost * kind.work_s, sent_at=self.now, flow=flow)

    def _flow(self, kind: Kind, ends_at: float) -> _Flow:
        return _Flow(
            key=FlowKey(next(self._order).to_bytes(12, "big")),
            kind=kind,
            balancer=self._random.choice(list(self.balancers)),
            ends_at=ends_at,
        )

    def _send_on_new_flow(self, request: _Request) -> None:
        flow = request.flow
        flow.request = request
        address = self.balancers[flow.balancer].choose(
            self._candidates, is_long=flow.kind.is_long, now=self.now
        )
        assert address is not None
        self._send(flow.balancer, self.balancers[flow.balancer], address)
        self._after(LATENCY_S, lambda: self._on_opening(self.agents[address], flow))

    def _send(self, sender: str, selector: UpstreamSelector, address: str) -> None:
        selector.on_sent(address, self.now)
        agent = self.agents[address]
        agent.reporter.on_packet(sender, self.now)
        if self._by_work:
            agent.reporter.on_detail_request(sender, self.now)

    def _on_opening(self, agent: _Agent, flow: _Flow) -> None:
        is_busy = agent.busy >= agent.slots and len(flow.tried) < MAX_HANDOVERS
        if is_busy and not self._is_quicker_here(agent, flow) and self._hand_over(agent, flow):
            return
        if agent.busy >= agent.slots + 1:
            agent.held.append(flow)
        else:
            self._admit(agent, flow)

    def _is_quicker_here(self, agent: _Agent, flow: _Flow) -> bool:
        work_s = agent.estimator.expected_s()
        if work_s is None or agent.busy >= agent.slots + 1:
            return False
        return agent.selector.is_quicker_here(
            self._candidates,
            own_s=agent.wait_s(self.now) + work_s,
            now=self.now,
            excluded=(agent.address, *flow.tried),
        )

    def _hand_over(self, agent: _Agent, flow: _Flow, *, to_idle: bool = False) -> bool:
        excluded = (agent.address, *flow.tried)
        if to_idle:
            address = agent.selector.choose_idle(self._candidates, now=self.now, excluded=excluded)
        else:
            address = agent.selector.choose(
                self._candidates, is_long=False, now=self.now, excluded=excluded
            )
        if address is None:
            return False
        flow.tried = (*flow.tried, agent.address)
        self._send(agent.address, agent.selector, address)
        self._after(LATENCY_S, lambda: self._on_opening(self.agents[address], flow))
        return True

    def _admit(self, agent: _Agent, flow: _Flow) -> None:
        self.placements += 1
        balancer_domain = "abc"[int(flow.balancer.rsplit(".")[-1]) % 3]
        self.other_domain_placements += agent.domain != balancer_domain
        flow.agent = agent
        agent.due.add(flow.key)
        agent.open_flows += 1
        agent.estimator.on_flow_opened(flow.kind.name, self.now)
        request = flow.request
        assert request is not None
        self._after(4 * LATENCY_S, lambda: self._on_request(agent, request))

    def _on_request(self, agent: _Agent, request: _Request) -> None:
        agent.due.discard(request.flow.key)
        agent.reporter.on_packet(request.flow.balancer, self.now)
        agent.estimator.on_request_complete(request.flow.key, request.kind.name, self.now)
        if agent.running < agent.slots:
            self._run(agent, request)
        elif len(agent.queue) < QUEUE_LIMIT:
            agent.queue.append(request)
        else:
            agent.estimator.on_answer_begun(request.flow.key, self.now)
            self._end_flow(agent, request.flow)
            self.results_by_kind[request.kind.name].rejections += 1
            self._retry(request)

    def _retry(self, request: _Request) -> None:
        request.tries += 1
        if request.tries > MAX_TRIES or self.now - request.sent_at > TIMEOUT_S:
            self.results_by_kind[request.kind.name].unanswered += 1
            return
        request.flow = self._flow(request.kind, request.flow.ends_at)
        self._after(2 * LATENCY_S, lambda: self._send_on_new_flow(request))

    def _run(self, agent: _Agent, request: _Request) -> None:
        agent.running += 1
        self._after(request.work / agent.speed, lambda: self._on_answer(agent, request))

    def _on_answer(self, agent: _Agent, request: _Request) -> None:
        agent.running -= 1
        agent.estimator.on_answer_begun(request.flow.key, self.now)
        results = self.results_by_kind[request.kind.name]
        seconds = self.now + 2 * LATENCY_S - request.sent_at
        if seconds <= TIMEOUT_S:
            results.seconds.append(seconds)
        else:
            results.unanswered += 1
        if agent.queue:
            self._run(agent, agent.queue.popleft())
        flow = request.flow
        if self.now >= flow.ends_at:
            self._end_flow(agent, flow)
            if flow.kind.is_long:
                self._after(0.0, lambda: self._open_long(flow.kind))
        else:
            gap_s = max(self._random.expovariate(FLOW_REQUESTS_PER_S) - seconds, LATENCY_S)
            self._after(gap_s, lambda: self._next_request(agent, flow))
        while agent.held and agent.busy < agent.slots + 1:
            self._admit(agent, agent.held.pop())

    def _next_request(self, agent: _Agent, flow: _Flow) -> None:
        request = self._request(flow.kind, flow.ends_at)
        request.flow = flow
        self._send(flow.balancer, self.balancers[flow.balancer], agent.address)
        self._after(2 * LATENCY_S, lambda: self._on_request(agent, request))

    def _end_flow(self, agent: _Agent, flow: _Flow) -> None:
        agent.open_flows -= 1
        agent.estimator.on_flow_closed(flow.kind.name, self.now)

    def _tick(self, agent: _Agent) -> None:
        agent.reporter.send(agent.report(self.now), self.now)
        agent.reporter.expire(self.now)
        self._after(REPORT_INTERVAL_S, lambda: self._tick(agent))

    def _upkeep(self, agent: _Agent) -> None:
        while agent.held:
            flow = agent.held[-1]
            flow.tried = ()
            if not self._hand_over(agent, flow, to_idle=True):
                break
            agent.held.pop()
        self._after(UPKEEP_S, lambda: self._upkeep(agent))

    def _report(self, agent: _Agent, datagram: bytes, recipient: str) -> None:
        if self._lost_reports[0] <= self.now < self._lost_reports[1]:
            return
        is_detail = datagram[0] == DatagramKind.LOAD_DETAIL
        report = decode_load_detail(datagram) if is_detail else decode_load(datagram)
        selector = self.balancers.get(recipient) or self.agents[recipient].selector
        self._after(
            self._report_delay_s,
            lambda: selector.on_load_report(agent.address, report, self.now),
        )


def main() -> None:
    """Print the results of both placements at three utilizations."""
    print("load  placement  mean ms  p95 ms  p99 ms  in 250 ms  rejected  other domain")
    for utilization in (0.5, 0.7, 0.9):
        for by_work in (False, True):
            model = LoadModel(by_work=by_work, utilization=utilization)
            model.run(30.0)
            results = model.results
            print(
                f"{utilization:4}  {'work' if by_work else 'counts':9}"
                f"  {1000 * results.mean_s:7.1f}  {1000 * results.percentile_s(0.95):6.0f}"
                f"  {1000 * results.percentile_s(0.99):6.0f}  {results.share_within(0.25):9.4f}"
                f"  {results.rejections:8}  {model.other_domain_placements / model.placements:.2f}"
            )


if __name__ == "__main__":
    main()
