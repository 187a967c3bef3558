"""Learns how much work requests are at one upstream."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from laburnumbridge.flows.work_observer import WorkObserver

if TYPE_CHECKING:
    from laburnumbridge.flows.flow_packet import FlowKey

MEAN_WEIGHT = 0.02
"""Lowest weight of one answer in a mean, which follows a lasting change within 50 answers."""
SLOWDOWN_WEIGHT = 0.1
"""Weight of one answer in the slowdown, which shows a slow upstream after ten answers."""
MAX_RATIO = 4.0
"""Limit of one answer's ratio to the mean: a request that costs seven times as much as usual would
otherwise move the slowdown by 0.6."""
SLOWDOWN_BY_CHANCE = 2.0
"""A slowdown below this factor counts as 1. Where 3 % of the requests cost seven times as much as
usual, chance alone exceeds a factor of 1.5 with 2 % of the answers and this one with 0.001 %; equal
upstreams must not appear to differ."""
SETTLED_ANSWERS = 8
"""Answers after which a mean is used as a reference; the number kept after a restart."""
QUICK_SHARE = 0.25
"""An answer in less than this share of the usual time isn't a sample, as for the outlier detector:
an upstream that fails its requests at once must not appear fast."""
QUICK_RUN = 50
"""Successive quick answers after which they count. Otherwise an upstream would never be seen to be
fast again after it was slow for long. One that fails all requests is avoided as failing."""
RATE_WINDOW_S = 10.0
"""Time constant of the request rates of open flows."""
RATE_PRIOR_FLOW_S = 1.0
"""Flow seconds of the mean over all routes that are added to those of one route, so that the first
request of a route doesn't give an extreme rate."""
DEMAND_INTERVAL_S = 0.1
"""The demand is computed again after this time, or when a flow has opened or closed."""
ROUTES_LIMIT = 4_096
"""Routes with means of their own: more than the 1,640 of the largest configuration."""
ERROR_RATIOS_LIMIT = 1_024
"""Ratios kept between two collections, which are half a second apart."""


class _RouteWork(msgspec.Struct, kw_only=True):
    """Means of one route; ``requests`` and ``flow_s`` decay with ``RATE_WINDOW_S``."""

    mean_s: float = 0.0
    samples: int = 0
    open_flows: int = 0
    requests: float = 0.0
    flow_s: float = 0.0
    updated_at: float = 0.0

    def advance(self, now: float) -> None:
        elapsed_s = now - self.updated_at
        if elapsed_s <= 0:
            return
        kept = math.exp(-elapsed_s / RATE_WINDOW_S)
        self.requests *= kept
        self.flow_s = self.flow_s * kept + self.open_flows * RATE_WINDOW_S * (1 - kept)
        self.updated_at = now

    def add_sample(self, seconds: float) -> None:
        self.samples += 1
        self.mean_s += (seconds - self.mean_s) * max(1 / self.samples, MEAN_WEIGHT)

    def limit_samples(self, limit: int) -> None:
        self.samples = min(self.samples, limit)


class _RunningRequest(msgspec.Struct, kw_only=True):
    route: str
    started_at: float


