from __future__ import annotations

import pytest

from laburnumbridge import requests as rq
from laburnumbridge.core import Incarnation
from laburnumbridge.core import PlanName
from laburnumbridge.core import ProcessId
from laburnumbridge.core import Refusal
from laburnumbridge.core import RefusalReason
from laburnumbridge.core import RequestId
from laburnumbridge.requests.deadline_queue import COMPACT_ABOVE
from laburnumbridge.requests.deadline_queue import DeadlineQueue

OWN = rq.AgentId(ProcessId("a0"), Incarnation(1))
SIBLINGS = [rq.AgentId(ProcessId(name), Incarnation(1)) for name in ("a1", "a2")]
AGENTS = frozenset({OWN, *SIBLINGS})
ANSWER = rq.StoredAnswer(201, body=b"made")
ID = RequestId("r1")
QUEUE_FULL = Refusal(reason=RefusalReason.QUEUE_FULL)
NO_UPSTREAM = Refusal(reason=RefusalReason.NO_UPSTREAM)


def make_coordinator(agents: frozenset[rq.AgentId] = AGENTS) -> rq.RequestCoordinator:
    coordinator = rq.RequestCoordinator(own=OWN, now=0.0)
    listed = frozenset(agent.process_id for agent in agents)
    coordinator.handle(rq.AgentSetChanged(0, agents, listed), 0.0)
    return coordinator


def arrival(method: str = "POST", **fields: object) -> rq.RequestArrived:
    defaults = {"request_id": ID, "plan": PlanName("p"), "deadline_s": 5.0}
    return rq.RequestArrived(method=method, **{**defaults, **fields})  # type: ignore[arg-type]


def apply_events(
    coordinator: rq.RequestCoordinator, *events: rq.RequestEvent, now: float = 1.0
) -> list[rq.RequestAction]:
    """Return the actions of the last event."""
    actions: list[rq.RequestAction] = []
    for event in events:
        actions = coordinator.handle(event, now)
    return actions


def started(method: str = "POST", **fields: object) -> rq.RequestCoordinator:
    coordinator = make_coordinator()
    apply_events(coordinator, arrival(method, **fields), rq.AdmissionStarted(ID))
    return coordinator


def forwards(actions: list[rq.RequestAction]) -> list[rq.ForwardToSibling]:
    return [action for action in actions if isinstance(action, rq.ForwardToSibling)]


class TestNonIdempotentRequests:
    @pytest.mark.parametrize("loss", [rq.UpstreamLost(ID), rq.UpstreamTimedOut(ID)])
    def test_a_loss_after_the_start_is_unknown_and_not_retried(self, loss: rq.RequestEvent) -> None:
        # Guards against a second run, and against "not run" for a request that may have run.
        actions = apply_events(started(), rq.UpstreamBytesSent(ID), loss)
        assert rq.AnswerOutcomeUnknown(ID) in actions
        assert not forwards(actions)

    def test_without_a_connection_it_is_forwarded_to_a_sibling(self) -> None:
        actions = apply_events(started(), rq.UpstreamNotConnected(ID))
        assert [forward.role for forward in forwards(actions)] == [rq.ArrivalRole.RETRY]
        assert rq.ReleaseAdmission(ID) in actions

    def test_a_connection_failure_after_bytes_were_sent_is_unknown(self) -> None:
        # Guards against a late or duplicate event that contradicts an earlier one.
        actions = apply_events(started(), rq.UpstreamBytesSent(ID), rq.UpstreamNotConnected(ID))
        assert rq.AnswerOutcomeUnknown(ID) in actions

    def test_a_lost_sibling_is_unknown(self) -> None:
        actions = apply_events(started(), rq.UpstreamNotConnected(ID), rq.SiblingLost(ID, 1))
        assert actions == [rq.AnswerOutcomeUnknown(ID)]

    def test_a_shed_answer_means_not_run_and_is_not_retried(self) -> None:
        actions = apply_events(started(), rq.UpstreamHeaders(ID, 503, retry_after_s=2.0))
        (refused,) = (action for action in actions if isinstance(action, rq.AnswerRefused))
        assert refused.refusal.reason is RefusalReason.UPSTREAM_SHEDDING
        assert refused.refusal.retry_after_s == 2.0
        assert not forwards(actions)

    def test_a_plain_503_is_an_answer(self) -> None:
        assert apply_events(started(), rq.UpstreamHeaders(ID, 503)) == [rq.StartAnswer(ID, 503)]

    def test_a_client_abort_frees_the_slot_at_once(self) -> None:
        actions = apply_events(started(), rq.ClientAborted(ID))
        expected = [rq.CancelUpstream(ID), rq.ReleaseAdmission(ID), rq.DropAnswer(ID)]
        assert actions == expected


