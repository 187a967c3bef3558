"""Requests that the `RequestCoordinator` of one of three agents handles."""

from __future__ import annotations

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from laburnumbridge import requests as rq
from laburnumbridge.core import Incarnation
from laburnumbridge.core import PlanName
from laburnumbridge.core import ProcessId
from laburnumbridge.core import Refusal
from laburnumbridge.core import RefusalReason
from laburnumbridge.core import RequestId
from laburnumbridge.standins.benchmarks.requests import RequestFleet

OWN = rq.AgentId(ProcessId("a0"), Incarnation(7))
SIBLINGS = [rq.AgentId(ProcessId(name), Incarnation(7)) for name in ("a1", "a2")]
REQUEST_ID = RequestId("r1")
ANSWER = rq.StoredAnswer(201, body=b"made")
FINAL_ACTIONS = (
    rq.FinishAnswer,
    rq.CutAnswer,
    rq.ReplayAnswer,
    rq.AnswerOutcomeUnknown,
    rq.AnswerRefused,
    rq.AnswerStatus,
)
# The final result that a client receives, as the features name it.
ACTION_BY_RESULT = {
    "a whole answer": rq.FinishAnswer,
    "a cut answer": rq.CutAnswer,
    "the stored answer": rq.ReplayAnswer,
    "outcome unknown": rq.AnswerOutcomeUnknown,
    "not run": rq.AnswerRefused,
}


class RequestsWorld:
    """One coordinator; the steps simulate its clients, its upstream and its siblings."""

    def __init__(self) -> None:
        self.now = 1.0
        self.actions: list[rq.RequestAction] = []
        self.last_arrival: rq.RequestArrived | None = None
        self.fleets: list[RequestFleet] = []
        self.start_coordinator(*SIBLINGS)

    def start_coordinator(self, *siblings: rq.AgentId, own: rq.AgentId = OWN) -> None:
        agents = frozenset({own, *siblings})
        listed = frozenset(agent.process_id for agent in agents)
        self.coordinator = rq.RequestCoordinator(own=own, now=0.0)
        self.coordinator.handle(rq.AgentSetChanged(0, agents, listed), 0.0)

    def arrive(self, method: str, request_id: RequestId = REQUEST_ID, **fields: object) -> None:
        defaults = {"request_id": request_id, "plan": PlanName("p"), "deadline_s": 5.0}
        self.last_arrival = rq.RequestArrived(method=method, **{**defaults, **fields})  # type: ignore[arg-type]
        self.handle(self.last_arrival)

    def handle(self, *events: rq.RequestEvent) -> None:
        for event in events:
            self.actions += self.coordinator.handle(event, self.now)

    def actions_of(self, *kinds: type) -> list[rq.RequestAction]:
        return [action for action in self.actions if isinstance(action, kinds)]


@pytest.fixture
def requests_world() -> RequestsWorld:
    return RequestsWorld()


@given(parsers.re(r"a (?P<kind>lodgement|status query) that was sent to its upstream"))
def sent_to_upstream(requests_world: RequestsWorld, kind: str) -> None:
    requests_world.arrive("POST" if kind == "lodgement" else "GET")
    requests_world.handle(rq.AdmissionStarted(REQUEST_ID), rq.UpstreamBytesSent(REQUEST_ID))


@given(parsers.re(r"a (?P<kind>lodgement|status query) that waits for a slot"))
def waiting(requests_world: RequestsWorld, kind: str) -> None:
    requests_world.arrive("POST" if kind == "lodgement" else "GET")


@given("a lodgement with an idempotency key that was sent to its upstream")
def sent_with_key(requests_world: RequestsWorld) -> None:
    requests_world.start_coordinator()
    requests_world.arrive("POST", key="k", first_attempt_age_s=0.0)
    requests_world.handle(rq.AdmissionStarted(REQUEST_ID), rq.UpstreamBytesSent(REQUEST_ID))


@given("a lodgement that a sibling forwarded to this agent")
def forwarded_by_sibling(requests_world: RequestsWorld) -> None:
    requests_world.arrive("POST", role=rq.ArrivalRole.RETRY, addressee=OWN)
    requests_world.handle(rq.AdmissionStarted(REQUEST_ID), rq.UpstreamBytesSent(REQUEST_ID))


@given("the agent has since been restarted on the same address")
@when("the agent is restarted on the same address")
def restarted(requests_world: RequestsWorld) -> None:
    own = rq.AgentId(OWN.process_id, Incarnation(OWN.incarnation + 1))
    requests_world.start_coordinator(*SIBLINGS, own=own)


@when("the same message arrives again")
def arrives_again(requests_world: RequestsWorld) -> None:
    assert requests_world.last_arrival is not None
    requests_world.handle(requests_world.last_arrival, rq.AdmissionStarted(REQUEST_ID))


@when("the upstream is lost")
def upstream_lost(requests_world: RequestsWorld) -> None:
    requests_world.handle(rq.UpstreamLost(REQUEST_ID))


