"""One upstream whose slots, queue and connections `Admission` manages."""

from __future__ import annotations

import math
from collections import Counter

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from laburnumbridge import admission as ad
from laburnumbridge.core import PlanName
from laburnumbridge.core import RefusalReason
from laburnumbridge.core import RequestId

START_TIME_S = 10.0


class AdmissionWorld:
    """One `Admission` on a fake clock, with the requests it started, refused and aborted."""

    def __init__(self) -> None:
        self.now = START_TIME_S
        self.admission = self._make(slots=1)
        self.running: list[RequestId] = []
        self.ran: set[RequestId] = set()
        self.not_run: dict[RequestId, RefusalReason] = {}
        self.decisions_by_request: Counter[RequestId] = Counter()
        self.arrived: list[RequestId] = []
        self.accepted = 0
        self.refused_connections: list[RefusalReason] = []
        self.aborted: set[RequestId] = set()

    def recreate(self, *, slots: int) -> None:
        self.admission = self._make(slots=slots)

    def arrive(self, plan: str, *, deadline: float = math.inf, is_stream: bool = False) -> None:
        request_id = RequestId(f"r{len(self.arrived)}")
        self.arrived.append(request_id)
        event = ad.RequestArrived(
            request_id=request_id, plan=PlanName(plan), deadline=deadline, is_stream=is_stream
        )
        self.handle(event)

    def finish(self, request_id: RequestId, outcome: ad.Outcome, retry_after_s: float = 0) -> None:
        self.running.remove(request_id)
        event = ad.RequestFinished(
            request_id=request_id, outcome=outcome, retry_after_s=retry_after_s
        )
        self.handle(event)

    def cancel(self, request_id: RequestId) -> None:
        if request_id in self.running:
            self.running.remove(request_id)
        self.handle(ad.RequestCancelled(request_id=request_id))

    def wait(self, seconds: float) -> None:
        end = self.now + seconds
        while (due := max(self.now, self.admission.next_deadline())) <= end and due > self.now:
            self.now = due
            self.handle(ad.Tick())
        self.now = end
        self.handle(ad.Tick())

    def handle(self, event: ad.AdmissionEvent) -> None:
        for action in self.admission.handle(event, self.now):
            self._apply(action)

    def _apply(self, action: ad.AdmissionAction) -> None:
        match action:
            case ad.StartRequest(request_id):
                self.decisions_by_request[request_id] += 1
                self.ran.add(request_id)
                self.running.append(request_id)
            case ad.RefuseRequest(request_id, refusal) | ad.ExpireRequest(request_id, refusal):
                self.decisions_by_request[request_id] += 1
                self.not_run[request_id] = refusal.reason
            case ad.AbortRequest(request_id):
                self.aborted.add(request_id)
                self.running.remove(request_id)
            case ad.AcceptConnection():
                self.accepted += 1
            case ad.RefuseConnection(_, refusal):
                self.refused_connections.append(refusal.reason)

    @staticmethod
    def _make(*, slots: int) -> ad.Admission:
        return ad.Admission(settings=ad.AdmissionSettings(slots=slots, connections=2000))


@pytest.fixture
def admission_world() -> AdmissionWorld:
    return AdmissionWorld()


@given(parsers.parse("an upstream with {slots:d} slots"))
def an_upstream(admission_world: AdmissionWorld, slots: int) -> None:
    admission_world.recreate(slots=slots)


@given("the upstream has just started")
def it_starts_cold(admission_world: AdmissionWorld) -> None:
    admission_world.handle(ad.UpstreamStartedCold())


@given(parsers.parse('{count:d} requests of plan "{plan}"'))
@when(parsers.parse('{count:d} requests of plan "{plan}" arrive'))
def requests_arrive(admission_world: AdmissionWorld, count: int, plan: str) -> None:
    for _ in range(count):
        admission_world.arrive(plan)


@given(parsers.parse('{count:d} requests of plan "{plan}" with {seconds:g} seconds left'))
@when(parsers.parse('{count:d} requests of plan "{plan}" with {seconds:g} seconds left arrive'))
def short_requests_arrive(
    admission_world: AdmissionWorld, count: int, plan: str, seconds: float
) -> None:
    for _ in range(count):
        admission_world.arrive(plan, deadline=admission_world.now + seconds)


@given("an open status board")
def a_stream_is_open(admission_world: AdmissionWorld) -> None:
    admission_world.arrive("board", is_stream=True)


@when("a client requests a connection")
def a_client_connects(admission_world: AdmissionWorld) -> None:
    connection_id = ad.ConnectionId(b"client")
    admission_world.handle(ad.ConnectionOpened(connection_id=connection_id, plan=PlanName("board")))


@when(parsers.parse("the upstream sheds a request for {seconds:g} seconds"))
def it_sheds(admission_world: AdmissionWorld, seconds: float) -> None:
    admission_world.finish(admission_world.running[0], ad.Outcome.SHED, seconds)


@when(parsers.parse("{count:d} running requests are answered"))
def running_requests_are_answered(admission_world: AdmissionWorld, count: int) -> None:
    for request_id in admission_world.running[:count]:
        admission_world.finish(request_id, ad.Outcome.SUCCESS)


@when("the upstream refuses the connection")
def it_refuses_connection(admission_world: AdmissionWorld) -> None:
    admission_world.finish(admission_world.running[0], ad.Outcome.CONNECTION_REFUSED)


@when("the clients abort all requests")
def clients_abort(admission_world: AdmissionWorld) -> None:
    for request_id in admission_world.arrived:
        admission_world.cancel(request_id)


@when(parsers.parse('the health endpoint reports "{status}"'))
def health_reports(admission_world: AdmissionWorld, status: str) -> None:
    admission_world.handle(ad.HealthReported(is_up=status == "up"))


@when("the platform lists the upstream as leaving")
def it_is_drained(admission_world: AdmissionWorld) -> None:
    admission_world.handle(ad.DrainStarted())


@when(parsers.parse("{seconds:g} seconds pass at the upstream"))
def time_passes(admission_world: AdmissionWorld, seconds: float) -> None:
    admission_world.wait(seconds)


@then(parsers.parse("{count:d} requests are running"))
def running_count(admission_world: AdmissionWorld, count: int) -> None:
    assert len(admission_world.running) == count


@then(parsers.parse("{count:d} requests have run"))
def ran_count(admission_world: AdmissionWorld, count: int) -> None:
    assert len(admission_world.ran) == count


@then(parsers.parse('{count:d} clients receive "not run" for the reason "{reason}"'))
def refused_count(admission_world: AdmissionWorld, count: int, reason: str) -> None:
    count_by_reason = Counter(str(reason) for reason in admission_world.not_run.values())
    assert count_by_reason[reason] == count


@then('no client receives "not run" for a request that ran')
def no_false_refusal(admission_world: AdmissionWorld) -> None:
    assert not admission_world.ran & admission_world.not_run.keys()
    assert max(admission_world.decisions_by_request.values()) == 1


@then("every request has been started, refused or expired")
def every_request_decided(admission_world: AdmissionWorld) -> None:
    assert set(admission_world.decisions_by_request) == set(admission_world.arrived)


@then("no running request is interrupted")
def none_aborted(admission_world: AdmissionWorld) -> None:
    assert not admission_world.aborted


@then(parsers.parse('the connection is refused for the reason "{reason}"'))
def connection_refused(admission_world: AdmissionWorld, reason: str) -> None:
    assert [str(reason) for reason in admission_world.refused_connections] == [reason]
    assert admission_world.accepted == 0