class TestIdempotentRequests:
    def test_a_loss_is_retried_on_a_sibling_whose_answer_is_forwarded(self) -> None:
        coordinator = started("GET")
        assert len(forwards(apply_events(coordinator, rq.UpstreamLost(ID)))) == 1
        apply_events(coordinator, rq.SiblingHeaders(ID, 1, 200))
        assert apply_events(coordinator, rq.SiblingCompleted(ID, 1)) == [rq.FinishAnswer(ID)]

    def test_after_the_first_byte_a_loss_cuts_the_answer(self) -> None:
        # Guards against a truncated answer that looks complete, and two answers in one stream.
        actions = apply_events(started("GET"), rq.UpstreamHeaders(ID, 200), rq.UpstreamLost(ID))
        assert rq.CutAnswer(ID) in actions
        assert not forwards(actions)

    def test_retries_end_with_the_budget(self) -> None:
        # Guards against retries that multiply the load of a failing service.
        coordinator = make_coordinator()
        retried = 0
        for number in range(100):
            request_id = RequestId(f"g{number}")
            apply_events(coordinator, arrival("GET", request_id=request_id))
            apply_events(coordinator, rq.AdmissionStarted(request_id))
            retried += len(forwards(apply_events(coordinator, rq.UpstreamLost(request_id))))
        assert 10 <= retried <= 11

    def test_a_refusal_after_a_possible_run_is_not_reported_as_not_run(self) -> None:
        coordinator = started("GET")
        apply_events(coordinator, rq.UpstreamLost(ID))
        actions = apply_events(coordinator, rq.SiblingRefused(ID, 1, QUEUE_FULL))
        assert not any(isinstance(action, rq.AnswerRefused) for action in actions)

    def test_late_events_of_an_earlier_attempt_are_only_counted(self) -> None:
        coordinator = started("GET")
        apply_events(coordinator, rq.UpstreamLost(ID))
        assert apply_events(coordinator, rq.UpstreamHeaders(ID, 200)) == []
        assert apply_events(coordinator, rq.SiblingHeaders(ID, 7, 200)) == []
        assert coordinator.ignored_by_event == {"UpstreamHeaders": 1, "SiblingHeaders": 1}

    def test_a_completion_that_arrives_before_the_header_section_is_kept(self) -> None:
        actions = apply_events(
            started("GET"), rq.UpstreamCompleted(ID), rq.UpstreamHeaders(ID, 200)
        )
        expected = [rq.StartAnswer(ID, 200), rq.ReleaseAdmission(ID), rq.FinishAnswer(ID)]
        assert actions == expected


