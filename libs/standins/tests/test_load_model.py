from __future__ import annotations

import pytest

from laburnumbridge.standins.flows.load_model import LoadModel

SECONDS = 8.0
USEFUL_S = 0.25


def play(*, by_work: bool, utilization: float, **arguments) -> LoadModel:
    model = LoadModel(by_work=by_work, utilization=utilization, **arguments)
    model.run(SECONDS)
    return model


class TestPlacementByWork:
    @pytest.mark.parametrize("utilization", [0.5, 0.7, 0.9])
    def test_callers_get_better_answers_than_from_counts(self, utilization):
        # Guards against placement by work that helps the upstreams and not the callers: requests
        # that wait at the fast ones, long tails, and retries.
        counts = play(by_work=False, utilization=utilization).results
        work = play(by_work=True, utilization=utilization).results
        assert work.mean_s <= counts.mean_s
        assert work.percentile_s(0.95) <= counts.percentile_s(0.95)
        assert work.percentile_s(0.99) <= counts.percentile_s(0.99)
        assert work.share_within(USEFUL_S) >= counts.share_within(USEFUL_S)
        assert work.unanswered <= counts.unanswered

    @pytest.mark.parametrize(
        "reports", [{"report_delay_s": 0.05}, {"lost_reports": (4.0, 5.0)}], ids=["late", "lost"]
    )
    def test_late_and_lost_reports_do_no_harm(self, reports):
        # Guards against balancers that all pick what an outdated report shows as idle.
        counts = play(by_work=False, utilization=0.7, **reports).results
        work = play(by_work=True, utilization=0.7, **reports).results
        assert work.mean_s <= counts.mean_s
        assert work.share_within(USEFUL_S) >= counts.share_within(USEFUL_S)

    def test_even_upstreams_are_placed_on_exactly_as_by_counts(self):
        # Guards against a change for deployments whose upstreams don't differ, by chance too.
        counts = play(by_work=False, utilization=0.7, speeds=(1.0,), seed=2).results
        work = play(by_work=True, utilization=0.7, speeds=(1.0,), seed=2).results
        assert work.seconds == counts.seconds
