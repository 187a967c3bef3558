from __future__ import annotations

import random
from collections import Counter

import pytest

from laburnumbridge.flows import Candidate
from laburnumbridge.flows import FlowKey
from laburnumbridge.flows import UpstreamSelector
from laburnumbridge.flows import WorkEstimator
from laburnumbridge.flows import WorkPlacement
from laburnumbridge.flows.peer_datagrams import LoadReport
from laburnumbridge.flows.peer_datagrams import WorkReport
from laburnumbridge.flows.received_report import ReceivedReport

AGENTS = [f"10.0.0.{number}" for number in range(12)]
FLOW = FlowKey(bytes(12))
SLOW_S = 0.04
FAST_S = 0.015


def candidate(agent: str, domain: str = "a", slow_start: float = 1.0) -> Candidate:
    return Candidate(agent=agent, failure_domain=domain, slots=1, slow_start=slow_start)


CANDIDATES = [candidate(agent) for agent in AGENTS]


def report(
    work_s: float | None, *, wait_s: float = 0.0, demand: float = 0.5, samples: int = 100
) -> LoadReport:
    return LoadReport(
        busy=1 if wait_s else 0,
        open_flows=10,
        slots=1,
        is_available=True,
        work=WorkReport(wait_s=wait_s, work_s=work_s, demand=demand, samples=samples),
    )


def is_fast(agent: str) -> bool:
    return AGENTS.index(agent) % 3 == 2


def uneven_selector(seed: int = 1, now: float = 0.0, **loads: float) -> UpstreamSelector:
    """Return a selector with reports of eight slow and four fast upstreams."""
    selector = UpstreamSelector(seed=seed, failure_domain="a")
    for agent in AGENTS:
        work_s = FAST_S if is_fast(agent) else SLOW_S
        selector.on_load_report(agent, report(work_s, **loads), now)
    return selector


class TestUnevenness:
    def choices(self, work_by_agent, samples=100, *, is_long=False):
        selector = UpstreamSelector(seed=1)
        for agent, work_s in work_by_agent.items():
            selector.on_load_report(agent, report(work_s, samples=samples), 0.0)
        chosen = [selector.choose(CANDIDATES, is_long=is_long, now=0.0) for _ in range(30)]
        return chosen, selector.is_uneven("")

    @pytest.mark.parametrize("is_long", [False, True])
    @pytest.mark.parametrize(
        ("work_by_agent", "samples"),
        [
            pytest.param(dict.fromkeys(AGENTS, 0.04), 100, id="even"),
            pytest.param(dict(zip(AGENTS, [0.04, 0.064] * 6, strict=True)), 100, id="cold"),
            pytest.param({AGENTS[0]: 0.01, AGENTS[1]: 0.09}, 100, id="two reports"),
            pytest.param(dict(zip(AGENTS, [0.01, 0.09] * 6, strict=True)), 7, id="few samples"),
            pytest.param(dict.fromkeys(AGENTS), 0, id="nothing learned"),
        ],
    )
    def test_even_upstreams_are_placed_on_as_without_work_reports(
        self, work_by_agent, samples, is_long
    ):
        # Guards against a change for deployments whose upstreams don't differ.
        plain = UpstreamSelector(seed=1)
        for agent in work_by_agent:
            plain.on_load_report(
                agent, LoadReport(busy=0, open_flows=10, slots=1, is_available=True), 0.0
            )
        expected = [plain.choose(CANDIDATES, is_long=is_long, now=0.0) for _ in range(30)]
        assert self.choices(work_by_agent, samples, is_long=is_long) == (expected, False)

    @pytest.mark.parametrize("upstreams", [3, 9, 34])
    def test_equal_upstreams_do_not_appear_uneven_by_chance(self, upstreams):
        # Guards against placement by the errors of estimates, from the first answers on: 3 % of the
        # requests cost seven times as much as usual.
        source = random.Random(1)
        fleet = [candidate(f"10.1.0.{number}") for number in range(upstreams)]
        for _ in range(60):
            estimators = {each.agent: WorkEstimator(slots=1) for each in fleet}
            placement = WorkPlacement(failure_domain="a")
            for step in range(1, 8):
                received = {}
                for agent, estimator in estimators.items():
                    for number in range(8):
                        cost_s = 0.02 * source.gammavariate(3, 1 / 3)
                        cost_s *= 7 if source.random() < 0.03 else 1
                        estimator.on_request_complete(FLOW, "read", 10 * number)
                        estimator.on_answer_begun(FLOW, 10 * number + cost_s)
                    learned = report(estimator.expected_s(), samples=estimator.samples)
                    received[agent] = ReceivedReport(
                        report=learned, reported_at=step, work=learned.work, work_reported_at=step
                    )
                assert placement.refresh(fleet, received, step) is None

    def test_the_state_is_left_below_a_lower_ratio_and_changes_are_reported_once(self):
        # Guards against a placement that alternates, and against a log line with each choice.
        selector = uneven_selector()
        states = []
        for step, slow_s in enumerate([SLOW_S, 0.024, 0.019, 0.024]):
            for agent in AGENTS:
                work_s = FAST_S if is_fast(agent) else slow_s
                selector.on_load_report(agent, report(work_s, samples=255), step)
            selector.choose(CANDIDATES, is_long=False, now=step)
            states.append(selector.is_uneven(""))
        assert states == [True, True, False, False]
        changes = selector.take_unevenness_changes()
        assert [change.is_uneven for _, change in changes] == [True, False]
        assert selector.take_unevenness_changes() == []

    def test_services_are_judged_apart(self):
        # Guards against a service whose upstreams differ from those of another one.
        selector = uneven_selector()
        slow = [each for each in CANDIDATES if not is_fast(each.agent)]
        selector.choose(slow, is_long=False, now=0.0, service="slow")
        selector.choose(CANDIDATES, is_long=False, now=0.0, service="both")
        assert not selector.is_uneven("slow")
        assert selector.is_uneven("both")