class WorkEstimator(WorkObserver):
    """Learns the work of requests by route, the slowdown of the upstream and its demand.

    The time from the last byte of a request to the first byte of its answer includes waiting in the
    upstream's queue. The start is therefore inferred: the upstream runs ``slots`` requests at once,
    in order of arrival. Work is in seconds at this upstream, and times are monotonic seconds.
    """

    def __init__(self, *, slots: int = 0) -> None:
        self.slots = slots
        self.error_ratios: list[float] = []
        self._by_route: dict[str, _RouteWork] = {}
        self._total = _RouteWork()
        self._slowdown = 1.0
        self._quick_answers = 0
        self._running: dict[FlowKey, _RunningRequest] = {}
        self._waiting: dict[FlowKey, str] = {}
        self._demand = 0.0
        self._demand_at = -math.inf

    @property
    def samples(self) -> int:
        """Number of answers in the mean over all routes, at most 8 after a restart."""
        return self._total.samples

    @property
    def slowdown(self) -> float:
        """Recent work in relation to the means, 1 while the difference may be due to chance."""
        is_by_chance = 1 / SLOWDOWN_BY_CHANCE < self._slowdown < SLOWDOWN_BY_CHANCE
        return 1.0 if is_by_chance else self._slowdown

    @property
    def requests(self) -> int:
        """Number of complete requests without an answer."""
        return len(self._running) + len(self._waiting)

    def expected_s(self, route: str | None = None) -> float | None:
        """Return the expected work of a request of ``route``, or None before the first answer.

        Without a route, or for one without answers, it is that of a request of any route.
        """
        work = self._total if route is None else self._by_route.get(route, self._total)
        if not work.samples:
            work = self._total
        return work.mean_s * self.slowdown if work.samples else None

    def expected_wait_s(self, now: float, *, due: int = 0) -> float:
        """Return how long a new request waits: the remaining work over the slots, in seconds.

        ``due`` is the number of requests that are about to arrive. It is 0 before the first answer.
        """
        usual_s = self.expected_s()
        if usual_s is None:
            return 0.0
        remaining_s = due * usual_s
        for request in self._running.values():
            elapsed_s = now - request.started_at
            # Costs vary so much that a request which has run for long is likely to continue.
            remaining_s += max((self.expected_s(request.route) or 0.0) - elapsed_s, elapsed_s / 2)
        for route in self._waiting.values():
            remaining_s += self.expected_s(route) or 0.0
        return remaining_s / max(self.slots, 1)

    def demand(self, now: float) -> float:
        """Return the work of the open flows in seconds per second and slot."""
        if now - self._demand_at < DEMAND_INTERVAL_S:
            return self._demand
        self._demand_at = now
        self._total.advance(now)
        total_rate = self._total.requests / self._total.flow_s if self._total.flow_s else 0.0
        work_s = 0.0
        for route, work in self._by_route.items():
            if work.open_flows:
                work.advance(now)
                requests = work.requests + total_rate * RATE_PRIOR_FLOW_S
                rate = requests / (work.flow_s + RATE_PRIOR_FLOW_S)
                work_s += work.open_flows * rate * (self.expected_s(route) or 0.0)
        self._demand = work_s / max(self.slots, 1)
        return self._demand

    def on_flow_opened(self, route: str, now: float) -> None:
        """Count an open flow."""
        self._change_open_flows(route, 1, now)

    def on_flow_closed(self, route: str, now: float) -> None:
        """Count an open flow no longer."""
        self._change_open_flows(route, -1, now)

    def _change_open_flows(self, route: str, change: int, now: float) -> None:
        for work in (self._route(route), self._total):
            work.advance(now)
            work.open_flows = max(work.open_flows + change, 0)
        self._demand_at = -math.inf

    def on_request_complete(self, flow: FlowKey, route: str, now: float) -> None:
        """Start a request, or let it wait while all slots are taken."""
        for work in (self._route(route), self._total):
            work.advance(now)
            work.requests += 1
        if len(self._running) < max(self.slots, 1):
            self._running[flow] = _RunningRequest(route=route, started_at=now)
        else:
            self._waiting[flow] = route

    def on_answer_begun(self, flow: FlowKey, now: float) -> None:
        """Learn from an answer, and start the request that has waited longest.

        An answer to a waiting request shows no start and is no sample; a rejection is one.
        """
        request = self._running.get(flow)
        if request is not None:
            self._learn(request.route, now - request.started_at)
        self.on_request_ended(flow, now)

    def on_request_ended(self, flow: FlowKey, now: float) -> None:
        """Free the slot of a request."""
        self._waiting.pop(flow, None)
        if self._running.pop(flow, None) is not None and self._waiting:
            first = next(iter(self._waiting))
            route = self._waiting.pop(first)
            self._running[first] = _RunningRequest(route=route, started_at=now)

    def on_restart(self) -> None:
        """Adapt quickly again, since the upstream has started anew."""
        self._relearn(SETTLED_ANSWERS)

    def _relearn(self, samples: int) -> None:
        self._slowdown = 1.0
        for work in (self._total, *self._by_route.values()):
            work.limit_samples(samples)

    def _learn(self, route: str, seconds: float) -> None:
        work = self._route(route)
        reference = work if work.samples >= SETTLED_ANSWERS else self._total
        if reference.samples >= SETTLED_ANSWERS:
            # A slowdown must not make the usual answers after it look quick.
            if seconds < QUICK_SHARE * reference.mean_s * min(self.slowdown, 1.0):
                self._quick_answers += 1
                if self._quick_answers < QUICK_RUN:
                    return
                if self._quick_answers == QUICK_RUN:
                    self._relearn(1)  # the means were wrong
            else:
                self._quick_answers = 0
            ratio = seconds / max(reference.mean_s, 1e-6)
            clipped = min(max(ratio, 1 / MAX_RATIO), MAX_RATIO)
            self._slowdown += (clipped - self._slowdown) * SLOWDOWN_WEIGHT
        expected_s = self.expected_s(route)
        if expected_s and len(self.error_ratios) < ERROR_RATIOS_LIMIT:
            self.error_ratios.append(seconds / expected_s)
        work.add_sample(seconds)
        if work is not self._total:
            self._total.add_sample(seconds)

    def _route(self, route: str) -> _RouteWork:
        work = self._by_route.get(route)
        if work is None:
            if len(self._by_route) >= ROUTES_LIMIT:
                route = ""  # further routes share one mean
                work = self._by_route.get(route)
            if work is None:
                work = self._by_route[route] = _RouteWork()
        return work
