"""Coordinates the requests at one agent."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from laburnumbridge.core import Refusal
from laburnumbridge.core import RefusalReason
from laburnumbridge.core import RequestId
from laburnumbridge.requests import actions as act
from laburnumbridge.requests import events as ev
from laburnumbridge.requests import key_messages as keys
from laburnumbridge.requests.agent_id import winning_agent
from laburnumbridge.requests.deadline_queue import DeadlineQueue
from laburnumbridge.requests.finished_requests import FinishedRequests
from laburnumbridge.requests.key_ledger import KeyLedger
from laburnumbridge.requests.key_messages import ArrivalRole
from laburnumbridge.requests.refusals import NO_UPSTREAM
from laburnumbridge.requests.refusals import OWN_UPSTREAM_REASONS
from laburnumbridge.requests.refusals import QUEUE_FULL
from laburnumbridge.requests.refusals import UNSENT_REASONS
from laburnumbridge.requests.refusals import expired
from laburnumbridge.requests.retry_budget import RetryBudget
from laburnumbridge.requests.stored_answer import StoredAnswer
from laburnumbridge.requests.tracked_request import Phase
from laburnumbridge.requests.tracked_request import TrackedRequest

if TYPE_CHECKING:
    from laburnumbridge.requests.agent_id import AgentId

DEFAULT_DEADLINE_S = 30.0  # until the answer starts, for clients that set none
MAX_DEADLINE_S = 3600.0
MAX_TRIES = 3  # upstreams that one request may be sent to
MAX_REQUESTS = 60_000  # unfinished and recently finished: 30 s at 2,000 a second, about 12 MB
SHED_STATUS = 503
GATEWAY_TIMEOUT_STATUS = 504
KEY_CONFLICT_STATUS = 422  # draft-ietf-httpapi-idempotency-key-header, section 2.7

Actions = list[act.RequestAction]


class RequestCoordinator:
    """Runs a non-idempotent request at most once and retries idempotent ones.

    Each arrival gets exactly one final answer. A request is reported as "not run" only if no
    upstream can have received a byte of it.
    """

    def __init__(
        self,
        *,
        own: AgentId,
        now: float,
        ledger: KeyLedger | None = None,
        max_requests: int = MAX_REQUESTS,
    ) -> None:
        self.own = own
        self.ledger = ledger or KeyLedger(own=own, now=now)
        self.ignored_by_event: Counter[str] = Counter()
        self._max_requests = max_requests
        self._budget = RetryBudget(now=now)
        self._request_by_id: dict[RequestId, TrackedRequest] = {}
        self._finished = FinishedRequests()
        self._deadlines = DeadlineQueue()

    def handle(self, event: ev.RequestEvent, now: float) -> Actions:
        """Apply one event at ``now`` (monotonic seconds)."""
        match event:
            case ev.RequestArrived():
                return self._arrive(event, now)
            case keys.Tick():
                return self._tick(now)
            case keys.AgentSetChanged() | keys.KeyInquiry() | keys.KeyReply():
                return self._update_ledger(event, now)
        request = self._request_by_id.get(event.request_id)
        if request is None:
            return self._ignore(event)
        match event:
            case ev.ClientAborted():
                return self._handle_client_abort(request, now)
            case ev.AdmissionStarted() | ev.AdmissionRefused():
                return self._admit(event, request, now)
            case (
                ev.SiblingNotConnected()
                | ev.SiblingHeaders()
                | ev.SiblingCompleted()
                | ev.SiblingRefused()
                | ev.SiblingLost()
            ):
                return self._handle_sibling_event(event, request, now)
        if request.phase is not Phase.UPSTREAM:
            return self._ignore(event)
        return self._handle_upstream_event(event, request, now)

    def _ignore(self, event: ev.RequestEvent) -> Actions:
        self.ignored_by_event[type(event).__name__] += 1
        return []

    def _arrive(self, event: ev.RequestArrived, now: float) -> Actions:
        request_id = event.request_id
        if request_id in self._request_by_id or request_id in self._finished:
            return self._ignore(event)
        forwarded = event.role is not ArrivalRole.CLIENT
        if forwarded and event.addressee != self.own:
            # An earlier incarnation may have received another copy and run it.
            return [act.AnswerOutcomeUnknown(request_id)]
        left_s = DEFAULT_DEADLINE_S if event.deadline_s is None else event.deadline_s
        request = TrackedRequest(event, now + min(left_s, MAX_DEADLINE_S))
        if len(self._request_by_id) + len(self._finished) >= self._max_requests:
            # A second copy of a forwarded request could run later, and earlier sends of a key may
            # have run.
            if forwarded or not request.is_first_send:
                return [act.AnswerOutcomeUnknown(request_id)]
            return [act.AnswerRefused(request_id, QUEUE_FULL)]
        self._request_by_id[request_id] = request
        if not forwarded:
            self._budget.count_request(now)
        if left_s <= 0:
            return self._refuse(request, expired(request.arrival.plan), now)
        self._deadlines.push(request.deadline_at, request_id, self._request_by_id)
        if request.keyed:
            return self._claim(request, now)
        return self._queue(request)

    def _claim(self, request: TrackedRequest, now: float) -> Actions:
        arrival = request.arrival
        claim = keys.KeyClaimed(
            arrival.request_id,
            arrival.key or "",
            arrival.fingerprint,
            arrival.first_attempt_age_s,
            arrival.role,
        )
        return self._update_ledger(claim, now)

    def _update_ledger(self, event: keys.KeyEvent, now: float) -> Actions:
        actions: Actions = []
        for action in self.ledger.handle(event, now):
            actions += self._apply_key_action(action, now)
        return actions

    def _apply_key_action(self, action: keys.KeyAction, now: float) -> Actions:
        if isinstance(action, keys.SendKeyInquiry | keys.SendKeyReply):
            return [action]
        request = self._request_by_id[action.request_id]
        match action:
            case keys.RunClaim():
                request.runs_key = True
                return self._queue(request)
            case keys.RelayClaim():
                return self._forward(request, action.sibling, action.role, now)
            case keys.SettleClaim(_, StoredAnswer() as answer):
                return self._finish(request, act.ReplayAnswer(action.request_id, answer), now)
            case keys.SettleClaim(_, Refusal() as refusal):
                return self._finish(request, act.AnswerRefused(action.request_id, refusal), now)
            case keys.SettleClaim(_, keys.UnansweredOutcome.CONFLICT):
                conflict = act.AnswerStatus(action.request_id, KEY_CONFLICT_STATUS)
                return self._finish(request, conflict, now)
        return self._finish(request, act.AnswerOutcomeUnknown(action.request_id), now)

    def _queue(self, request: TrackedRequest) -> Actions:
        request.phase = Phase.QUEUED
        arrival = request.arrival
        return [act.RequestAdmission(arrival.request_id, arrival.plan, request.deadline_at)]

    def _admit(
        self,
        event: ev.AdmissionStarted | ev.AdmissionRefused,
        request: TrackedRequest,
        now: float,
    ) -> Actions:
        if request.phase is not Phase.QUEUED:
            return self._ignore(event)
        if isinstance(event, ev.AdmissionRefused):
            return self._handle_admission_refusal(request, event.refusal, now)
        if now >= request.deadline_at:
            return self._refuse(request, expired(request.arrival.plan), now)
        request.phase = Phase.UPSTREAM
        request.tries += 1
        return [act.SendUpstream(event.request_id, request.remaining_ms(now))]

    def _handle_admission_refusal(
        self, request: TrackedRequest, refusal: Refusal, now: float
    ) -> Actions:
        """Try a sibling before the request is refused for the state of this one upstream.

        The first move needs no budget: no upstream has seen the request, so none gets more work.
        """
        if refusal.reason not in OWN_UPSTREAM_REASONS:
            return self._refuse(request, refusal, now)
        moved = self._retry(request, now, is_budgeted=False)
        return moved or self._refuse(request, refusal, now)

    def _handle_upstream_event(
        self, event: ev.RequestEvent, request: TrackedRequest, now: float
    ) -> Actions:
        match event:
            case ev.UpstreamNotConnected() if not request.bytes_sent:
                return self._retry_unrun(request, NO_UPSTREAM, now)
            case ev.UpstreamBytesSent():
                request.bytes_sent = True
                return []
            case ev.UpstreamHeaders():
                return self._start_upstream_answer(event, request, now)
            case ev.UpstreamCompleted():
                return self._complete(event, request, now)
            case ev.UpstreamTimedOut():
                cancel = act.CancelUpstream(request.arrival.request_id)
                return [cancel, *self._handle_lost_run(request, now)]
        return self._handle_lost_run(request, now)

    def _start_upstream_answer(
        self, event: ev.UpstreamHeaders, request: TrackedRequest, now: float
    ) -> Actions:
        if request.answer_started:
            return self._ignore(event)
        if event.status != SHED_STATUS or event.retry_after_s is None:
            return self._start_answer(request, event.status, now)
        refusal = Refusal(
            reason=RefusalReason.UPSTREAM_SHEDDING,
            plan=request.arrival.plan,
            retry_after_s=event.retry_after_s,
        )
        if request.idempotent:
            return self._retry_unrun(request, refusal, now)
        # A request that is not idempotent is sent to an upstream at most once.
        return self._refuse(request, refusal, now)

    def _handle_sibling_event(
        self, event: ev.SiblingEvent, request: TrackedRequest, now: float
    ) -> Actions:
        if request.phase is not Phase.SIBLING or event.attempt != request.attempt:
            return self._ignore(event)
        if isinstance(event, ev.SiblingHeaders) and not request.answer_started:
            return self._start_answer(request, event.status, now)
        if isinstance(event, ev.SiblingCompleted):
            return self._complete(event, request, now)
        if isinstance(event, ev.SiblingLost):
            return self._handle_lost_run(request, now)
        # A sibling that has started its answer can no longer prove that nothing ran.
        if request.answer_started or isinstance(event, ev.SiblingHeaders):
            return self._ignore(event)
        unconnected = isinstance(event, ev.SiblingNotConnected)
        refusal = NO_UPSTREAM if isinstance(event, ev.SiblingNotConnected) else event.refusal
        if request.sibling_role is ArrivalRole.RETRY:
            if request.idempotent or refusal.reason in UNSENT_REASONS:
                return self._retry_unrun(request, refusal, now)
            return self._refuse(request, refusal, now)
        # An unreachable owner proves nothing about earlier sends of the same key.
        if unconnected and not request.is_first_send:
            return self._end_unknown(request, now)
        return self._finish(request, act.AnswerRefused(event.request_id, refusal), now)

    def _start_answer(self, request: TrackedRequest, status: int, now: float) -> Actions:
        request.answer_started = True
        started = act.StartAnswer(request.arrival.request_id, status)
        actions: Actions = [] if request.client_aborted else [started]
        if request.early_end is not None:
            actions += self._complete(request.early_end, request, now)
        return actions

    def _complete(
        self,
        event: ev.UpstreamCompleted | ev.SiblingCompleted,
        request: TrackedRequest,
        now: float,
    ) -> Actions:
        if not request.answer_started:
            request.early_end = event
            return []
        outcome = event.answer or keys.UnansweredOutcome.UNKNOWN
        finish = act.FinishAnswer(request.arrival.request_id)
        return self._finish(request, finish, now, outcome)

    def _handle_lost_run(self, request: TrackedRequest, now: float) -> Actions:
        request.may_have_run = True
        if request.answer_started:
            return self._finish(request, act.CutAnswer(request.arrival.request_id), now)
        if request.idempotent:
            return self._retry(request, now) or self._end_unknown(request, now)
        return self._end_unknown(request, now)

    def _retry_unrun(self, request: TrackedRequest, refusal: Refusal, now: float) -> Actions:
        return self._retry(request, now) or self._refuse(request, refusal, now)

    def _retry(self, request: TrackedRequest, now: float, *, is_budgeted: bool = True) -> Actions:
        """Forward to the next sibling; an unbudgeted move is not a retry and uses no budget."""
        if request.arrival.role is ArrivalRole.RETRY or request.tries >= MAX_TRIES:
            return []
        sibling = self._next_sibling(request)
        if sibling is None or now >= request.deadline_at:
            return []
        if is_budgeted and not self._budget.try_take(now):
            return []
        request.tries += 1
        released = self._release(request)
        return released + self._forward(request, sibling, ArrivalRole.RETRY, now)

    def _next_sibling(self, request: TrackedRequest) -> AgentId | None:
        untried = self.ledger.agents - request.tried - {self.own}
        return winning_agent(request.arrival.request_id.encode(), untried)

    def _forward(
        self, request: TrackedRequest, sibling: AgentId, role: ArrivalRole, now: float
    ) -> Actions:
        request.phase = Phase.SIBLING
        request.attempt += 1
        request.early_end = None
        request.sibling = sibling
        request.sibling_role = role
        request.tried.add(sibling)
        request_id = request.arrival.request_id
        return [
            act.ForwardToSibling(
                request_id,
                request.attempt,
                RequestId(f"{request_id}/{request.attempt}"),
                sibling,
                role,
                request.remaining_ms(now),
            )
        ]

    def _handle_client_abort(self, request: TrackedRequest, now: float) -> Actions:
        drop = act.DropAnswer(request.arrival.request_id)
        if not request.runs_key:
            return self._cancel(request) + self._finish(request, drop, now)
        if request.client_aborted:
            return []
        # The run continues, and its answer is stored for the repeat.
        request.client_aborted = True
        return [drop]

    def _tick(self, now: float) -> Actions:
        actions = self._update_ledger(keys.Tick(), now)
        while (due := self._deadlines.pop_due(now)) is not None:
            request = self._request_by_id.get(due)
            if request is not None:
                actions += self._expire(request, now)
        self._finished.forget(now)
        return actions

    def _expire(self, request: TrackedRequest, now: float) -> Actions:
        request_id = request.arrival.request_id
        if request.phase is Phase.QUEUED:
            return self._refuse(request, expired(request.arrival.plan), now)
        if request.answer_started and request.arrival.deadline_s is None:
            return []  # a long stream or download of a client that set no deadline
        stopped = self._cancel(request)
        if request.answer_started:
            return stopped + self._finish(request, act.CutAnswer(request_id), now)
        if request.idempotent:
            timeout = act.AnswerStatus(request_id, GATEWAY_TIMEOUT_STATUS)
            return stopped + self._finish(request, timeout, now)
        return stopped + self._end_unknown(request, now)

    def _cancel(self, request: TrackedRequest) -> Actions:
        request_id = request.arrival.request_id
        if request.phase is Phase.UPSTREAM:
            return [act.CancelUpstream(request_id)]
        if request.phase is Phase.SIBLING and request.sibling is not None:
            return [act.CancelSibling(request_id, request.attempt, request.sibling)]
        return []

    def _refuse(self, request: TrackedRequest, refusal: Refusal, now: float) -> Actions:
        # The ledger has proved that a key that runs here had not run before; without such a proof,
        # only a first send is certain not to have run.
        if request.may_have_run or not (request.runs_key or request.is_first_send):
            return self._end_unknown(request, now)
        refused = act.AnswerRefused(request.arrival.request_id, refusal)
        return self._finish(request, refused, now, refusal)

    def _end_unknown(self, request: TrackedRequest, now: float) -> Actions:
        return self._finish(request, act.AnswerOutcomeUnknown(request.arrival.request_id), now)

    def _finish(
        self,
        request: TrackedRequest,
        answer: act.FinalAnswer,
        now: float,
        outcome: StoredAnswer | Refusal | keys.UnansweredOutcome = keys.UnansweredOutcome.UNKNOWN,
    ) -> Actions:
        request_id = request.arrival.request_id
        del self._request_by_id[request_id]
        self._finished.add(request_id, now)
        actions = self._release(request)
        if not request.client_aborted:
            actions.append(answer)
        if request.runs_key:
            ended = keys.KeyRunEnded(request.arrival.key or "", outcome)
            actions += self._update_ledger(ended, now)
        elif request.phase is Phase.KEY and request.keyed:
            withdrawn = keys.ClaimWithdrawn(request_id, request.arrival.key or "")
            actions += self._update_ledger(withdrawn, now)
        return actions

    @staticmethod
    def _release(request: TrackedRequest) -> Actions:
        if request.phase not in (Phase.QUEUED, Phase.UPSTREAM):
            return []
        return [act.ReleaseAdmission(request.arrival.request_id)]
