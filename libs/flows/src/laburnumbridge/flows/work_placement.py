"""Placement by expected work among upstreams whose speeds differ."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from laburnumbridge.flows.candidate import Candidate
    from laburnumbridge.flows.received_report import ReceivedReport

UNEVEN_RATIO = 1.8
"""Upstreams are uneven from this ratio of the expected work between the ninth and the first decile.
A cold upstream takes 1.6 times as long, which its entry tells already."""
EVEN_RATIO = 1.4
"""They are even again below this ratio."""
MIN_SAMPLES = 8
MIN_UPSTREAMS = 3
PRIOR_SAMPLES = 8
"""Weight of the fleet's mean in each estimate, in answers, which halves the errors of chance after
the first 8 answers."""
COST_VARIANCE = 1.4
"""Variance of the work of requests in relation to the square of their mean, where 3 % cost seven
times as much as usual. With 1.0, speeds of 0.7 and 1.7 at 34 upstreams show after 8 to 10 answers
in place of 12 to 16, and one of 1,000 fleets of equal upstreams appears uneven after 32."""
SETTLED_SAMPLES = 100
"""Answers that an estimate is worth at most: its weights are at least 0.02."""
CHANCE_DEVIATIONS = 4.0
"""Differences of equal upstreams reach this in one of 30,000 cases. Each process looks at them ten
times a second, and with few reports or answers chance alone gives a ratio of 1.8."""
STALE_WORK_S = 1.0
"""Age from which the wait and the demand in a report are disregarded."""
FORGET_WAIT_S = 0.3
"""Age from which a reported wait tells nothing, about ten times the work of a request. With the
wait alone, less its age, agents whose reports are late seem idle and get the openings of all."""
WORK_TTL_S = 10.0
"""Age from which the expected work in a report is disregarded. The speed of an upstream outlasts
its load, and one that gets no packets for some seconds isn't to be tried again like the mean."""
OTHER_DOMAIN_S = 0.01
"""Added to the expected time in another failure domain: a difference that is less than a report's
age of 20 ms isn't known to be real, and traffic between domains is costly."""
OTHER_DOMAIN_DEMAND = 0.05
SPREAD_SHARE = 0.4
"""Share of the mean work below which differences are decided at random, so that balancers with the
same view don't pick the same upstream."""
SPREAD_FLOWS = 1.0
"""The same for long flows, in flows."""
MIN_FLOW_DEMAND = 0.001
"""Demand of a flow before any is known, so that pending placements count."""


class UnevennessChange(msgspec.Struct, frozen=True, kw_only=True):
    """The upstreams of a service have become uneven, or even again; times are seconds."""

    is_uneven: bool
    slowest_s: float
    fastest_s: float


class UpstreamEstimate(msgspec.Struct, frozen=True, kw_only=True):
    """What the score of an upstream is based on; ``speed`` is relative to the service's mean."""

    work_s: float
    speed: float
    wait_s: float
    demand: float


class _Terms(msgspec.Struct, frozen=True, kw_only=True):
    """What the score of one candidate is made of until the next refresh."""

    work_s: float
    pending_s: float
    flow_demand: float
    other_domain_s: float
    other_domain_demand: float


