from __future__ import annotations

import math
from collections import Counter

import pytest

from laburnumbridge.admission import AbortRequest
from laburnumbridge.admission import AcceptConnection
from laburnumbridge.admission import Admission
from laburnumbridge.admission import AdmissionAction
from laburnumbridge.admission import AdmissionSettings
from laburnumbridge.admission import ConnectionClosed
from laburnumbridge.admission import ConnectionId
from laburnumbridge.admission import ConnectionOpened
from laburnumbridge.admission import DrainStarted
from laburnumbridge.admission import ExpireRequest
from laburnumbridge.admission import HealthReported
from laburnumbridge.admission import LoadReported
from laburnumbridge.admission import Outcome
from laburnumbridge.admission import PlanSharesChanged
from laburnumbridge.admission import RefuseConnection
from laburnumbridge.admission import RefuseRequest
from laburnumbridge.admission import RequestAnswered
from laburnumbridge.admission import RequestArrived
from laburnumbridge.admission import RequestCancelled
from laburnumbridge.admission import RequestFinished
from laburnumbridge.admission import StartRequest
from laburnumbridge.admission import Tick
from laburnumbridge.admission import UpstreamStartedCold
from laburnumbridge.core import PlanName
from laburnumbridge.core import RefusalReason
from laburnumbridge.core import RequestId


class Upstream:
    """One `Admission` with short forms of its events."""

    def __init__(self, *, slots: int = 4, connections: int = 3, queue_limit: int = 4) -> None:
        settings = AdmissionSettings(slots=slots, connections=connections, queue_limit=queue_limit)
        self.admission = Admission(settings=settings)

    def arrive(
        self, name: str, now: float, *, plan: str = "p", deadline: float = math.inf
    ) -> list[AdmissionAction]:
        event = RequestArrived(request_id=RequestId(name), plan=PlanName(plan), deadline=deadline)
        return self.admission.handle(event, now)

    def stream(self, name: str, connection: bytes, now: float) -> list[AdmissionAction]:
        event = RequestArrived(
            request_id=RequestId(name),
            plan=PlanName("p"),
            is_stream=True,
            connection_id=ConnectionId(connection),
        )
        return self.admission.handle(event, now)

    def finish(
        self, name: str, now: float, outcome: Outcome = Outcome.SUCCESS, retry_after_s: float = 0.0
    ) -> list[AdmissionAction]:
        event = RequestFinished(
            request_id=RequestId(name), outcome=outcome, retry_after_s=retry_after_s
        )
        return self.admission.handle(event, now)

    def connect(self, name: bytes, now: float) -> list[AdmissionAction]:
        event = ConnectionOpened(connection_id=ConnectionId(name), plan=PlanName("p"))
        return self.admission.handle(event, now)

    def fill(self, now: float) -> None:
        for n in range(self.admission.snapshot().usable_slots):
            assert self.arrive(f"fill-{n}", now) == [StartRequest(RequestId(f"fill-{n}"))]


def _reasons(actions: list[AdmissionAction]) -> list[RefusalReason]:
    return [action.refusal.reason for action in actions if hasattr(action, "refusal")]


def _started(actions: list[AdmissionAction]) -> list[str]:
    return [action.request_id for action in actions if isinstance(action, StartRequest)]


class TestQueue:
    def test_earliest_deadline_starts_first(self) -> None:
        # Guards against an early deadline missed behind a request with a later one.
        upstream = Upstream(slots=1)
        upstream.fill(0)
        upstream.arrive("late", 0, deadline=9)
        upstream.arrive("early", 0, deadline=5)
        assert _started(upstream.finish("fill-0", 1)) == ["early"]

    def test_expired_request_is_answered_and_not_run(self) -> None:
        # Guards against running work whose client has stopped waiting.
        upstream = Upstream(slots=1)
        upstream.fill(0)
        upstream.arrive("late", 0, deadline=2)
        assert upstream.admission.next_deadline() == 2
        actions = upstream.admission.handle(Tick(), 2)
        assert [type(action) for action in actions] == [ExpireRequest]
        assert _reasons(actions) == [RefusalReason.DEADLINE_EXPIRED]
        assert upstream.finish("fill-0", 3) == []

    def test_overdue_running_request_frees_its_slot_without_a_refusal(self) -> None:
        # Guards against reporting a request that may have run as not run.
        upstream = Upstream(slots=1)
        upstream.arrive("slow", 0, deadline=2)
        upstream.arrive("next", 0)
        assert upstream.admission.next_deadline() == 2
        actions = upstream.admission.handle(Tick(), 2)
        assert actions == [AbortRequest(RequestId("slow")), StartRequest(RequestId("next"))]

    def test_finish_at_the_deadline_counts_as_finished(self) -> None:
        # Guards against aborting a request that completes at its deadline.
        upstream = Upstream()
        upstream.arrive("a", 0, deadline=2)
        assert upstream.finish("a", 2) == []

    def test_cancelled_requests_free_slot_and_queue_entry(self) -> None:
        # Guards against slots that stay busy after clients have cancelled their requests.
        upstream = Upstream(slots=1)
        upstream.fill(0)
        upstream.arrive("queued", 0)
        upstream.arrive("next", 0)
        cancel = RequestCancelled(request_id=RequestId("queued"))
        assert upstream.admission.handle(cancel, 1) == []
        cancel = RequestCancelled(request_id=RequestId("fill-0"))
        assert _started(upstream.admission.handle(cancel, 1)) == ["next"]
        assert upstream.finish("fill-0", 2) == []
        assert upstream.admission.snapshot().busy_slots == 1


