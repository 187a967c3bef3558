from __future__ import annotations

import pytest

from laburnumbridge.flows import Candidate
from laburnumbridge.flows import UpstreamSelector
from laburnumbridge.flows.peer_datagrams import LoadReport
from laburnumbridge.flows.peer_datagrams import WorkReport

AGENTS = [f"10.0.0.{number}" for number in range(12)]
CANDIDATES = [
    Candidate(agent=agent, failure_domain="ab"[number % 2], slots=2, slow_start=1.0)
    for number, agent in enumerate(AGENTS)
]


def make_selector(*, is_uneven: bool) -> UpstreamSelector:
    selector = UpstreamSelector(seed=3, failure_domain="a")
    report_all(selector, is_uneven=is_uneven)
    return selector


def report_all(selector: UpstreamSelector, *, is_uneven: bool) -> None:
    for number, agent in enumerate(AGENTS):
        work = WorkReport(
            wait_s=0.01 * (number % 4),
            work_s=0.01 if is_uneven and number % 3 else 0.04,
            demand=0.3,
            samples=100,
        )
        report = LoadReport(busy=number % 2, open_flows=3, slots=2, is_available=True, work=work)
        selector.on_load_report(agent, report, 0.0)


class TestScoredCandidates:
    @pytest.mark.parametrize("is_long", [False, True])
    @pytest.mark.parametrize("is_uneven", [False, True])
    def test_explaining_predicts_and_doesnt_change_the_choice(self, is_uneven, is_long):
        # Guards against an explanation with scores of its own, and against one that counts
        # placements, draws random numbers or refreshes the unevenness. The times cross refreshes.
        explained = make_selector(is_uneven=is_uneven)
        undisturbed = make_selector(is_uneven=is_uneven)
        for step in range(60):
            now = step * 0.013
            for _ in range(2):
                scored = explained.explain(CANDIDATES, is_long=is_long, now=now - 0.004)
                assert len(scored) == len(CANDIDATES)
            scored = explained.explain(CANDIDATES, is_long=is_long, now=now)
            choice = undisturbed.choose(CANDIDATES, is_long=is_long, now=now)
            assert scored[0].agent == choice
            assert explained.choose(CANDIDATES, is_long=is_long, now=now) == choice
            changes = undisturbed.take_unevenness_changes()
            assert explained.take_unevenness_changes() == changes
        assert undisturbed.is_uneven("") == is_uneven
        assert all((one.speed is not None) == is_uneven for one in scored)

    def test_an_explanation_judges_the_unevenness_only_for_itself(self):
        # Guards against a query that changes how flows are placed, without the event of the change.
        selector = make_selector(is_uneven=False)
        selector.choose(CANDIDATES, is_long=False, now=0.0)
        report_all(selector, is_uneven=True)
        scored = selector.explain(CANDIDATES, is_long=False, now=0.2)
        assert all(one.speed is not None for one in scored)
        assert not selector.is_uneven("")
        assert selector.choose(CANDIDATES, is_long=False, now=0.2) == scored[0].agent
        assert len(selector.take_unevenness_changes()) == 1

    def test_reasons_to_avoid_a_candidate(self):
        # Guards against a reason that is left out, and against one that has ended.
        selector = make_selector(is_uneven=False)
        selector.avoid(AGENTS[0], 2.0)
        selector.on_sent(AGENTS[1], 0.1)
        for agent, failing in ((AGENTS[2], False), (AGENTS[3], True)):
            report = LoadReport(
                busy=0, open_flows=0, slots=2, is_available=failing, is_failing=failing
            )
            selector.on_load_report(agent, report, 0.5)
        scored = selector.explain(CANDIDATES, is_long=False, now=1.0)
        expected = {
            AGENTS[0]: ("unanswered",),
            AGENTS[1]: ("silent",),
            AGENTS[2]: ("unavailable",),
            AGENTS[3]: ("failing",),
        }
        assert {one.agent: one.avoided for one in scored if one.avoided} == expected
        later = selector.explain(CANDIDATES, is_long=False, now=5.0)
        assert {one.agent: one.avoided for one in later if one.avoided} == {AGENTS[1]: ("silent",)}