class TestShortFlows:
    def test_the_quickest_upstream_gets_the_flow_also_with_a_wait(self):
        # Guards against a request on an idle slow upstream where a fast one would be quicker.
        selector = uneven_selector()
        for agent in AGENTS:
            if is_fast(agent):
                selector.on_load_report(agent, report(FAST_S, wait_s=0.005), 0.0)
        assert is_fast(selector.choose(CANDIDATES, is_long=False, now=0.0))
        for agent in AGENTS:
            if is_fast(agent):
                selector.on_load_report(agent, report(FAST_S, wait_s=0.06), 0.01)
        assert not is_fast(selector.choose(CANDIDATES, is_long=False, now=0.01))

    def test_own_placements_count_before_a_report_shows_them(self):
        # Guards against a burst that goes to the fast upstreams alone.
        selector = uneven_selector()
        chosen = Counter(selector.choose(CANDIDATES, is_long=False, now=0.0) for _ in range(60))
        assert set(chosen) == set(AGENTS)
        assert chosen.most_common(1)[0][1] <= 12

    def test_balancers_with_the_same_view_spread_their_flows(self):
        # Guards against 15 balancers that pick the same upstream between two reports.
        chosen = Counter(
            uneven_selector(seed).choose(CANDIDATES, is_long=False, now=0.05) for seed in range(15)
        )
        assert chosen.most_common(1)[0][1] <= 15 // 2

    def test_the_own_failure_domain_is_preferred_to_a_small_difference(self):
        # Guards against costly traffic between domains for a difference of a few milliseconds.
        selector = uneven_selector()
        candidates = [candidate(agent, "a" if agent == AGENTS[2] else "b") for agent in AGENTS]
        for agent in AGENTS[5::3]:
            selector.on_load_report(agent, report(FAST_S), 0.0)
        assert selector.choose(candidates, is_long=False, now=0.0) == AGENTS[2]

    def test_a_cold_upstream_counts_as_slower(self):
        # Guards against a fast upstream that is preferred before it is warm.
        selector = uneven_selector()
        candidates = [
            candidate(agent, slow_start=1.0 if agent == AGENTS[2] else 0.3) for agent in AGENTS
        ]
        assert selector.choose(candidates, is_long=False, now=0.0) == AGENTS[2]

    def test_an_unavailable_agent_is_still_the_last_resort(self):
        # Guards against expected work that outweighs unavailability.
        selector = uneven_selector()
        selector.avoid(AGENTS[2], until=1.0)
        assert selector.choose([CANDIDATES[0], CANDIDATES[2]], is_long=False, now=0.0) == AGENTS[0]


