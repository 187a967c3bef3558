from __future__ import annotations

from laburnumbridge.core import Choice
from laburnumbridge.flows import OutlierDetector
from laburnumbridge.flows.outlier_detector import BACKOFF_RESET_S
from laburnumbridge.flows.outlier_detector import BASELINE_ANSWERS
from laburnumbridge.flows.outlier_detector import EJECTION_FAILURES
from laburnumbridge.flows.outlier_detector import EJECTION_S
from laburnumbridge.flows.outlier_detector import MAX_EJECTION_S

BASELINE_S = 0.08
ERROR_S = 0.0016
INTERVAL_S = 0.03


class Upstream:
    """A simulated upstream: its detector, and a clock that the test advances."""

    def __init__(self):
        self.now = 100.0
        self.detector = OutlierDetector()
        self.answer(BASELINE_S, times=2 * BASELINE_ANSWERS)

    def answer(self, seconds, times=1):
        for _ in range(times):
            self.now += INTERVAL_S
            self.detector.on_answer(seconds, self.now)

    def wait(self, seconds):
        self.now += seconds

    @property
    def is_failing(self):
        return self.detector.is_failing(self.now)

    def ejection_s(self):
        """Fail requests until the ejection; return its length without further answers."""
        while not self.is_failing:
            self.answer(ERROR_S)
        since = self.now
        while self.is_failing:
            self.wait(0.1)
        return self.now - since


class TestEjection:
    def test_quick_errors_eject_after_a_few_requests(self):
        # Guards against an upstream that fails all requests, looks idle and gets all new flows.
        upstream = Upstream()
        upstream.answer(ERROR_S, times=EJECTION_FAILURES - 1)
        assert not upstream.is_failing
        upstream.answer(ERROR_S)
        assert upstream.is_failing

    def test_failing_two_requests_in_five_ejects_within_two_seconds(self):
        # Guards against partial failures that are taken for random variation.
        for seed in range(20):
            upstream, random = Upstream(), Choice(seed=seed)
            since = upstream.now
            while not upstream.is_failing:
                upstream.answer(ERROR_S if random.fraction() < 0.4 else BASELINE_S)
            assert upstream.now - since < 2.0

    def test_resets_count_as_failures(self):
        # Guards against an upstream that ends each request with a reset.
        upstream = Upstream()
        for _ in range(EJECTION_FAILURES):
            upstream.detector.on_reset(upstream.now)
        assert upstream.is_failing

    def test_rare_errors_do_not_accumulate(self):
        # Guards against the ejection of an upstream with rare errors.
        upstream = Upstream()
        for _ in range(50):
            upstream.answer(ERROR_S)
            upstream.answer(BASELINE_S, times=9)
        assert not upstream.is_failing


class TestHealthyUpstream:
    def test_varying_answer_times_do_not_eject(self):
        # Guards against the ejection of healthy upstreams, since work varies around its mean.
        for seed in range(20):
            upstream, random = Upstream(), Choice(seed=seed)
            for _ in range(500):
                upstream.answer(BASELINE_S * (0.3 + 1.4 * random.fraction()))
                assert not upstream.is_failing

    def test_a_slow_spell_of_five_seconds_does_not_eject_afterwards(self):
        # Guards against a baseline that rises in a slow spell, so that normal answers look quick.
        upstream = Upstream()
        upstream.answer(BASELINE_S, times=300)
        upstream.answer(BASELINE_S * 5, times=int(5 / INTERVAL_S / 4))
        for _ in range(100):
            upstream.answer(BASELINE_S * 0.6)
            assert not upstream.is_failing

    def test_requests_that_waited_for_a_slot_do_not_change_the_baseline(self):
        # Guards against the ejection of healthy upstreams after an overload: on a simulated day 30
        # of 47 were ejected, since the answer times of the overload had become the baseline.
        detector, now = OutlierDetector(), 100.0
        for _ in range(200):
            now += INTERVAL_S
            detector.on_answer(6 * BASELINE_S, now, has_waited=True)
        for _ in range(200):
            now += INTERVAL_S
            detector.on_answer(BASELINE_S, now)
            assert not detector.is_failing(now)

    def test_nothing_is_ejected_before_there_is_a_baseline(self):
        # Guards against a new process that counts the first quick answers as errors.
        detector = OutlierDetector()
        for number in range(BASELINE_ANSWERS):
            detector.on_answer(0.05 if number < 2 else 0.005, float(number) / 100)
        assert not detector.is_failing(1.0)


class TestEndOfEjection:
    def test_proper_answers_of_open_flows_end_it_early(self):
        # Guards against a recovered upstream that stays idle for the rest of its ejection.
        upstream = Upstream()
        upstream.answer(ERROR_S, times=EJECTION_FAILURES)
        since = upstream.now
        while upstream.is_failing:
            upstream.answer(BASELINE_S)
        assert upstream.now - since < EJECTION_S / 2

    def test_it_ends_without_open_flows(self):
        # Guards against an upstream that stays ejected because it receives no requests.
        assert EJECTION_S <= Upstream().ejection_s() < EJECTION_S + 0.2

    def test_failures_of_open_flows_extend_it(self):
        # Guards against new flows for an upstream whose open flows still fail.
        upstream = Upstream()
        upstream.answer(ERROR_S, times=EJECTION_FAILURES)
        for _ in range(int(3 * EJECTION_S / INTERVAL_S)):
            upstream.answer(ERROR_S)
            assert upstream.is_failing

    def test_it_doubles_each_time_up_to_a_limit(self):
        # Guards against an upstream that keeps failing and gets new flows every few seconds.
        upstream = Upstream()
        ejections_s = [upstream.ejection_s() for _ in range(6)]
        assert ejections_s[1] > 1.9 * ejections_s[0]
        assert MAX_EJECTION_S <= ejections_s[-1] < MAX_EJECTION_S + 0.2

    def test_the_backoff_restarts_after_a_long_healthy_time(self):
        # Guards against long ejections because of faults of hours ago.
        upstream = Upstream()
        upstream.ejection_s()
        upstream.ejection_s()
        upstream.wait(BACKOFF_RESET_S + 1.0)
        upstream.answer(BASELINE_S, times=20)
        assert upstream.ejection_s() < EJECTION_S + 0.2