@when("a late message reports that no connection was established")
def late_not_connected(requests_world: RequestsWorld) -> None:
    requests_world.handle(rq.UpstreamNotConnected(REQUEST_ID))


@when("the upstream sheds it")
def upstream_sheds(requests_world: RequestsWorld) -> None:
    requests_world.handle(rq.UpstreamHeaders(REQUEST_ID, 503, retry_after_s=2.0))


@when("the answer begins")
def answer_begins(requests_world: RequestsWorld) -> None:
    requests_world.handle(rq.UpstreamHeaders(REQUEST_ID, 200))


@when("the answer ends")
@when("the end of the answer overtakes its beginning")
def answer_ends(requests_world: RequestsWorld) -> None:
    requests_world.handle(rq.UpstreamCompleted(REQUEST_ID, ANSWER))


@when("the sibling answers in full")
def sibling_answers(requests_world: RequestsWorld) -> None:
    requests_world.handle(rq.SiblingHeaders(REQUEST_ID, 1, 200), rq.SiblingCompleted(REQUEST_ID, 1))


@when("the sibling refuses it because its queue is full")
def sibling_refuses(requests_world: RequestsWorld) -> None:
    refusal = Refusal(reason=RefusalReason.QUEUE_FULL)
    requests_world.handle(
        rq.SiblingRefused(REQUEST_ID, 1, refusal), rq.SiblingRefused(REQUEST_ID, 2, refusal)
    )


@when("the whole answer of the lost upstream arrives late")
def late_answer(requests_world: RequestsWorld) -> None:
    requests_world.handle(rq.UpstreamHeaders(REQUEST_ID, 500), rq.UpstreamCompleted(REQUEST_ID))


@when("the client aborts it and repeats it with the same key")
def client_repeats(requests_world: RequestsWorld) -> None:
    requests_world.handle(rq.ClientAborted(REQUEST_ID))
    requests_world.now += 1
    requests_world.arrive("POST", RequestId("r2"), key="k", first_attempt_age_s=1.0)


@when("the client aborts it")
def client_aborts(requests_world: RequestsWorld) -> None:
    requests_world.handle(rq.ClientAborted(REQUEST_ID))


@when("admission refuses it because its upstream is draining")
def upstream_draining(requests_world: RequestsWorld) -> None:
    requests_world.handle(rq.AdmissionRefused(REQUEST_ID, Refusal(reason=RefusalReason.DRAINING)))


@when(parsers.parse("its deadline passes and the slot is granted late"))
def slot_granted_late(requests_world: RequestsWorld) -> None:
    requests_world.now += 5.0
    requests_world.handle(rq.Tick(), rq.AdmissionStarted(REQUEST_ID))


@then(parsers.re(r'the client receives "(?P<result>[^"]+)" exactly once'))
def received_once(requests_world: RequestsWorld, result: str) -> None:
    assert [type(action) for action in requests_world.actions_of(*FINAL_ACTIONS)] == [
        ACTION_BY_RESULT[result]
    ]


@then(parsers.re(r'the client does not receive "(?P<result>[^"]+)"'))
def not_received(requests_world: RequestsWorld, result: str) -> None:
    assert not requests_world.actions_of(ACTION_BY_RESULT[result])


@then(parsers.parse("it was sent to an upstream {count:d} times"))
def sent_times(requests_world: RequestsWorld, count: int) -> None:
    assert len(requests_world.actions_of(rq.SendUpstream, rq.ForwardToSibling)) == count


@then("its slot is released and its request to the upstream is cancelled")
def slot_released(requests_world: RequestsWorld) -> None:
    assert rq.ReleaseAdmission(REQUEST_ID) in requests_world.actions
    assert rq.CancelUpstream(REQUEST_ID) in requests_world.actions


@given(parsers.parse("a fleet with crashes, partitions and duplicated messages, seeds {seeds}"))
def faulty_fleets(requests_world: RequestsWorld, seeds: str) -> None:
    for seed in seeds.split(" and "):
        fleet = RequestFleet(seed=int(seed), at_most_once=True, simulated_s=200.0)
        requests_world.fleets.append(fleet)


@when("clients send requests for 200 seconds")
def clients_send(requests_world: RequestsWorld) -> None:
    for fleet in requests_world.fleets:
        fleet.run()
        assert len(fleet.operations) == 2000


@then("no non-idempotent request runs twice")
def none_runs_twice(requests_world: RequestsWorld) -> None:
    assert [fleet.doubled_requests for fleet in requests_world.fleets] == [0] * len(
        requests_world.fleets
    )


@then('no client in the fleet receives "not run" for a request that runs')
def none_refused_falsely(requests_world: RequestsWorld) -> None:
    assert [fleet.false_not_run for fleet in requests_world.fleets] == [0] * len(
        requests_world.fleets
    )


@then("the answer that the client sees is the sibling's")
def answer_of_sibling(requests_world: RequestsWorld) -> None:
    assert requests_world.actions_of(rq.StartAnswer) == [rq.StartAnswer(REQUEST_ID, 200)]