class TestStaleReports:
    def test_lost_reports_count_as_the_mean_of_the_others(self):
        # Guards against an upstream that seems idle, or occupied, for as long as reports are lost.
        for wait_s in (0.0, 0.5):
            selector = uneven_selector(wait_s=0.03)
            selector.on_load_report(AGENTS[2], report(FAST_S, wait_s=wait_s), 0.0)
            for agent in AGENTS[3:]:
                work_s = FAST_S if is_fast(agent) else SLOW_S
                selector.on_load_report(agent, report(work_s, wait_s=0.03), 1.2)
            others = Counter(
                selector.choose(CANDIDATES, is_long=False, now=1.2, excluded=()) for _ in range(4)
            )
            assert set(others) == {agent for agent in AGENTS if is_fast(agent)}

    def test_a_balancer_without_reports_counts_its_own_placements(self):
        # Guards against all flows of a balancer that has just started on one upstream.
        selector = UpstreamSelector(seed=1)
        chosen = Counter(selector.choose(CANDIDATES, is_long=True, now=0.0) for _ in range(24))
        assert set(chosen.values()) == {2}

    def test_reports_of_the_previous_version_count_by_their_requests(self):
        # Guards against agents of both versions beside each other, of which one kind gets all.
        selector = uneven_selector(wait_s=0.03)
        old = LoadReport(busy=9, open_flows=90, slots=1, is_available=True)
        selector.on_load_report("old", old, 0.0)
        candidates = [candidate("old"), *CANDIDATES]
        for is_long in (False, True):
            assert selector.choose(candidates, is_long=is_long, now=0.0) != "old"


class TestLongFlows:
    def test_long_flows_are_placed_by_projected_demand(self):
        # Guards against as many flows on a slow upstream as on a fast one.
        selector = uneven_selector()
        chosen = Counter(selector.choose(CANDIDATES, is_long=True, now=0.0) for _ in range(60))
        fast = sum(count for agent, count in chosen.items() if is_fast(agent))
        assert fast / 4 >= 1.8 * (60 - fast) / 8

    def test_the_lowest_demand_gets_the_flow(self):
        # Guards against flows for an upstream whose few flows ask for much.
        selector = uneven_selector(demand=0.8)
        selector.on_load_report(AGENTS[0], report(SLOW_S, demand=0.3), 0.0)
        assert selector.choose(CANDIDATES, is_long=True, now=0.0) == AGENTS[0]


class TestQueueingHere:
    def test_an_agent_queues_only_while_that_is_quicker(self):
        # Guards against a handover from a fast upstream to an idle slow one.
        selector = uneven_selector()
        others = [each for each in CANDIDATES if not is_fast(each.agent)]
        arguments = {"now": 0.0, "excluded": (), "service": ""}
        selector.choose(CANDIDATES, is_long=False, now=0.0)
        assert selector.is_quicker_here(others, own_s=0.02, **arguments)
        assert not selector.is_quicker_here(others, own_s=0.08, **arguments)

    def test_an_agent_of_even_upstreams_hands_over_as_before(self):
        # Guards against a change for deployments whose upstreams don't differ.
        selector = UpstreamSelector(seed=1)
        for agent in AGENTS:
            selector.on_load_report(agent, report(SLOW_S, wait_s=0.3), 0.0)
        assert not selector.is_quicker_here(CANDIDATES, own_s=0.01, now=0.0, excluded=())


class TestOverflow:
    def test_a_service_is_full_only_if_all_its_upstreams_say_so(self):
        # Guards against flows that leave their service since reports are missing.
        selector = UpstreamSelector(seed=1)
        for agent in AGENTS[:-1]:
            selector.on_load_report(agent, report(SLOW_S, wait_s=0.03), 0.0)
        assert not selector.is_full(CANDIDATES, 0.0)
        selector.on_load_report(AGENTS[-1], report(SLOW_S, wait_s=0.03), 0.0)
        assert selector.is_full(CANDIDATES, 0.0)
        selector.on_load_report(AGENTS[-1], report(SLOW_S), 0.1)
        assert not selector.is_full(CANDIDATES, 0.1)
        assert not selector.is_full([], 0.1)
