from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass
from dataclasses import field

import pytest

from laburnumbridge.flows import FlowKey
from laburnumbridge.flows import NewestFirstQueue
from laburnumbridge.flows import OpeningDeadline
from laburnumbridge.flows import PlannedQueue
from laburnumbridge.flows import WaitingOpening
from laburnumbridge.flows.opening_order import MAX_PASSED_S

WORK_S = 0.046
TARGET_S_BY_PRIORITY = {1: 0.319, 2: 0.258}
TIMEOUT_S_BY_PRIORITY = {1: 1.642, 2: 1.337}
HIGH_SHARE = 1 / 3
WEIGHT_BY_PRIORITY = {1: 2, 2: 1}
LIMIT = 256
STEP_S = 0.005
UPKEEP_STEPS = 10
RUN_S = 20.0


class FirstComeFirstServedQueue(NewestFirstQueue):
    """The order of arrival, refusing what can't start in time."""

    def pop_next(self, now, *, slots, backlog_s):
        return self._by_flow.pop(next(iter(self._by_flow))) if self._by_flow else None

    def expire(self, now, *, slots, backlog_s):
        late, starts_at = [], now
        for waiting in list(self):
            if starts_at > waiting.deadline.start_by:
                late.append(waiting)
                self._remove(waiting)
            else:
                starts_at += WORK_S / slots
        return late


QUEUES = {
    "planned": lambda: PlannedQueue(limit=LIMIT, expected_work_s=lambda _flow: WORK_S),
    "newest first": lambda: NewestFirstQueue(limit=LIMIT, usual_work_s=lambda: WORK_S),
    "first come": lambda: FirstComeFirstServedQueue(limit=LIMIT, usual_work_s=lambda: WORK_S),
}


@dataclass
class Results:
    """What callers got, by priority: in time, late or refused.

    ``passed_s`` is the longest time from a class's first arrival after a start to its next start.
    """

    count: Counter = field(default_factory=Counter)
    passed_s: dict = field(default_factory=lambda: {1: 0.0, 2: 0.0})

    @property
    def weighted_in_time(self):
        return sum(
            weight * self.count["in time", priority]
            for priority, weight in WEIGHT_BY_PRIORITY.items()
        )


def run(queue, *, slots, load, backlog_s, seed):
    """Offer Poisson arrivals for ``RUN_S`` after a backlog, and return what callers got."""
    choice = random.Random(seed)
    results = Results()
    arrivals = [0.0] * round(backlog_s * slots / WORK_S)
    at = 0.0
    while (at := at + choice.expovariate(load * slots / WORK_S)) < RUN_S:
        arrivals.append(at)
    arrivals.reverse()
    free_at = [0.0] * slots
    unserved_since = {}
    number = 0
    for step in range(round((RUN_S + 2.0) / STEP_S)):
        now = step * STEP_S
        while arrivals and arrivals[-1] <= now:
            number += 1
            since = arrivals.pop()
            priority = 1 if choice.random() < HIGH_SHARE else 2
            unserved_since.setdefault(priority, now)
            deadline = OpeningDeadline.of_copy(
                0,
                since,
                timeout_s=TIMEOUT_S_BY_PRIORITY[priority],
                usual_answer_s=WORK_S,
                target_s=TARGET_S_BY_PRIORITY[priority],
                expected_answer_s=WORK_S,
            )
            flow = FlowKey(number.to_bytes(12, "little"))
            waiting = WaitingOpening(flow=flow, item=None, deadline=deadline, priority=priority)
            if (displaced := queue.put(waiting)) is not None:
                results.count["refused", displaced.waiting.priority] += 1
        for slot in range(slots):
            while free_at[slot] <= now and (
                waiting := queue.pop_next(now, slots=slots, backlog_s=0.0)
            ):
                free_at[slot] = max(free_at[slot], now - STEP_S) + WORK_S * choice.uniform(0.5, 1.5)
                is_in_time = now <= waiting.deadline.target_by
                results.count["in time" if is_in_time else "late", waiting.priority] += 1
                passed_s = now - unserved_since.pop(waiting.priority, now)
                results.passed_s[waiting.priority] = max(
                    results.passed_s[waiting.priority], passed_s
                )
        if step % UPKEEP_STEPS == 0:
            for waiting in queue.expire(now, slots=slots, backlog_s=0.0):
                results.count["refused", waiting.priority] += 1
    return results


CASES = [(0.7, 0.0), (1.0, 0.0), (1.4, 0.0), (0.7, 1.5), (1.0, 1.5)]


class TestLoad:
    @pytest.mark.parametrize("slots", [1, 2])
    @pytest.mark.parametrize(("load", "backlog_s"), CASES)
    def test_callers_get_no_less_than_by_the_other_orders(self, slots, load, backlog_s):
        # Guards against an order that serves fewer requests within their target, weighted by
        # class, than the newest or the oldest first, or refuses the higher class for the lower.
        results = {
            name: [
                run(make(), slots=slots, load=load, backlog_s=backlog_s, seed=seed)
                for seed in range(3)
            ]
            for name, make in QUEUES.items()
        }
        weighted = {
            name: sum(one.weighted_in_time for one in runs) for name, runs in results.items()
        }
        assert weighted["planned"] >= weighted["newest first"]
        assert weighted["planned"] >= weighted["first come"]
        for one in results["planned"]:
            offered = Counter()
            for (_, priority), count in one.count.items():
                offered[priority] += count
            refused_share = {key: one.count["refused", key] / offered[key] for key in offered}
            assert refused_share[1] <= refused_share[2]

    @pytest.mark.parametrize("load", [1.0, 1.4, 4.0])
    def test_no_class_waits_longer_than_the_guard_allows(self, load):
        # Guards against seconds in which only the higher class is served: at four times the
        # capacity it needs more than all slots.
        queue = QUEUES["planned"]()
        passed_s = run(queue, slots=1, load=load, backlog_s=1.5, seed=1).passed_s
        # Beside the guard: until the running request ends, which is up to 1.5 times as long as
        # expected, until the next arrival of the class, and the step of the test.
        assert max(passed_s.values()) <= MAX_PASSED_S + 2 * 1.5 * WORK_S + STEP_S
