"""Requests at one agent of three, in the hands of `RequestCoordinator`."""

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
ID = RequestId("r1")
ANSWER = rq.StoredAnswer(201, body=b"made")
FINAL = (
    rq.FinishAnswer,
    rq.CutAnswer,
    rq.ReplayAnswer,
    rq.AnswerOutcomeUnknown,
    rq.AnswerRefused,
    rq.AnswerStatus,
)
# What the client of a request learns, in the words of the features.
WORDS = {
    "a whole answer": rq.FinishAnswer,
    "a cut answer": rq.CutAnswer,
    "the stored answer": rq.ReplayAnswer,
    "outcome unknown": rq.AnswerOutcomeUnknown,
    "not run": rq.AnswerRefused,
}


class RequestsWorld:
    """One coordinator; the steps play its clients, its upstream and its siblings."""

    def __init__(self) -> None:
        self.now = 1.0
        self.actions: list[rq.RequestAction] = []
        self.arrival: rq.RequestArrived | None = None
        self.fleets: list[RequestFleet] = []
        self.use(*SIBLINGS)

    def use(self, *siblings: rq.AgentId, own: rq.AgentId = OWN) -> None:
        agents = frozenset({own, *siblings})
        listed = frozenset(agent.process_id for agent in agents)
        self.coordinator = rq.RequestCoordinator(own=own, now=0.0)
        self.coordinator.handle(rq.AgentSetChanged(0, agents, listed), 0.0)

    def arrive(self, method: str, request_id: RequestId = ID, **fields: object) -> None:
        defaults = {"request_id": request_id, "plan": PlanName("p"), "deadline_s": 5.0}
        self.arrival = rq.RequestArrived(method=method, **{**defaults, **fields})  # type: ignore[arg-type]
        self.tell(self.arrival)

    def tell(self, *events: rq.RequestEvent) -> None:
        for event in events:
            self.actions += self.coordinator.handle(event, self.now)

    def of(self, *kinds: type) -> list[rq.RequestAction]:
        return [action for action in self.actions if isinstance(action, kinds)]


@pytest.fixture
def requests_world() -> RequestsWorld:
    return RequestsWorld()


@given(parsers.re(r"a (?P<kind>lodgement|status query) that its upstream has begun"))
def begun(requests_world: RequestsWorld, kind: str) -> None:
    requests_world.arrive("POST" if kind == "lodgement" else "GET")
    requests_world.tell(rq.AdmissionStarted(ID), rq.UpstreamBytesSent(ID))


@given(parsers.re(r"a (?P<kind>lodgement|status query) that waits for a slot"))
def waiting(requests_world: RequestsWorld, kind: str) -> None:
    requests_world.arrive("POST" if kind == "lodgement" else "GET")


@given("a lodgement with an idempotency key that its upstream has begun")
def begun_with_key(requests_world: RequestsWorld) -> None:
    requests_world.use()
    requests_world.arrive("POST", key="k", first_attempt_age_s=0.0)
    requests_world.tell(rq.AdmissionStarted(ID), rq.UpstreamBytesSent(ID))


@given("a lodgement that a sibling handed to this agent")
def handed_over(requests_world: RequestsWorld) -> None:
    requests_world.arrive("POST", role=rq.ArrivalRole.RETRY, addressee=OWN)
    requests_world.tell(rq.AdmissionStarted(ID), rq.UpstreamBytesSent(ID))


@given("the agent has been restarted since on the same address")
@when("the agent is restarted on the same address")
def restarted(requests_world: RequestsWorld) -> None:
    own = rq.AgentId(OWN.process_id, Incarnation(OWN.incarnation + 1))
    requests_world.use(*SIBLINGS, own=own)


@when("the same message arrives again")
def doubled(requests_world: RequestsWorld) -> None:
    assert requests_world.arrival is not None
    requests_world.tell(requests_world.arrival, rq.AdmissionStarted(ID))


@when("the upstream is lost")
def upstream_lost(requests_world: RequestsWorld) -> None:
    requests_world.tell(rq.UpstreamLost(ID))


