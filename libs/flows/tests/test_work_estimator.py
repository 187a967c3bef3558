from __future__ import annotations

import pytest

from laburnumbridge.flows import FlowKey
from laburnumbridge.flows import WorkEstimator

FLOWS = [FlowKey(number.to_bytes(12, "big")) for number in range(64)]


class Upstream:
    """Plays requests through an estimator, one after the other."""

    def __init__(self, *, slots: int = 1) -> None:
        self.estimator = WorkEstimator(slots=slots)
        self.now = 0.0

    def answer(self, seconds: float, count: int = 1, *, route: str = "read") -> None:
        for _ in range(count):
            self.estimator.on_request_complete(FLOWS[0], route, self.now)
            self.now += seconds
            self.estimator.on_answer_begun(FLOWS[0], self.now)


@pytest.fixture
def upstream():
    return Upstream()


class TestLearning:
    def test_nothing_is_expected_before_the_first_answer(self, upstream):
        # Guards against an estimate of 0 s, which would draw all requests to a new upstream.
        assert upstream.estimator.expected_s("read") is None

    def test_eight_answers_give_an_estimate(self, upstream):
        # Guards against a placement of long flows that learns only after they are open.
        upstream.answer(0.04, 8)
        assert upstream.estimator.expected_s("read") == pytest.approx(0.04)
        assert upstream.estimator.samples == 8

    def test_routes_are_learned_apart(self, upstream):
        # Guards against a download that counts as much as a read.
        for _ in range(20):
            upstream.answer(0.04)
            upstream.answer(0.02, route="download")
        assert upstream.estimator.expected_s("read") == pytest.approx(0.04)
        assert upstream.estimator.expected_s("download") == pytest.approx(0.02)
        assert upstream.estimator.expected_s("other") == pytest.approx(0.03, rel=0.05)

    def test_waiting_in_the_upstreams_queue_is_no_work(self):
        # Guards against a busy upstream that appears slow.
        upstream = Upstream(slots=2)
        for flow in FLOWS[:10]:
            upstream.estimator.on_request_complete(flow, "read", 0.0)
        for number, flow in enumerate(FLOWS[:10]):
            upstream.estimator.on_answer_begun(flow, 0.04 * (number // 2 + 1))
        assert upstream.estimator.expected_s("read") == pytest.approx(0.04)
        assert upstream.estimator.requests == 0

    def test_a_rejected_request_is_no_sample(self, upstream):
        # Guards against an upstream that appears fast since it rejects what exceeds its queue.
        upstream.answer(0.04, 10)
        upstream.estimator.on_request_complete(FLOWS[1], "read", upstream.now)
        upstream.estimator.on_request_complete(FLOWS[2], "read", upstream.now)
        upstream.estimator.on_answer_begun(FLOWS[2], upstream.now + 0.02)
        assert upstream.estimator.samples == 10

    def test_a_few_very_long_requests_change_little(self, upstream):
        # Guards against an upstream that is avoided since it ran one request of 7 times the work.
        upstream.answer(0.04, 50)
        upstream.answer(0.28)
        assert upstream.estimator.expected_s("read") == pytest.approx(0.04, rel=0.2)

    def test_the_memory_is_bounded(self, upstream):
        # Guards against a table that grows with every route that ever existed.
        for number in range(5_000):
            upstream.answer(0.04, route=f"route-{number}")
        assert upstream.estimator.expected_s("route-4999") == pytest.approx(0.04)
        assert len(upstream.estimator._by_route) <= 4_097


class TestChanges:
    def test_an_upstream_five_times_slower_shows_after_ten_answers(self, upstream):
        # Guards against seconds of requests for an upstream that has become slow.
        upstream.answer(0.04, 100)
        upstream.answer(0.2, 10)
        assert upstream.estimator.expected_s("read") > 0.12

    def test_a_slow_upstream_that_recovers_is_seen_to_be_fast(self, upstream):
        # Guards against an upstream whose usual answers are taken for failures for ever.
        upstream.answer(0.04, 100)
        upstream.answer(0.2, 1_000)
        upstream.answer(0.04, 100)
        assert upstream.estimator.expected_s("read") == pytest.approx(0.04, rel=0.3)

    def test_an_upstream_that_fails_fast_does_not_appear_fast(self, upstream):
        # Guards against requests that are drawn to an upstream that fails them.
        upstream.answer(0.04, 100)
        for _ in range(100):
            upstream.answer(0.002, 2)
            upstream.answer(0.04)
        assert upstream.estimator.expected_s("read") == pytest.approx(0.04)

    def test_a_restart_keeps_the_mean_and_adapts_quickly(self, upstream):
        # Guards against an upstream with a new version that is judged by the previous one.
        upstream.answer(0.04, 200)
        upstream.estimator.on_restart()
        assert upstream.estimator.samples == 8
        assert upstream.estimator.expected_s("read") == pytest.approx(0.04)
        upstream.answer(0.08, 30)
        assert upstream.estimator.expected_s("read") == pytest.approx(0.08, rel=0.25)

    @pytest.mark.parametrize("factor", [0.3, 0.6, 2.0, 3.0, 6.0])
    def test_a_release_that_changes_all_work_is_learned(self, upstream, factor):
        # Guards against values that stay wrong after a release.
        upstream.answer(0.04, 300)
        upstream.answer(0.04 * factor, 200)
        assert upstream.estimator.expected_s("read") == pytest.approx(0.04 * factor, rel=0.1)


class TestWait:
    def test_the_wait_is_the_remaining_work_over_the_slots(self):
        # Guards against placement by counts where the work that is left differs.
        upstream = Upstream(slots=2)
        upstream.answer(0.04, 8)
        for flow in FLOWS[1:4]:
            upstream.estimator.on_request_complete(flow, "read", upstream.now)
        wait_s = upstream.estimator.expected_wait_s(upstream.now + 0.01, due=1)
        assert wait_s == pytest.approx((0.03 + 0.03 + 0.04 + 0.04) / 2)

    def test_a_long_running_request_is_expected_to_continue(self, upstream):
        # Guards against an upstream that seems free while a request runs that takes seven times as
        # long, or while it hangs.
        upstream.answer(0.04, 8)
        upstream.estimator.on_request_complete(FLOWS[1], "read", upstream.now)
        assert upstream.estimator.expected_wait_s(upstream.now + 0.2) == pytest.approx(0.1)

    def test_an_ended_request_frees_its_slot(self, upstream):
        # Guards against work that stays counted for clients that have left.
        upstream.answer(0.04, 8)
        upstream.estimator.on_request_complete(FLOWS[1], "read", upstream.now)
        upstream.estimator.on_request_ended(FLOWS[1], upstream.now + 0.01)
        assert upstream.estimator.expected_wait_s(upstream.now + 0.01) == 0.0


class TestDemand:
    def test_the_demand_is_the_work_of_the_open_flows(self):
        # Guards against flows that count alike where their requests differ in rate and work.
        upstream = Upstream(slots=2)
        for _ in range(10):
            upstream.estimator.on_flow_opened("read", 0.0)
        for _ in range(400):  # 10 flows, 400 requests in 20 s: 2 a second and flow, 0.02 s each
            upstream.answer(0.02)
            upstream.now += 0.03
        assert upstream.estimator.demand(upstream.now) == pytest.approx(0.2, rel=0.1)
        for _ in range(5):
            upstream.estimator.on_flow_closed("read", upstream.now)
        assert upstream.estimator.demand(upstream.now) == pytest.approx(0.1, rel=0.1)