class TestFairness:
    @pytest.mark.parametrize("small_share", [0.1, 0.25, 0.5])
    def test_slots_follow_the_guaranteed_shares(self, small_share: float) -> None:
        # Guards against one plan using the shares of the others once the upstream is full.
        upstream = Upstream(slots=3, queue_limit=20)
        shares = {PlanName("big"): 1 - small_share, PlanName("small"): small_share}
        event = PlanSharesChanged(guaranteed_share_by_plan=shares, list_version=1)
        upstream.admission.handle(event, 0)
        running: list[str] = []
        runs: Counter[str] = Counter()
        for step in range(3000):
            now = step * 0.01
            for plan in ("big", "small"):
                running += _started(upstream.arrive(f"{plan}-{step}", now, plan=plan, deadline=99))
            if step % 10 == 0:
                done = running.pop(0)
                runs[done.split("-")[0]] += 1
                running += _started(upstream.finish(done, now))
        assert runs["small"] / runs.total() == pytest.approx(small_share, abs=0.03)

    def test_full_queue_drops_the_plan_with_the_greatest_use(self) -> None:
        # Guards against a plan that fills the queue and so blocks a plan within its share.
        upstream = Upstream(slots=1, queue_limit=2)
        shares = {PlanName("flood"): 0.5, PlanName("calm"): 0.5}
        event = PlanSharesChanged(guaranteed_share_by_plan=shares, list_version=7)
        upstream.admission.handle(event, 0)
        upstream.arrive("f0", 0, plan="flood")
        upstream.arrive("f1", 0, plan="flood", deadline=5)
        upstream.arrive("f2", 0, plan="flood", deadline=6)
        (dropped,) = upstream.arrive("c0", 0, plan="calm", deadline=9)
        assert isinstance(dropped, RefuseRequest)
        assert dropped.request_id == "f2"
        assert dropped.refusal.reason is RefusalReason.QUEUE_FULL
        assert (dropped.refusal.list_version, dropped.refusal.limit) == (7, 2)
        assert _started(upstream.finish("f0", 1)) == ["c0"]


class TestConnections:
    def test_limit_counts_streams_beyond_the_first_of_each_connection(self) -> None:
        # Guards against exceeding the upstream's connection limit, and against counting a
        # connection with a single stream twice.
        upstream = Upstream(connections=3)
        assert upstream.connect(b"a", 0) == [AcceptConnection(ConnectionId(b"a"))]
        upstream.connect(b"b", 0)
        assert _started(upstream.stream("s1", b"a", 0)) == ["s1"]
        assert upstream.admission.snapshot().connections == 2
        assert _started(upstream.stream("s2", b"a", 0)) == ["s2"]
        (refused,) = upstream.connect(b"c", 0)
        assert isinstance(refused, RefuseConnection)
        assert _reasons([refused]) == [RefusalReason.UPSTREAM_CONNECTIONS]
        assert _reasons(upstream.stream("s3", b"a", 0)) == [RefusalReason.UPSTREAM_CONNECTIONS]
        upstream.admission.handle(ConnectionClosed(connection_id=ConnectionId(b"a")), 1)
        assert upstream.admission.snapshot().connections == 3
        upstream.finish("s1", 1)
        upstream.finish("s2", 1)
        assert upstream.admission.snapshot().connections == 1
        assert upstream.admission.snapshot().busy_slots == 0


class TestDrain:
    def test_new_work_is_refused_and_accepted_work_still_runs(self) -> None:
        # Guards against a drain that loses accepted requests or accepts new ones.
        upstream = Upstream(slots=1)
        upstream.fill(0)
        upstream.arrive("queued", 0)
        upstream.admission.handle(DrainStarted(), 1)
        assert _reasons(upstream.arrive("new", 1)) == [RefusalReason.DRAINING]
        assert _reasons(upstream.connect(b"new", 1)) == [RefusalReason.DRAINING]
        assert _started(upstream.finish("fill-0", 2)) == ["queued"]


