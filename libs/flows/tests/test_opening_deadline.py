from __future__ import annotations

import pytest

from laburnumbridge.flows.opening_deadline import ANSWER_TRAVEL_S
from laburnumbridge.flows.opening_deadline import MAX_WAIT_S
from laburnumbridge.flows.opening_deadline import OpeningDeadline


class TestOpeningDeadline:
    @pytest.mark.parametrize(("copy_number", "waited_s"), [(0, 0.0), (1, 0.2), (2, 0.6), (9, 0.6)])
    def test_a_copy_has_waited_since_the_first_packet(self, copy_number, waited_s):
        # Guards against a wait that begins anew with each copy, beyond what the client waits.
        deadline = OpeningDeadline.of_copy(copy_number, 10.0, timeout_s=0.0, usual_answer_s=0.05)
        assert deadline.since == pytest.approx(10.0 - waited_s)
        assert deadline.start_by == pytest.approx(10.0 - waited_s + MAX_WAIT_S)

    def test_a_short_timeout_of_the_route_goes_first(self):
        # Guards against clients that wait for a refusal until long after their deadline.
        deadline = OpeningDeadline.of_copy(0, 10.0, timeout_s=0.4, usual_answer_s=0.05)
        assert deadline.start_by == pytest.approx(10.35 - ANSWER_TRAVEL_S)

    def test_a_long_timeout_leaves_the_client_time_to_try_again(self):
        # Guards against openings that are held until their client has given up.
        deadline = OpeningDeadline.of_copy(0, 10.0, timeout_s=60.0, usual_answer_s=0.05)
        assert deadline.start_by == pytest.approx(10.0 + MAX_WAIT_S)

    def test_the_target_of_the_route_counts_the_work(self):
        # Guards against an order by a target that includes no time for the request itself.
        deadline = OpeningDeadline.of_copy(
            1, 10.0, timeout_s=0.6, usual_answer_s=0.05, target_s=0.25, expected_answer_s=0.1
        )
        assert deadline.target_by == pytest.approx(9.95 - ANSWER_TRAVEL_S)
        assert deadline.start_by == pytest.approx(10.35 - ANSWER_TRAVEL_S)

    def test_without_a_target_an_answer_before_the_timeout_is_on_time(self):
        # Guards against requests of routes without a target that count as late at once.
        deadline = OpeningDeadline.of_copy(0, 10.0, timeout_s=0.4, usual_answer_s=0.05)
        assert deadline.target_by == deadline.start_by