class TestDeadlines:
    def test_the_upstream_gets_the_time_that_is_left(self) -> None:
        coordinator = make_coordinator()
        apply_events(coordinator, arrival(deadline_s=5.0), now=1.0)
        actions = coordinator.handle(rq.AdmissionStarted(ID), 3.0)
        assert actions == [rq.SendUpstream(ID, 3000)]

    def test_a_queued_request_is_refused_and_never_starts(self) -> None:
        coordinator = make_coordinator()
        apply_events(coordinator, arrival())
        actions = coordinator.handle(rq.Tick(), 6.0)
        refusal = Refusal(reason=RefusalReason.DEADLINE_EXPIRED, plan=PlanName("p"))
        assert actions == [rq.ReleaseAdmission(ID), rq.AnswerRefused(ID, refusal)]
        assert coordinator.handle(rq.AdmissionStarted(ID), 6.1) == []

    @pytest.mark.parametrize(
        ("method", "answer"),
        [("POST", rq.AnswerOutcomeUnknown(ID)), ("GET", rq.AnswerStatus(ID, 504))],
    )
    def test_a_started_request_is_cancelled(self, method: str, answer: rq.RequestAction) -> None:
        actions = started(method).handle(rq.Tick(), 6.0)
        assert actions == [rq.CancelUpstream(ID), rq.ReleaseAdmission(ID), answer]

    def test_without_a_deadline_a_started_answer_continues(self) -> None:
        # Guards against a long-lived stream, such as a status board, cut by the default deadline.
        coordinator = started("GET", deadline_s=None)
        apply_events(coordinator, rq.UpstreamHeaders(ID, 200))
        assert coordinator.handle(rq.Tick(), 500.0) == []
        ended = coordinator.handle(rq.UpstreamCompleted(ID), 501.0)
        assert rq.FinishAnswer(ID) in ended

    def test_without_a_deadline_an_answer_must_start(self) -> None:
        actions = started("GET", deadline_s=None).handle(rq.Tick(), 32.0)
        assert rq.AnswerStatus(ID, 504) in actions

    def test_no_retry_after_the_deadline(self) -> None:
        actions = started("GET").handle(rq.UpstreamLost(ID), 6.0)
        assert not forwards(actions)


class TestForwardedRequests:
    def test_a_duplicate_forward_runs_once(self) -> None:
        coordinator = make_coordinator()
        forward = arrival(role=rq.ArrivalRole.RETRY, addressee=OWN)
        apply_events(coordinator, forward, rq.AdmissionRefused(ID, QUEUE_FULL))
        assert apply_events(coordinator, forward) == []

    def test_a_forward_to_an_earlier_incarnation_is_unknown(self) -> None:
        # Guards against a duplicate message that ran before a restart and is refused after it.
        stale = rq.AgentId(ProcessId("a0"), Incarnation(0))
        actions = apply_events(
            make_coordinator(), arrival(role=rq.ArrivalRole.RETRY, addressee=stale)
        )
        assert actions == [rq.AnswerOutcomeUnknown(ID)]

    def test_a_retry_is_not_forwarded_again(self) -> None:
        coordinator = started(role=rq.ArrivalRole.RETRY, addressee=OWN)
        actions = apply_events(coordinator, rq.UpstreamNotConnected(ID))
        assert actions == [rq.ReleaseAdmission(ID), rq.AnswerRefused(ID, NO_UPSTREAM)]


class TestKeyedRequests:
    def test_an_unreachable_owner_means_not_run_only_for_a_first_send(self) -> None:
        # Guards against "not run" for a repeat whose first send did run.
        for age_s, expected in ((0.0, rq.AnswerRefused), (3.0, rq.AnswerOutcomeUnknown)):
            coordinator = make_coordinator()
            number = 0
            actions: list[rq.RequestAction] = []
            while not forwards(actions):
                number += 1
                key = f"k{number}"
                request_id = RequestId(key)
                event = arrival(request_id=request_id, key=key, first_attempt_age_s=age_s)
                actions = apply_events(coordinator, event)
            actions = apply_events(coordinator, rq.SiblingNotConnected(request_id, 1))
            assert [type(action) for action in actions] == [expected]

    def test_the_answer_outlives_the_clients_connection(self) -> None:
        coordinator = make_coordinator(frozenset({OWN}))
        apply_events(
            coordinator, arrival(key="k", first_attempt_age_s=0.0), rq.AdmissionStarted(ID)
        )
        assert apply_events(coordinator, rq.ClientAborted(ID)) == [rq.DropAnswer(ID)]
        apply_events(coordinator, rq.UpstreamHeaders(ID, 201), rq.UpstreamCompleted(ID, ANSWER))
        again = arrival(request_id=RequestId("r2"), key="k", first_attempt_age_s=2.0)
        assert apply_events(coordinator, again) == [rq.ReplayAnswer(RequestId("r2"), ANSWER)]

    def test_another_request_under_the_same_key_is_a_conflict(self) -> None:
        coordinator = make_coordinator(frozenset({OWN}))
        apply_events(coordinator, arrival(key="k", fingerprint=1, first_attempt_age_s=0.0))
        other = arrival(request_id=RequestId("r2"), key="k", fingerprint=2, first_attempt_age_s=1.0)
        assert apply_events(coordinator, other) == [rq.AnswerStatus(RequestId("r2"), 422)]

    def test_an_expired_repeat_is_unknown(self) -> None:
        repeat = arrival(key="k", first_attempt_age_s=9.0, deadline_s=0.0)
        assert apply_events(make_coordinator(), repeat) == [rq.AnswerOutcomeUnknown(ID)]