class TestCapacity:
    def test_slots_grow_over_the_window_after_a_cold_start(self) -> None:
        # Guards against full load on an upstream that has just started.
        upstream = Upstream(slots=4, queue_limit=9)
        upstream.admission.handle(UpstreamStartedCold(), 0)
        for n in range(8):
            upstream.arrive(f"r{n}", 0, deadline=100)
        grown = []
        while (at := upstream.admission.next_deadline()) < 100:
            grown.append((at, len(_started(upstream.admission.handle(Tick(), at)))))
        assert grown == [(7.5, 1), (15.0, 1), (22.5, 1)]

    def test_shed_answer_lowers_the_slots_for_its_retry_after(self) -> None:
        # Guards against sending requests to an upstream during its Retry-After period.
        upstream = Upstream(slots=2, queue_limit=2)
        upstream.fill(0)
        upstream.arrive("next", 0)
        assert upstream.finish("fill-0", 1, Outcome.SHED, retry_after_s=5) == []
        assert upstream.admission.snapshot().usable_slots == 1
        assert upstream.finish("fill-1", 1, Outcome.SHED, retry_after_s=5) == []
        actions = upstream.arrive("short", 2, deadline=4)
        assert _reasons(actions) == [RefusalReason.UPSTREAM_SHEDDING]
        assert upstream.admission.next_deadline() == 6
        assert _started(upstream.admission.handle(Tick(), 6)) == ["next"]
        assert _started(upstream.arrive("more", 6)) == []
        assert _started(upstream.admission.handle(Tick(), 7)) == ["more"]

    def test_shed_streams_leave_one_slot(self) -> None:
        # Guards against refusing requests because the upstream sheds streams.
        upstream = Upstream(slots=4)
        for n in range(5):
            upstream.stream(f"s{n}", b"a", n)
            upstream.finish(f"s{n}", n, Outcome.SHED, retry_after_s=30)
        assert _started(upstream.arrive("a", 5)) == ["a"]
        assert _started(upstream.arrive("b", 5)) == []

    def test_health_report_down_is_ignored_after_a_recent_success(self) -> None:
        # Guards against an outage caused by a health endpoint that wrongly reports "down".
        upstream = Upstream()
        upstream.fill(0)
        upstream.finish("fill-0", 1)
        upstream.admission.handle(HealthReported(is_up=False), 2)
        assert upstream.admission.snapshot().usable_slots == 4

    def test_health_report_down_allows_one_request_until_one_succeeds(self) -> None:
        upstream = Upstream()
        upstream.admission.handle(HealthReported(is_up=False), 0)
        assert _started(upstream.arrive("a", 1)) == ["a"]
        assert _started(upstream.arrive("b", 1)) == []
        assert _started(upstream.finish("a", 2)) == ["b"]
        assert _started(upstream.arrive("c", 2)) == ["c"]

    def test_health_report_up_starts_one_probe_while_connections_are_refused(self) -> None:
        # Guards against losing requests to an upstream that reports "up" but refuses connections.
        upstream = Upstream()
        upstream.arrive("a", 0)
        upstream.finish("a", 0, Outcome.CONNECTION_REFUSED)
        upstream.admission.handle(HealthReported(is_up=True), 0.5)
        assert _reasons(upstream.arrive("short", 0.5, deadline=0.9)) == [RefusalReason.NO_UPSTREAM]
        upstream.arrive("b", 0.5)
        upstream.arrive("c", 0.5)
        assert upstream.admission.next_deadline() == 1
        assert _started(upstream.admission.handle(Tick(), 1)) == ["b"]
        upstream.admission.handle(HealthReported(is_up=True), 5)
        assert upstream.admission.handle(Tick(), 5) == []
        assert _reasons(upstream.stream("s", b"x", 5)) == [RefusalReason.NO_UPSTREAM]
        assert upstream.admission.handle(RequestAnswered(request_id=RequestId("b")), 6) == []
        assert _started(upstream.finish("b", 6)) == ["c"]
        assert not upstream.admission.snapshot().is_probing

    def test_probing_begins_after_two_lost_connections(self) -> None:
        # Guards against lowering the capacity because the upstream closed an idle connection.
        upstream = Upstream()
        upstream.fill(0)
        upstream.finish("fill-0", 1, Outcome.CONNECTION_LOST)
        assert not upstream.admission.snapshot().is_probing
        upstream.finish("fill-1", 1, Outcome.CONNECTION_LOST)
        assert upstream.admission.snapshot().is_probing

    def test_load_report_removes_one_slot_until_a_success(self) -> None:
        upstream = Upstream()
        upstream.arrive("a", 0)
        upstream.admission.handle(LoadReported(busy_slots=4), 1)
        assert upstream.admission.snapshot().usable_slots == 3
        upstream.finish("a", 1.5)
        assert upstream.admission.snapshot().usable_slots == 4
