from __future__ import annotations

from laburnumbridge.core import Choice
from laburnumbridge.flows import OutlierDetector
from laburnumbridge.flows.outlier_detector import BASELINE_ANSWERS
from laburnumbridge.flows.outlier_detector import EJECTION_S
from laburnumbridge.flows.outlier_detector import FAILED_TO_EJECT
from laburnumbridge.flows.outlier_detector import FORGIVEN_S
from laburnumbridge.flows.outlier_detector import LONGEST_EJECTION_S

USUAL_S = 0.08
ERROR_S = 0.0016
INTERVAL_S = 0.03


class Played:
    """Outcomes with a clock that a test moves."""

    def __init__(self):
        self.now = 100.0
        self.outcomes = OutlierDetector()
        self.answer(USUAL_S, times=2 * BASELINE_ANSWERS)

    def answer(self, seconds, times=1):
        for _ in range(times):
            self.now += INTERVAL_S
            self.outcomes.answered(seconds, self.now)

    def wait(self, seconds):
        self.now += seconds

    @property
    def is_failing(self):
        return self.outcomes.is_failing(self.now)

    def ejection_s(self):
        """Let the upstream fail without open flows and return how long it is avoided."""
        while not self.is_failing:
            self.answer(ERROR_S)
        since = self.now
        while self.is_failing:
            self.wait(0.1)
        return self.now - since


class TestFailure:
    def test_errors_that_come_at_once_are_noticed_within_a_few_requests(self):
        # Guards against an upstream that fails everything, looks idle and so gets all new flows.
        played = Played()
        played.answer(ERROR_S, times=FAILED_TO_EJECT - 1)
        assert not played.is_failing
        played.answer(ERROR_S)
        assert played.is_failing

    def test_an_upstream_that_fails_two_requests_in_five_is_noticed_within_two_seconds(self):
        # Guards against partial failures that pass as luck.
        for seed in range(20):
            played, choice = Played(), Choice(seed=seed)
            since = played.now
            while not played.is_failing:
                played.answer(ERROR_S if choice.fraction() < 0.4 else USUAL_S)
            assert played.now - since < 2.0

    def test_resets_instead_of_answers_count(self):
        # Guards against an upstream that ends each request with a reset.
        played = Played()
        for _ in range(FAILED_TO_EJECT):
            played.outcomes.failed(played.now)
        assert played.is_failing

    def test_errors_of_long_ago_do_not_add_up(self):
        # Guards against an upstream with a rare error that is avoided in the end.
        played = Played()
        for _ in range(50):
            played.answer(ERROR_S)
            played.answer(USUAL_S, times=9)
        assert not played.is_failing


class TestHealthyUpstream:
    def test_answer_times_that_vary_are_no_failure(self):
        # Guards against healthy upstreams that are avoided: work varies around its mean.
        for seed in range(20):
            played, choice = Played(), Choice(seed=seed)
            for _ in range(500):
                played.answer(USUAL_S * (0.3 + 1.4 * choice.fraction()))
                assert not played.is_failing

    def test_an_upstream_that_was_slow_for_five_seconds_is_not_avoided_afterwards(self):
        # Guards against a usual time that follows a slow spell, so that normal answers look quick.
        played = Played()
        played.answer(USUAL_S, times=300)
        played.answer(USUAL_S * 5, times=int(5 / INTERVAL_S / 4))
        for _ in range(100):
            played.answer(USUAL_S * 0.6)
            assert not played.is_failing

    def test_requests_that_waited_for_a_slot_do_not_set_the_usual_time(self):
        # Guards against healthy upstreams that are avoided after an overload: on a played day 30
        # of 47 were, since the answers of the overload had become the usual ones.
        outcomes, now = OutlierDetector(), 100.0
        for _ in range(200):
            now += INTERVAL_S
            outcomes.answered(6 * USUAL_S, now, has_waited=True)
        for _ in range(200):
            now += INTERVAL_S
            outcomes.answered(USUAL_S, now)
            assert not outcomes.is_failing(now)

    def test_nothing_is_judged_before_the_usual_time_is_known(self):
        # Guards against a new process that takes the first quick answers for errors.
        outcomes = OutlierDetector()
        for number in range(BASELINE_ANSWERS):
            outcomes.answered(0.05 if number < 2 else 0.005, float(number) / 100)
        assert not outcomes.is_failing(1.0)


class TestReturn:
    def test_answers_of_open_flows_bring_it_back_early(self):
        # Guards against a healthy upstream that stays idle for the rest of its time.
        played = Played()
        played.answer(ERROR_S, times=FAILED_TO_EJECT)
        since = played.now
        while played.is_failing:
            played.answer(USUAL_S)
        assert played.now - since < EJECTION_S / 2

    def test_without_open_flows_it_is_tried_again(self):
        # Guards against an upstream that is lost for good because nobody asks it.
        assert EJECTION_S <= Played().ejection_s() < EJECTION_S + 0.2

    def test_open_flows_that_still_fail_prolong_it(self):
        # Guards against new flows for an upstream that is known to fail still.
        played = Played()
        played.answer(ERROR_S, times=FAILED_TO_EJECT)
        for _ in range(int(3 * EJECTION_S / INTERVAL_S)):
            played.answer(ERROR_S)
            assert played.is_failing

    def test_the_time_doubles_with_each_return_up_to_a_bound(self):
        # Guards against an upstream that flaps and gets new flows every few seconds.
        played = Played()
        times_s = [played.ejection_s() for _ in range(6)]
        assert times_s[1] > 1.9 * times_s[0]
        assert LONGEST_EJECTION_S <= times_s[-1] < LONGEST_EJECTION_S + 0.2

    def test_a_long_good_time_is_forgiven(self):
        # Guards against an upstream that pays for faults of hours ago.
        played = Played()
        played.ejection_s()
        played.ejection_s()
        played.wait(FORGIVEN_S + 1.0)
        played.answer(USUAL_S, times=20)
        assert played.ejection_s() < EJECTION_S + 0.2
