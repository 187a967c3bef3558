from __future__ import annotations

import math
from collections import Counter

import pytest

from laburnumbridge.admission import Admission
from laburnumbridge.admission import AdmissionAction
from laburnumbridge.admission import AdmissionSettings
from laburnumbridge.admission import ConnectionClosed
from laburnumbridge.admission import ConnectionId
from laburnumbridge.admission import ConnectionOpened
from laburnumbridge.admission import Outcome
from laburnumbridge.admission import PlanSharesChanged
from laburnumbridge.admission import RequestArrived
from laburnumbridge.admission import RequestFinished
from laburnumbridge.admission import StartRequest
from laburnumbridge.core import PlanName
from laburnumbridge.core import Refusal
from laburnumbridge.core import RefusalReason
from laburnumbridge.core import RequestId

SHARES = {"busy": 0.2, "calm": 0.1}


class Upstream:
    """One `Admission` whose plan ``busy`` has a ceiling."""

    def __init__(self, *, slots: int = 4, connections: int = 4, queue_limit: int = 8) -> None:
        settings = AdmissionSettings(slots=slots, connections=connections, queue_limit=queue_limit)
        self.admission = Admission(settings=settings)

    def publish(self, *, version: int, shares: dict[str, float], **ceilings: float) -> None:
        event = PlanSharesChanged(
            guaranteed_share_by_plan={PlanName(plan): share for plan, share in shares.items()},
            ceiling_by_plan={PlanName(plan): ceiling for plan, ceiling in ceilings.items()},
            list_version=version,
        )
        assert self.admission.handle(event, 0) == []

    def arrive(
        self, name: str, now: float, *, deadline: float = math.inf, stream: bool = False
    ) -> list[AdmissionAction]:
        event = RequestArrived(
            request_id=RequestId(name),
            plan=PlanName(name.split("-")[0]),
            deadline=deadline,
            is_stream=stream,
        )
        return self.admission.handle(event, now)

    def finish(self, name: str, now: float) -> list[AdmissionAction]:
        event = RequestFinished(request_id=RequestId(name), outcome=Outcome.SUCCESS)
        return self.admission.handle(event, now)

    def connect(self, name: bytes, plan: str) -> list[AdmissionAction]:
        event = ConnectionOpened(connection_id=ConnectionId(name), plan=PlanName(plan))
        return self.admission.handle(event, 0)


def _started(actions: list[AdmissionAction]) -> list[str]:
    return [action.request_id for action in actions if isinstance(action, StartRequest)]


def _refusals(actions: list[AdmissionAction]) -> list[Refusal]:
    return [action.refusal for action in actions if hasattr(action, "refusal")]


class TestSlots:
    def test_plan_at_its_ceiling_waits_while_another_starts(self) -> None:
        # Guards against a plan that exceeds its ceiling and so starves another plan.
        upstream = Upstream()
        upstream.publish(version=1, shares=SHARES, busy=0.5)
        started = [_started(upstream.arrive(f"busy-{n}", 0, deadline=20 - n)) for n in range(4)]
        assert started == [["busy-0"], ["busy-1"], [], []]
        assert _started(upstream.arrive("calm-0", 1)) == ["calm-0"]
        assert _started(upstream.arrive("calm-1", 1)) == ["calm-1"]
        assert _started(upstream.finish("calm-0", 2)) == []
        assert _started(upstream.finish("busy-0", 2)) == ["busy-3"]

    def test_plan_at_its_ceiling_leaves_room_in_the_queue(self) -> None:
        # Guards against a queue full of requests that may not start while slots are free.
        upstream = Upstream(queue_limit=4)
        upstream.publish(version=7, shares={"busy": 0.5}, busy=0.5)
        for n in range(4):
            assert _refusals(upstream.arrive(f"busy-{n}", 0, deadline=9)) == []
        (refusal,) = _refusals(upstream.arrive("busy-4", 0, deadline=9))
        assert refusal == Refusal(
            reason=RefusalReason.PLAN_CONCURRENCY,
            plan=PlanName("busy"),
            limit=2,
            used=2,
            list_version=7,
            retry_after_s=None,
        )
        started = [_started(upstream.arrive(f"calm-{n}", 0)) for n in range(4)]
        assert started == [["calm-0"], ["calm-1"], [], []]
        assert _started(upstream.finish("calm-0", 1)) == ["calm-2"]

    def test_plan_may_always_use_one_slot(self) -> None:
        # Guards against a ceiling below one slot, which would block the plan completely.
        upstream = Upstream(slots=3)
        upstream.publish(version=1, shares=SHARES, busy=0.01)
        assert _started(upstream.arrive("busy-0", 0)) == ["busy-0"]
        assert _started(upstream.arrive("busy-1", 0)) == []

    def test_ceilings_are_not_rounded_below_whole_slots(self) -> None:
        # Guards against 0.29 of 100 slots counting as 28.
        upstream = Upstream(slots=100)
        upstream.publish(version=1, shares=SHARES, busy=0.29)
        started = [_started(upstream.arrive(f"busy-{n}", 0)) for n in range(30)]
        assert sum(map(len, started)) == 29

    def test_waiting_at_the_ceiling_earns_no_credit(self) -> None:
        # Guards against credit earned while waiting at the ceiling, which would let the plan use
        # the guaranteed share of a plan that begins to send requests.
        upstream = Upstream(slots=10, queue_limit=30)
        upstream.publish(version=1, shares={**SHARES, "late": 0.7}, busy=0.5)
        running: list[str] = []
        runs: Counter[str] = Counter()
        for step in range(6000):
            now = step * 0.1
            plans = ("busy", "calm") if step < 5000 else ("busy", "calm", "late")
            for plan in plans:
                running += _started(upstream.arrive(f"{plan}-{step}", now, deadline=now + 5))
            done = running.pop(0)
            runs[done.split("-")[0]] += step >= 5000
            running += _started(upstream.finish(done, now))
        assert runs["late"] / runs.total() == pytest.approx(0.7, abs=0.05)