@when("a late message says that no connection was established")
def late_not_connected(requests_world: RequestsWorld) -> None:
    requests_world.tell(rq.UpstreamNotConnected(ID))


@when("the upstream sheds it")
def upstream_sheds(requests_world: RequestsWorld) -> None:
    requests_world.tell(rq.UpstreamHeaders(ID, 503, retry_after_s=2.0))


@when("the answer begins")
def answer_begins(requests_world: RequestsWorld) -> None:
    requests_world.tell(rq.UpstreamHeaders(ID, 200))


@when("the answer ends")
@when("the end of the answer overtakes its beginning")
def answer_ends(requests_world: RequestsWorld) -> None:
    requests_world.tell(rq.UpstreamCompleted(ID, ANSWER))


@when("the sibling answers in full")
def sibling_answers(requests_world: RequestsWorld) -> None:
    requests_world.tell(rq.SiblingHeaders(ID, 1, 200), rq.SiblingCompleted(ID, 1))


@when("the sibling refuses it because its queue is full")
def sibling_refuses(requests_world: RequestsWorld) -> None:
    refusal = Refusal(reason=RefusalReason.QUEUE_FULL)
    requests_world.tell(rq.SiblingRefused(ID, 1, refusal), rq.SiblingRefused(ID, 2, refusal))


@when("the whole answer of the lost upstream arrives late")
def late_answer(requests_world: RequestsWorld) -> None:
    requests_world.tell(rq.UpstreamHeaders(ID, 500), rq.UpstreamCompleted(ID))


@when("the client gives up and repeats it under the same key")
def client_repeats(requests_world: RequestsWorld) -> None:
    requests_world.tell(rq.ClientAborted(ID))
    requests_world.now += 1
    requests_world.arrive("POST", RequestId("r2"), key="k", first_attempt_age_s=1.0)


@when("the client gives up")
def client_gives_up(requests_world: RequestsWorld) -> None:
    requests_world.tell(rq.ClientAborted(ID))


@when("its upstream is found to be leaving")
def found_leaving(requests_world: RequestsWorld) -> None:
    requests_world.tell(rq.AdmissionRefused(ID, Refusal(reason=RefusalReason.DRAINING)))


@when(parsers.parse("its deadline passes and the slot is granted late"))
def slot_too_late(requests_world: RequestsWorld) -> None:
    requests_world.now += 5.0
    requests_world.tell(rq.Tick(), rq.AdmissionStarted(ID))


@then(parsers.re(r'the client is told "(?P<word>[^"]+)", once'))
def reported_once(requests_world: RequestsWorld, word: str) -> None:
    assert [type(action) for action in requests_world.of(*FINAL)] == [WORDS[word]]


@then(parsers.re(r'the client is not told "(?P<word>[^"]+)"'))
def not_reported(requests_world: RequestsWorld, word: str) -> None:
    assert not requests_world.of(WORDS[word])


@then(parsers.parse("it was sent to an upstream {count:d} times"))
def sent(requests_world: RequestsWorld, count: int) -> None:
    assert len(requests_world.of(rq.SendUpstream, rq.ForwardToSibling)) == count


@then("its slot is free at once and the upstream is told to stop")
def slot_is_free(requests_world: RequestsWorld) -> None:
    assert rq.ReleaseAdmission(ID) in requests_world.actions
    assert rq.CancelUpstream(ID) in requests_world.actions


@given(parsers.parse("a fleet with crashes, partitions and doubled messages, seeds {seeds}"))
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
def none_doubled(requests_world: RequestsWorld) -> None:
    assert [fleet.doubled_requests for fleet in requests_world.fleets] == [0] * len(
        requests_world.fleets
    )


@then('no client in the fleet is told "not run" for a request that runs')
def none_refused_falsely(requests_world: RequestsWorld) -> None:
    assert [fleet.false_not_run for fleet in requests_world.fleets] == [0] * len(
        requests_world.fleets
    )


@then("the answer that the client sees is the sibling's")
def answer_of_sibling(requests_world: RequestsWorld) -> None:
    assert requests_world.of(rq.StartAnswer) == [rq.StartAnswer(ID, 200)]
