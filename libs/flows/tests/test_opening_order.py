from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from laburnumbridge.flows import FlowKey
from laburnumbridge.flows import OpeningDeadline
from laburnumbridge.flows import OpeningOrder
from laburnumbridge.flows import WaitingOpening
from laburnumbridge.flows.opening_order import MAX_PASSED_S

TOLERANCE_S = 1e-6


def opening(number, *, since=0.0, target_by=1.0, start_by=1.2, priority=0, work_s=0.05):
    """Return an opening whose item is its expected work."""
    deadline = OpeningDeadline(since=since, start_by=start_by, target_by=target_by)
    flow = FlowKey(number.to_bytes(12, "big"))
    return WaitingOpening(flow=flow, item=work_s, deadline=deadline, priority=priority)


def numbers(openings):
    return [int.from_bytes(waiting.flow, "big") for waiting in openings]


@pytest.fixture
def order():
    return OpeningOrder(work_s=lambda waiting: waiting.item)


class TestOnTime:
    def test_the_earliest_target_goes_first(self, order):
        # Guards against requests that are overtaken by newer ones until they are late.
        openings = [opening(1, target_by=0.3), opening(2, target_by=0.1), opening(3, target_by=0.2)]
        plan = order.plan(openings, 0.0, slots=1, backlog_s=0.0)
        assert numbers(plan.order) == [2, 3, 1]

    def test_the_lowest_class_is_late_first_and_then_the_most_work(self, order):
        # Guards against one long or unimportant request that makes several others late.
        openings = [
            opening(1, target_by=0.0, priority=1, work_s=0.05),
            opening(2, target_by=0.06, priority=0, work_s=0.04),
            opening(3, target_by=0.07, priority=0, work_s=0.04),
            opening(4, target_by=0.08, priority=0, work_s=0.09),
            opening(5, target_by=0.1, priority=0, work_s=0.02),
        ]
        plan = order.plan(openings, 0.0, slots=1, backlog_s=0.0)
        assert numbers(plan.order) == [2, 3, 5, 4, 1]
        assert not plan.refused

    def test_work_before_the_first_opening_counts(self, order):
        # Guards against openings held for a turn that requests on open flows have taken.
        plan = order.plan([opening(1, target_by=0.3, start_by=0.3)], 0.0, slots=2, backlog_s=0.4)
        assert numbers(plan.refused) == [1]


class TestLate:
    def test_late_openings_follow_by_class_and_the_newest_first(self, order):
        # Guards against a backlog that delays requests which could still be in time.
        late = [
            opening(number, since=number / 100, target_by=-0.1, priority=priority)
            for number, priority in enumerate((1, 0, 1, 0))
        ]
        plan = order.plan([*late, opening(9)], 0.0, slots=1, backlog_s=0.0)
        assert numbers(plan.order) == [9, 3, 1, 2, 0]

    def test_what_cant_start_in_time_is_refused_the_lowest_class_first(self, order):
        # Guards against clients that wait for a refusal which is certain.
        openings = [
            opening(number, target_by=-0.1, start_by=0.12, priority=number % 2)
            for number in range(8)
        ]
        plan = order.plan(openings, 0.0, slots=1, backlog_s=0.0)
        assert {number % 2 for number in numbers(plan.order)} == {0}
        assert len(plan.order) == 3

    def test_a_late_opening_uses_the_time_that_others_can_spare(self, order):
        # Guards against a refusal although all others would start in time after it.
        openings = [opening(1, target_by=0.5), opening(2, target_by=-0.1, start_by=0.01)]
        plan = order.plan(openings, 0.0, slots=1, backlog_s=0.0)
        assert numbers(plan.order) == [2, 1]


class TestStarvationGuard:
    def test_a_class_that_was_passed_for_too_long_gets_the_next_start(self, order):
        # Guards against a lowest class that isn't served for seconds.
        openings = [opening(1, target_by=0.0), opening(2, target_by=-1.0, priority=2)]
        order.on_start(0, [0, 2], -MAX_PASSED_S)
        assert numbers(order.plan(openings, 0.0, slots=1, backlog_s=0.0).order) == [2, 1]
        order.on_start(2, [0], 0.0)
        assert numbers(order.plan(openings, 0.0, slots=1, backlog_s=0.0).order) == [1, 2]


@st.composite
def waiting_openings(draw):
    times = st.integers(-10, 60).map(lambda hundredths: hundredths / 100)
    return [
        opening(
            number,
            since=draw(times),
            target_by=(target_by := draw(times)),
            start_by=target_by + draw(st.integers(0, 60)) / 100,
            priority=draw(st.integers(0, 2)),
            work_s=draw(st.sampled_from([0.0, 0.02, 0.05, 0.14])),
        )
        for number in range(draw(st.integers(0, 12)))
    ]


def starts_on_slots(openings, slots):
    """Return when each opening starts if it takes the slot that becomes free first."""
    free_at = [0.0] * slots
    starts = []
    for waiting in openings:
        start = min(free_at)
        starts.append(start)
        free_at[free_at.index(start)] = start + waiting.item
    return starts


class TestRefusalsAreTrue:
    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(openings=waiting_openings(), slots=st.integers(1, 4), passed=st.booleans())
    def test_no_opening_is_refused_while_a_slot_would_be_free_in_time(
        self, openings, slots, passed
    ):
        # Guards against refusals of requests that could run without harm to any other: at no place
        # of the order would a refused one start in time and all others within their limits.
        order = OpeningOrder(work_s=lambda waiting: waiting.item)
        if passed:
            order.on_start(0, [2], -MAX_PASSED_S)
        plan = order.plan(openings, 0.0, slots=slots, backlog_s=0.0)
        assert sorted(numbers([*plan.order, *plan.refused])) == list(range(len(openings)))
        planned_starts = starts_on_slots(plan.order, slots)
        limits = {}
        for waiting, start in zip(plan.order, planned_starts, strict=True):
            deadline = waiting.deadline
            is_on_time = start <= deadline.target_by + TOLERANCE_S
            limits[waiting.flow] = deadline.target_by if is_on_time else deadline.start_by
            if slots == 1:
                assert start <= deadline.start_by + TOLERANCE_S
        for refused in plan.refused:
            limits[refused.flow] = refused.deadline.start_by
            if refused.deadline.start_by < 0.0:
                continue
            for place in range(len(plan.order) + 1):  # before a promoted one none is put
                tried = [*plan.order[:place], refused, *plan.order[place:]]
                in_time = [
                    start <= limits[waiting.flow] - TOLERANCE_S
                    for waiting, start in zip(tried, starts_on_slots(tried, slots), strict=True)
                ]
                is_before_promoted = passed and place == 0 and plan.order[0].priority == 2
                assert is_before_promoted or not all(in_time)