class WorkPlacement:
    """Scores the upstreams of one service by expected work; the lowest score is the best.

    ``failure_domain`` is that of the process that places flows. ``refresh`` computes what changes
    slowly from all reports; ``score`` takes the rest from the report of one upstream.
    """

    def __init__(self, *, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        self.is_uneven = False
        self._mean_work_s = 0.0
        self._mean_wait_s = 0.0
        self._mean_demand = 0.0
        self._mean_flow_demand = MIN_FLOW_DEMAND
        self._terms_by_agent: dict[str, _Terms] = {}

    def copy(self) -> WorkPlacement:
        """Return a placement with the same state, which a refresh of this one doesn't change."""
        duplicate = WorkPlacement(failure_domain=self._failure_domain)
        # A refresh replaces the mapping of terms and doesn't change it.
        vars(duplicate).update(vars(self))
        return duplicate

    def refresh(
        self,
        candidates: Collection[Candidate],
        received_by_agent: Mapping[str, ReceivedReport],
        now: float,
    ) -> UnevennessChange | None:
        """Compute means and the unevenness again; return what has changed of the latter."""
        work_by_agent = self._estimates(candidates, received_by_agent, now)
        settled = sorted(each for each in work_by_agent.values() if each[1] >= MIN_SAMPLES)
        was_uneven = self.is_uneven
        slowest_s = fastest_s = 0.0
        if len(settled) >= MIN_UPSTREAMS:
            last = len(settled) - 1
            slowest_s = settled[round(0.9 * last)][0]
            fastest_s = settled[round(0.1 * last)][0]
        if was_uneven:
            self.is_uneven = slowest_s > 0.0 and slowest_s >= EVEN_RATIO * fastest_s
        else:
            exceeds_ratio = slowest_s > 0.0 and slowest_s >= UNEVEN_RATIO * fastest_s
            self.is_uneven = exceeds_ratio and not _may_be_chance(settled)
        if self.is_uneven:
            self._refresh_loads(candidates, received_by_agent, now)
            self._terms_by_agent = {
                candidate.agent: self._terms(
                    candidate, self._with_prior(*work_by_agent.get(candidate.agent, (0.0, 0)))
                )
                for candidate in candidates
            }
        if self.is_uneven == was_uneven:
            return None
        return UnevennessChange(is_uneven=self.is_uneven, slowest_s=slowest_s, fastest_s=fastest_s)

    def _estimates(
        self,
        candidates: Collection[Candidate],
        received_by_agent: Mapping[str, ReceivedReport],
        now: float,
    ) -> dict[str, tuple[float, int]]:
        """Return the expected work and the samples of each upstream that has reported them."""
        reported: dict[str, tuple[float, int]] = {}
        for candidate in candidates:
            last = received_by_agent.get(candidate.agent)
            if last is None or last.work is None or now - last.work_reported_at > WORK_TTL_S:
                continue
            if last.work.work_s is not None and last.work.samples:
                reported[candidate.agent] = (last.work.work_s, last.work.samples)
        samples = sum(n for _, n in reported.values())
        if not samples:
            return {}
        self._mean_work_s = sum(work_s * n for work_s, n in reported.values()) / samples
        return reported

    def _with_prior(self, work_s: float, samples: int) -> float:
        total_s = work_s * samples + self._mean_work_s * PRIOR_SAMPLES
        return total_s / (samples + PRIOR_SAMPLES)

    def _refresh_loads(
        self,
        candidates: Collection[Candidate],
        received_by_agent: Mapping[str, ReceivedReport],
        now: float,
    ) -> None:
        waits: list[float] = []
        demands: list[float] = []
        flows_work = 0.0
        flows = 0
        for candidate in candidates:
            last = received_by_agent.get(candidate.agent)
            if last is None or last.work is None or now - last.work_reported_at > STALE_WORK_S:
                continue
            waits.append(last.work.wait_s)
            demands.append(last.work.demand)
            flows_work += last.work.demand * candidate.slots
            flows += last.report.open_flows
        if waits:  # without recent reports the last means are kept
            self._mean_wait_s = sum(waits) / len(waits)
            self._mean_demand = sum(demands) / len(demands)
        if flows:
            self._mean_flow_demand = max(flows_work / flows, MIN_FLOW_DEMAND)

    def _terms(self, candidate: Candidate, work_s: float) -> _Terms:
        slots = max(candidate.slots, 1)
        warm_work_s = work_s / candidate.slow_start
        is_other = candidate.failure_domain != self._failure_domain
        return _Terms(
            work_s=warm_work_s,
            pending_s=warm_work_s / slots,
            flow_demand=self._mean_flow_demand * warm_work_s / self._mean_work_s / slots,
            other_domain_s=OTHER_DOMAIN_S * is_other,
            other_domain_demand=OTHER_DOMAIN_DEMAND * is_other,
        )

    def score(
        self,
        candidate: Candidate,
        received: ReceivedReport | None,
        *,
        pending: int,
        is_long: bool,
        fraction: float,
        now: float,
    ) -> float:
        """Return the expected time (s) of a request, or the projected demand with a long flow.

        ``pending`` counts placements that the report doesn't include, and ``fraction`` in [0, 1) is
        random. Valid after a refresh that has found the upstreams to be uneven.
        """
        terms = self._terms_by_agent.get(candidate.agent)
        if terms is None:
            terms = self._terms(candidate, self._mean_work_s)
        if is_long:
            flows = pending + 1 + fraction * SPREAD_FLOWS
            demand = self._demand(terms, received, now)
            return demand + flows * terms.flow_demand + terms.other_domain_demand
        spread_s = fraction * SPREAD_SHARE * self._mean_work_s
        wait_s = self._wait_s(terms, received, now) + pending * terms.pending_s
        return wait_s + terms.work_s + terms.other_domain_s + spread_s

    def estimate(
        self, candidate: Candidate, received: ReceivedReport | None, now: float
    ) -> UpstreamEstimate:
        """Return what ``score`` is based on, without pending placements; valid like it."""
        terms = self._terms_by_agent.get(candidate.agent)
        if terms is None:
            terms = self._terms(candidate, self._mean_work_s)
        return UpstreamEstimate(
            work_s=terms.work_s,
            speed=self._mean_work_s / terms.work_s,
            wait_s=self._wait_s(terms, received, now),
            demand=self._demand(terms, received, now),
        )

    def _wait_s(self, terms: _Terms, received: ReceivedReport | None, now: float) -> float:
        if received is None:
            return self._mean_wait_s
        age_s = now - received.work_reported_at
        if received.work is None or age_s > STALE_WORK_S:
            if now - received.reported_at > STALE_WORK_S:
                return self._mean_wait_s
            return received.report.busy * terms.pending_s  # an agent of the previous version
        # Requests of the open flows go on arriving, so that the wait shortens by what is left of a
        # slot beside them, and what is known of it tends to the mean.
        share = min(age_s / FORGET_WAIT_S, 1.0)
        left_s = max(received.work.wait_s - age_s * max(1 - received.work.demand, 0.0), 0.0)
        return left_s + (self._mean_wait_s - left_s) * share

    def _demand(self, terms: _Terms, received: ReceivedReport | None, now: float) -> float:
        if received is None:
            return self._mean_demand
        if received.work is None or now - received.work_reported_at > STALE_WORK_S:
            if now - received.reported_at > STALE_WORK_S:
                return self._mean_demand
            return received.report.open_flows * terms.flow_demand
        return received.work.demand


def _may_be_chance(estimates: list[tuple[float, int]]) -> bool:
    """Return whether equal upstreams could give these estimates of work, with their samples.

    The variance of their logarithms is compared with a quantile of the chi-squared distribution, in
    the approximation of Wilson and Hilferty.
    """
    logs = [math.log(work_s) for work_s, _ in estimates]
    freedom = len(logs) - 1
    mean = sum(logs) / len(logs)
    variance = sum((each - mean) ** 2 for each in logs) / freedom
    by_chance = COST_VARIANCE * sum(1 / min(n, SETTLED_SAMPLES) for _, n in estimates) / len(logs)
    width = 2 / (9 * freedom)
    return variance <= by_chance * (1 - width + CHANCE_DEVIATIONS * math.sqrt(width)) ** 3