class TestCeilingOfOne:
    def test_ceiling_of_one_changes_no_action(self) -> None:
        # Guards against ceilings that change the order or the reasons when they don't apply.
        actions = []
        for ceilings in ({}, {"busy": 1.0, "calm": 1.0}):
            upstream = Upstream(slots=2, connections=2, queue_limit=2)
            upstream.publish(version=1, shares=SHARES, **ceilings)
            seen = [upstream.arrive(f"busy-{n}", n, deadline=20) for n in range(6)]
            seen += [upstream.arrive(f"calm-{n}", 6, stream=n > 1) for n in range(6)]
            seen += [upstream.finish("busy-0", 7), upstream.connect(b"a", "busy")]
            actions.append(seen)
        assert actions[0] == actions[1]
        reasons = {refusal.reason for seen in actions[0] for refusal in _refusals(seen)}
        assert reasons == {RefusalReason.QUEUE_FULL, RefusalReason.UPSTREAM_CONNECTIONS}


class TestLoweredCeiling:
    def test_running_requests_and_open_connections_continue(self) -> None:
        # Guards against a change of the list that ends running requests, streams or connections.
        upstream = Upstream()
        upstream.publish(version=1, shares=SHARES)
        for n in range(4):
            upstream.arrive(f"busy-{n}", 0)
        upstream.connect(b"a", "busy")
        upstream.arrive("busy-s", 0, stream=True)
        upstream.publish(version=2, shares=SHARES, busy=0.25)
        assert upstream.admission.snapshot().busy_slots == 4
        assert upstream.admission.snapshot().connections == 2
        upstream.arrive("busy-4", 1)
        started = [_started(upstream.finish(f"busy-{n}", 2)) for n in range(4)]
        assert started == [[], [], [], ["busy-4"]]


class TestConnections:
    def test_connections_and_streams_share_the_ceiling(self) -> None:
        # Guards against one plan that uses every connection of the upstream.
        upstream = Upstream()
        upstream.publish(version=3, shares=SHARES, busy=0.5)
        upstream.connect(b"a", "busy")
        assert _started(upstream.arrive("busy-0", 0, stream=True)) == ["busy-0"]
        refusals = _refusals(upstream.connect(b"b", "busy"))
        refusals += _refusals(upstream.arrive("busy-1", 0, stream=True))
        assert refusals == 2 * [
            Refusal(
                reason=RefusalReason.PLAN_CONNECTIONS,
                plan=PlanName("busy"),
                limit=2,
                used=2,
                list_version=3,
                retry_after_s=None,
            )
        ]
        assert _refusals(upstream.connect(b"c", "calm")) == []
        upstream.finish("busy-0", 1)
        assert _refusals(upstream.connect(b"b", "busy")) == []

    def test_first_stream_of_a_connection_at_the_ceiling_starts(self) -> None:
        # Guards against refusing every stream on a client's only connection.
        upstream = Upstream()
        upstream.publish(version=1, shares=SHARES, busy=0.01)
        upstream.connect(b"a", "busy")
        event = RequestArrived(
            request_id=RequestId("s"),
            plan=PlanName("busy"),
            is_stream=True,
            connection_id=ConnectionId(b"a"),
        )
        assert _started(upstream.admission.handle(event, 0)) == ["s"]
        upstream.admission.handle(ConnectionClosed(connection_id=ConnectionId(b"a")), 1)
        assert _refusals(upstream.connect(b"b", "busy")) != []
        upstream.finish("s", 2)
        assert _refusals(upstream.connect(b"b", "busy")) == []