class TestRefusedByTheOwnUpstream:
    @pytest.mark.parametrize(
        "reason",
        [RefusalReason.QUEUE_FULL, RefusalReason.DRAINING, RefusalReason.PLAN_CONCURRENCY],
    )
    def test_it_moves_to_a_sibling_without_using_the_budget(self, reason: RefusalReason) -> None:
        # Guards against a refusal while other upstreams of the service have capacity.
        coordinator = make_coordinator()
        for number in range(50):
            request_id = RequestId(f"r{number}")
            refused = rq.AdmissionRefused(request_id, Refusal(reason=reason))
            actions = apply_events(coordinator, arrival(request_id=request_id), refused)
            assert len(forwards(actions)) == 1

    def test_an_expired_deadline_is_final(self) -> None:
        refusal = Refusal(reason=RefusalReason.DEADLINE_EXPIRED)
        actions = apply_events(make_coordinator(), arrival(), rq.AdmissionRefused(ID, refusal))
        assert rq.AnswerRefused(ID, refusal) in actions

    def test_without_a_sibling_it_is_refused(self) -> None:
        coordinator = make_coordinator(frozenset({OWN}))
        actions = apply_events(coordinator, arrival(), rq.AdmissionRefused(ID, QUEUE_FULL))
        assert rq.AnswerRefused(ID, QUEUE_FULL) in actions

    def test_it_is_not_moved_again_after_a_sibling_shed_it(self) -> None:
        # Guards against sending a request that isn't idempotent to a second upstream.
        shed = Refusal(reason=RefusalReason.UPSTREAM_SHEDDING)
        moved = [arrival(), rq.AdmissionRefused(ID, QUEUE_FULL)]
        actions = apply_events(make_coordinator(), *moved, rq.SiblingRefused(ID, 1, shed))
        assert rq.AnswerRefused(ID, shed) in actions


class TestFullTable:
    def test_only_requests_that_cannot_have_run_are_refused(self) -> None:
        # Guards against "not run" for a repeat, or for a forward whose second copy may run later.
        coordinator = rq.RequestCoordinator(own=OWN, now=0.0, max_requests=0)
        refused = [rq.AnswerRefused(ID, QUEUE_FULL)]
        assert apply_events(coordinator, arrival()) == refused
        assert apply_events(coordinator, arrival(key="k", first_attempt_age_s=0.0)) == refused
        unknown = [rq.AnswerOutcomeUnknown(ID)]
        assert apply_events(coordinator, arrival(key="k", first_attempt_age_s=2.0)) == unknown
        forward = arrival(role=rq.ArrivalRole.RETRY, addressee=OWN)
        assert apply_events(coordinator, forward) == unknown


class TestRetryBudget:
    def test_idle_time_saves_one_retry(self) -> None:
        budget = rq.RetryBudget(now=0.0)
        assert [budget.try_take(1000.0) for _ in range(3)] == [True, False, False]
        assert budget.try_take(1001.0)


class TestDeadlineQueue:
    def test_entries_of_finished_requests_do_not_accumulate(self) -> None:
        # Guards against memory that grows when short requests have long deadlines.
        queue = DeadlineQueue()
        for number in range(10 * COMPACT_ABOVE):
            queue.push(3600.0, RequestId(f"r{number}"), {RequestId("r5")})
        assert len(queue) <= COMPACT_ABOVE
        assert queue.pop_due(3599.0) is None
        assert queue.pop_due(3600.0) == "r5"
