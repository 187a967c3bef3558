from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from laburnumbridge import requests as rq
from laburnumbridge.core import Incarnation
from laburnumbridge.core import PlanName
from laburnumbridge.core import ProcessId
from laburnumbridge.core import Refusal
from laburnumbridge.core import RefusalReason
from laburnumbridge.core import RequestId
from laburnumbridge.standins.benchmarks.requests import RequestFleet

OWN, *SIBLINGS = (rq.AgentId(ProcessId(f"a{n}"), Incarnation(1)) for n in range(3))
NO_UPSTREAM = Refusal(reason=RefusalReason.NO_UPSTREAM)
ANSWER = rq.StoredAnswer(200, body=b"done")


class CoordinatorMachine(RuleBasedStateMachine):
    """One coordinator whose events are true, but may arrive late, twice and out of order."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.coordinator = rq.RequestCoordinator(own=OWN, now=0.0)
        agents = frozenset({OWN, *SIBLINGS})
        self.apply_event(rq.AgentSetChanged(0, agents, frozenset(a.process_id for a in agents)))
        self.methods: dict[RequestId, str] = {}
        self.pending_events: list[rq.RequestEvent] = []
        self.unresolved_sends: list[rq.SendUpstream | rq.ForwardToSibling] = []
        self.runs: Counter[RequestId] = Counter()
        self.finals: Counter[RequestId] = Counter()
        self.refused: set[RequestId] = set()

    def apply_event(self, event: rq.RequestEvent) -> None:
        for action in self.coordinator.handle(event, self.now):
            self.apply_action(action)

    def apply_action(self, action: rq.RequestAction) -> None:
        if isinstance(action, rq.SendUpstream | rq.ForwardToSibling):
            self.unresolved_sends.append(action)
        elif isinstance(action, rq.RequestAdmission):
            self.pending_events.append(rq.AdmissionStarted(action.request_id))
        elif isinstance(action, rq.FinalAnswer):
            self.finals[action.request_id] += 1
            if isinstance(action, rq.AnswerRefused):
                self.refused.add(action.request_id)

    @rule(
        method=st.sampled_from(["GET", "POST"]),
        deadline_s=st.sampled_from([None, 0.5, 5.0]),
        keyed=st.booleans(),
    )
    def arrive(self, method: str, deadline_s: float | None, keyed: bool) -> None:
        request_id = RequestId(f"r{len(self.methods)}")
        self.methods[request_id] = method
        self.apply_event(
            rq.RequestArrived(
                request_id=request_id,
                method=method,
                plan=PlanName("p"),
                deadline_s=deadline_s,
                key=request_id if keyed else None,
                first_attempt_age_s=0.0,
            )
        )

    @precondition(lambda self: self.unresolved_sends)
    @rule(outcome=st.sampled_from(["unconnected", "refused", "silent", "lost", "cut", "whole"]))
    def decide(self, outcome: str) -> None:
        action = self.unresolved_sends.pop(0)
        if outcome in ("lost", "cut", "whole"):
            self.runs[action.request_id] += 1
        if isinstance(action, rq.SendUpstream):
            self.pending_events += self.upstream_events(action.request_id, outcome)
        else:
            self.pending_events += self.sibling_events(action.request_id, action.attempt, outcome)

    @staticmethod
    def upstream_events(request_id: RequestId, outcome: str) -> list[rq.RequestEvent]:
        sent, lost = rq.UpstreamBytesSent(request_id), rq.UpstreamLost(request_id)
        headers = rq.UpstreamHeaders(request_id, 200)
        return {
            "unconnected": [rq.UpstreamNotConnected(request_id)],
            "refused": [sent, rq.UpstreamHeaders(request_id, 503, 1.0)],
            "silent": [sent],
            "lost": [sent, lost],
            "cut": [sent, headers, lost],
            "whole": [sent, headers, rq.UpstreamCompleted(request_id, ANSWER)],
        }[outcome]

    @staticmethod
    def sibling_events(request_id: RequestId, attempt: int, outcome: str) -> list[rq.RequestEvent]:
        lost = rq.SiblingLost(request_id, attempt)
        headers = rq.SiblingHeaders(request_id, attempt, 200)
        return {
            "unconnected": [rq.SiblingNotConnected(request_id, attempt)],
            "refused": [rq.SiblingRefused(request_id, attempt, NO_UPSTREAM)],
            "silent": [],
            "lost": [lost],
            "cut": [headers, lost],
            "whole": [headers, rq.SiblingCompleted(request_id, attempt, ANSWER)],
        }[outcome]

    @precondition(lambda self: self.pending_events)
    @rule(pick=st.integers(0, 1000), again=st.booleans())
    def deliver(self, pick: int, again: bool) -> None:
        event = self.pending_events[pick % len(self.pending_events)]
        if not again:
            self.pending_events.remove(event)
        self.apply_event(event)

    @precondition(lambda self: self.methods)
    @rule(pick=st.integers(0, 1000))
    def client_leaves(self, pick: int) -> None:
        self.apply_event(rq.ClientAborted(RequestId(f"r{pick % len(self.methods)}")))

    @rule(seconds=st.sampled_from([0.01, 0.4, 3.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.apply_event(rq.Tick())

    @invariant()
    def at_most_one_run_and_one_answer(self) -> None:
        unsafe = [request_id for request_id, method in self.methods.items() if method == "POST"]
        assert all(self.runs[request_id] <= 1 for request_id in unsafe)
        assert all(count == 1 for count in self.finals.values())
        assert not any(self.runs[request_id] for request_id in self.refused)

    def teardown(self) -> None:
        # A started answer without a deadline may stay open until its end is reported; every
        # connection ends at some time, so the pending events are delivered first.
        for event in list(self.pending_events):
            self.apply_event(event)
        self.now += 200.0
        self.apply_event(rq.Tick())
        self.at_most_one_run_and_one_answer()
        assert self.finals == Counter(dict.fromkeys(self.methods, 1))


CoordinatorMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=150,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
)


class TestCoordinatorInvariants(CoordinatorMachine.TestCase):  # type: ignore[name-defined,misc]
    """Guards against second runs, false refusals, and missing or second answers."""


class TestFleetInvariants:
    @pytest.mark.parametrize("seed", [1, 2, 6])
    def test_keyed_requests_run_once_under_faults(self, seed: int) -> None:
        # Guards against second runs across crashes, partitions and changes of the agent set.
        fleet = RequestFleet(seed=seed, at_most_once=True, simulated_s=200.0)
        fleet.run()
        assert fleet.operations
        assert (fleet.doubled_requests, fleet.false_not_run) == (0, 0)

    def test_schedules_without_at_most_once_show_a_second_run(self) -> None:
        # Guards against a harness whose faults can't cause the failures that it checks for.
        fleet = RequestFleet(seed=1, at_most_once=False, simulated_s=200.0)
        fleet.run()
        assert fleet.doubled_requests > 0
