from __future__ import annotations

import pytest

from laburnumbridge.flows import FlowKey
from laburnumbridge.flows import NewestFirstQueue
from laburnumbridge.flows import OpeningDeadline
from laburnumbridge.flows import PlannedQueue
from laburnumbridge.flows import WaitingOpening


def opening(number, since, start_by, *, target_by=None, priority=0, client=0):
    target_by = start_by if target_by is None else target_by
    return WaitingOpening(
        flow=FlowKey(client.to_bytes(4, "big") + number.to_bytes(8, "big")),
        item=number,
        deadline=OpeningDeadline(since=since, start_by=start_by, target_by=target_by),
        priority=priority,
    )


def newest_first(*, limit, work_s=0.0):
    return NewestFirstQueue(limit=limit, usual_work_s=lambda: work_s)


def planned(*, limit, work_s=0.0):
    return PlannedQueue(limit=limit, expected_work_s=lambda _flow: work_s)


def pop_all(queue):
    popped = []
    while (waiting := queue.pop_next(0.0, slots=1, backlog_s=0.0)) is not None:
        popped.append(waiting.item)
    return popped


class TestNewestFirst:
    def test_the_newest_is_returned_first(self):
        # Guards against a backlog that delays every later request.
        queue = newest_first(limit=3)
        for number in range(3):
            queue.put(opening(number, number / 10, 1.2 + number / 10))
        assert pop_all(queue) == [2, 1, 0]

    def test_a_full_queue_drops_the_oldest(self):
        # Guards against memory that grows with a flood of openings.
        queue = newest_first(limit=3)
        for number in range(3):
            assert queue.put(opening(number, 0.0, 1.2)) is None
        displaced = queue.put(opening(3, 0.0, 1.2))
        assert displaced is not None
        assert (displaced.waiting.item, displaced.reason) == (0, "queue_full")
        assert len(queue) == 3


def expired(queue, now):
    return [waiting.item for waiting in queue.expire(now, slots=1, backlog_s=0.0)]


class TestExpiry:
    @pytest.mark.parametrize("make_queue", [newest_first, planned])
    def test_a_packet_expires_by_the_time_its_client_has_waited(self, make_queue):
        # Guards against requests for clients that have abandoned them.
        queue = make_queue(limit=8)
        first, second_copy = opening(0, 0.0, 1.2), opening(1, -0.6, 0.6)
        queue.put(first)
        queue.put(second_copy)
        assert expired(queue, 0.7) == [1]
        assert first.flow in queue
        assert expired(queue, 1.3) == [0]
        assert len(queue) == 0

    def test_a_packet_whose_turn_comes_too_late_is_returned_at_once(self):
        # Guards against clients that wait until their deadline behind a backlog of half a second.
        queue = newest_first(limit=50, work_s=0.02)
        for number in range(50):
            queue.put(opening(number, 0.0, 0.41))
        assert expired(queue, 0.0) == list(range(28, -1, -1))

    @pytest.mark.parametrize("make_queue", [newest_first, planned])
    def test_a_late_packet_doesnt_delay_those_behind_it(self, make_queue):
        # Guards against refusals of older packets with a longer deadline, which could run in time.
        queue = make_queue(limit=8, work_s=0.6)
        queue.put(opening(0, 0.0, 0.5))
        queue.put(opening(1, 0.0, -0.1))
        assert expired(queue, 0.0) == [1]
        assert len(queue) == 1


class TestPlanned:
    def test_packets_are_taken_from_a_plan_until_the_upstream_is_late(self, monkeypatch):
        # Guards against an order that takes the agent's time from its packets: it is planned once
        # for many starts, and again when the plan has become wrong.
        queue = planned(limit=256, work_s=0.05)
        for number in range(10):
            queue.put(opening(number, 0.0, 2.0, target_by=0.05 * number, client=number))
        plans = []
        plan = queue._order.plan
        monkeypatch.setattr(queue._order, "plan", lambda *a, **k: plans.append(1) or plan(*a, **k))
        for step in range(4):
            assert queue.pop_next(step * 0.05, slots=1, backlog_s=0.0).item == step
        assert len(plans) == 1
        assert queue.pop_next(0.26, slots=1, backlog_s=0.0).item == 6
        assert len(plans) == 2

    def test_one_client_cant_fill_the_queue(self):
        # Guards against one client whose flood of openings displaces those of all others.
        queue = planned(limit=8)
        queue.put(opening(0, 0.0, 1.2, client=1))
        displaced = [queue.put(opening(number, number / 10, 1.2)) for number in range(1, 5)]
        assert displaced[:2] == [None, None]
        assert [(one.waiting.item, one.reason) for one in displaced[2:]] == [
            (1, "client_share"),
            (2, "client_share"),
        ]
        assert len(queue) == 3

    def test_a_full_queue_drops_the_oldest_of_the_lowest_class(self):
        # Guards against important requests that a flood of others displaces.
        queue = planned(limit=8)
        for number in range(8):
            queue.put(opening(number, number / 10, 1.2, priority=number % 2, client=number))
        displaced = queue.put(opening(8, 0.9, 1.2, client=8))
        assert (displaced.waiting.item, displaced.reason) == (1, "queue_full")

    def test_another_agent_gets_what_finds_no_place_here(self):
        # Guards against a refusal by an agent with a long backlog while another one is idle.
        queue = planned(limit=8)
        queue.put(opening(0, 0.0, 0.5))
        assert queue.pop_next(0.0, slots=1, backlog_s=1.0).item == 0
        assert queue.pop_next(0.0, slots=1, backlog_s=1.0) is None

    def test_a_hand_over_leaves_its_place_to_another(self):
        # Guards against a refusal by a plan from before others were handed over to idle agents.
        queue = planned(limit=8, work_s=0.3)
        for number in range(2):
            queue.put(opening(number, number / 10, 0.2, client=number))
        assert queue.pop_next(0.0, slots=1, backlog_s=0.0).item == 1
        assert expired(queue, 0.0) == []
        assert queue.pop_next(0.0, slots=1, backlog_s=0.0).item == 0

    def test_only_waits_beyond_a_target_are_overdue(self):
        # Guards against an overload that is reported for routes without a target latency.
        queue = planned(limit=8)
        queue.put(opening(0, 0.0, 0.5))
        assert not queue.has_overdue(0.6)
        queue.put(opening(1, 0.0, 0.5, target_by=0.2))
        assert not queue.has_overdue(0.1)
        assert queue.has_overdue(0.3)
