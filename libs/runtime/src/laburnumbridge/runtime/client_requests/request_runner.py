"""Runs the decisions on requests and the calls that the coordinator requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from laburnumbridge import admission as adm
from laburnumbridge import requests as req
from laburnumbridge.runtime.client_requests import answer_steps as steps
from laburnumbridge.runtime.client_requests.responder import DEADLINE_HEADER
from laburnumbridge.runtime.client_requests.sibling_calls import ForwardedOutcome
from laburnumbridge.runtime.client_requests.sibling_calls import ForwardedRequest
from laburnumbridge.runtime.client_requests.upstream_client import UpstreamRequest
from laburnumbridge.runtime.control.message_kinds import MessageKind
from laburnumbridge.runtime.control.timer import PeriodicTimer
from laburnumbridge.runtime.errors import SiblingLostError
from laburnumbridge.runtime.errors import SiblingNotReachedError
from laburnumbridge.runtime.errors import UpstreamLostError
from laburnumbridge.runtime.errors import UpstreamNotReachedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.core import ProcessId
    from laburnumbridge.core import RequestId
    from laburnumbridge.runtime.client_requests.request_recorder import RequestRecorder
    from laburnumbridge.runtime.client_requests.running_request import RunningRequest
    from laburnumbridge.runtime.client_requests.sibling_calls import ForwardedAnswer
    from laburnumbridge.runtime.client_requests.sibling_calls import SiblingCalls
    from laburnumbridge.runtime.client_requests.upstream_client import UpstreamAnswer
    from laburnumbridge.runtime.client_requests.upstream_client import UpstreamClient
    from laburnumbridge.runtime.control.control_link import ControlLink

TICK_S = 0.05
# Larger responses are relayed but not stored for repeats of an idempotency key.
STORED_ANSWER_BYTES = 256 * 1024

_MILLISECONDS = 1000
_RETRY_AFTER = "retry-after"


class RequestRunner:
    """Passes events to the coordinator and admission of one upstream, and runs their actions.

    ``on_busy_slots(count)`` is called when the number of slots in use has changed.
    """

    def __init__(
        self,
        *,
        coordinator: req.RequestCoordinator,
        admission: adm.Admission,
        upstream: UpstreamClient,
        siblings: SiblingCalls,
        link: ControlLink,
        recorder: RequestRecorder,
        on_busy_slots: Callable[[int], None],
    ) -> None:
        self._recorder = recorder
        self._on_busy_slots = on_busy_slots
        self._busy_slots = 0
        self._coordinator = coordinator
        self._admission = admission
        self._upstream = upstream
        self._siblings = siblings
        self._link = link
        self._running_by_id: dict[RequestId, RunningRequest] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer = PeriodicTimer(interval_s=TICK_S, callback=self._tick)
        link.register(MessageKind.KEY_INQUIRY, req.KeyInquiry, self._on_key_inquiry)
        link.register(MessageKind.KEY_REPLY, req.KeyReply, self._on_key_reply)

    @property
    def running(self) -> int:
        """Number of requests without a final response."""
        return len(self._running_by_id)

    def start(self) -> None:
        """Start ticking."""
        self._timer.start()

    async def close(self) -> None:
        """Stop ticking and cancel the running calls."""
        self._timer.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def begin(self, running: RunningRequest, arrival: req.RequestArrived) -> None:
        """Start a request; its response is put into ``running.steps``."""
        self._running_by_id[running.request_id] = running
        self._decide(arrival)

    def abandon(self, running: RunningRequest) -> None:
        """Report that the client has aborted, so that nothing reads the response."""
        running.is_abandoned = True
        running.steps.abandon()
        self._decide(req.ClientAborted(running.request_id))

    def handle_admission_event(self, event: adm.AdmissionEvent) -> list[adm.AdmissionAction]:
        """Pass an event to admission; return the actions for connections and streams."""
        actions = self._admission.handle(event, self._now())
        busy_slots = self._admission.snapshot().busy_slots
        if busy_slots != self._busy_slots:
            self._busy_slots = busy_slots
            self._on_busy_slots(busy_slots)
        return [action for action in actions if not self._apply_admission(action)]

    def admission_snapshot(self) -> adm.AdmissionSnapshot:
        """Return the counts of the upstream's admission."""
        return self._admission.snapshot()

    def set_agents(self, event: req.AgentSetChanged) -> None:
        """Replace the set of agents of the service."""
        self._decide(event)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _tick(self) -> None:
        self._decide(req.Tick())
        if self._admission.next_deadline() <= self._now():
            self.handle_admission_event(adm.Tick())

    def _on_key_inquiry(self, sender: ProcessId, message: req.KeyInquiry) -> None:
        if message.asker.process_id == sender:
            self._decide(message)

    def _on_key_reply(self, sender: ProcessId, message: req.KeyReply) -> None:
        if message.sibling.process_id == sender:
            self._decide(message)

    def _decide(self, event: req.RequestEvent) -> None:
        for action in self._coordinator.handle(event, self._now()):
            self._apply(action)

    def _apply(self, action: req.RequestAction) -> None:
        match action:
            case req.SendKeyInquiry(sibling, message) | req.SendKeyReply(sibling, message):
                self._link.send(sibling.process_id, message)
                return
        running = self._running_by_id.get(action.request_id)
        if running is None:
            return
        match action:
            case req.RequestAdmission(request_id, plan, deadline_at):
                arrived = adm.RequestArrived(request_id=request_id, plan=plan, deadline=deadline_at)
                self.handle_admission_event(arrived)
            case req.ReleaseAdmission():
                self._release(running)
            case req.SendUpstream(_, remaining_ms):
                running.upstream_call = self._spawn(self._call_upstream(running, remaining_ms))
            case req.CancelUpstream():
                _cancel(running.upstream_call)
            case req.ForwardToSibling():
                if action.role is req.ArrivalRole.RETRY:
                    target = action.sibling.process_id
                    self._recorder.request_retried(running.request_id, running.plan, target)
                running.sibling_call = self._spawn(self._call_sibling(running, action))
            case req.CancelSibling():
                _cancel(running.sibling_call)
            case req.StartAnswer(_, status):
                running.steps.put(steps.StartStep(status, running.answer_headers))
            case _:
                self._finish(running, action)

    def _finish(self, running: RunningRequest, action: req.RequestAction) -> None:
        match action:
            case req.FinishAnswer():
                running.steps.put(steps.FinishStep())
            case req.CutAnswer():
                running.steps.put(steps.CutStep())
            case req.ReplayAnswer(_, answer):
                running.steps.put(steps.ReplayStep(answer))
            case req.AnswerRefused(_, refusal):
                running.steps.put(steps.RefuseStep(refusal))
            case req.AnswerOutcomeUnknown():
                running.steps.put(steps.UnknownStep())
            case req.AnswerStatus(_, status):
                running.steps.put(steps.StatusStep(status))
        # A run with an idempotency key continues without its client and still needs this record.
        if not isinstance(action, req.DropAnswer) or running.content.key is None:
            self._running_by_id.pop(running.request_id, None)

    def _apply_admission(self, action: adm.AdmissionAction) -> bool:
        match action:
            case adm.StartRequest(request_id) if request_id in self._running_by_id:
                self._decide(req.AdmissionStarted(request_id))
            case adm.RefuseRequest(request_id, refusal) | adm.ExpireRequest(
                request_id, refusal
            ) if (request_id in self._running_by_id):
                self._decide(req.AdmissionRefused(request_id, refusal))
            case adm.AbortRequest(request_id) if request_id in self._running_by_id:
                self._decide(req.Tick())
            case _:
                return False
        return True

    def _release(self, running: RunningRequest) -> None:
        if running.outcome is None:
            self.handle_admission_event(adm.RequestCancelled(request_id=running.request_id))
            return
        finished = adm.RequestFinished(
            request_id=running.request_id,
            outcome=running.outcome,
            retry_after_s=running.retry_after_s,
        )
        self.handle_admission_event(finished)

    def _spawn(self, work: asyncio._CoroutineLike[None]) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.ensure_future(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _call_upstream(self, running: RunningRequest, remaining_ms: int | None) -> None:
        request_id = running.request_id
        try:
            async with self._upstream.send(_upstream_request(running, remaining_ms)) as answer:
                await self._relay_answer(running, answer)
        except UpstreamNotReachedError:
            running.outcome = adm.Outcome.CONNECTION_REFUSED
            self._decide(req.UpstreamNotConnected(request_id))
        except UpstreamLostError:
            running.outcome = adm.Outcome.CONNECTION_LOST
            self._decide(req.UpstreamLost(request_id))
        finally:
            self._remove_abandoned(running)

    def _remove_abandoned(self, running: RunningRequest) -> None:
        """Remove the record of a run that continued without its client and has ended."""
        calls = (running.upstream_call, running.sibling_call)
        current = asyncio.current_task()
        is_active = any(call and call is not current and not call.done() for call in calls)
        if running.is_abandoned and not is_active:
            self._running_by_id.pop(running.request_id, None)

    async def _relay_answer(self, running: RunningRequest, answer: UpstreamAnswer) -> None:
        retry_after = _parse_seconds(answer.header(_RETRY_AFTER))
        is_shed = answer.status == req.SHED_STATUS and retry_after is not None
        running.answer_headers = answer.headers
        running.retry_after_s = retry_after or 0.0
        running.outcome = adm.Outcome.SHED if is_shed else _outcome_of_status(answer.status)
        headers = req.UpstreamHeaders(running.request_id, answer.status, retry_after)
        self._decide(headers)
        if is_shed:
            self._recorder.upstream_shed(running.request_id, running.plan, running.retry_after_s)
            return
        kept = bytearray()
        async for chunk in answer.body:
            if running.content.key is not None and len(kept) <= STORED_ANSWER_BYTES:
                kept += chunk
            await running.steps.put_chunk(chunk)
        stored = None
        if running.content.key is not None and len(kept) <= STORED_ANSWER_BYTES:
            stored = req.StoredAnswer(answer.status, answer.headers, bytes(kept))
        self._decide(req.UpstreamCompleted(running.request_id, stored))

    async def _call_sibling(self, running: RunningRequest, action: req.ForwardToSibling) -> None:
        request_id, attempt = action.request_id, action.attempt
        try:
            answer = await self._siblings.forward(_forwarded_request(running, action))
        except SiblingNotReachedError:
            self._decide(req.SiblingNotConnected(request_id, attempt))
        except SiblingLostError:
            self._decide(req.SiblingLost(request_id, attempt))
        else:
            await self._apply_forwarded_answer(running, attempt, answer)
        finally:
            self._remove_abandoned(running)

    async def _apply_forwarded_answer(
        self, running: RunningRequest, attempt: int, forwarded: ForwardedAnswer
    ) -> None:
        request_id = running.request_id
        if forwarded.outcome is ForwardedOutcome.NOT_RUN and forwarded.refusal is not None:
            self._decide(req.SiblingRefused(request_id, attempt, forwarded.refusal))
            return
        answer = forwarded.answer
        if answer is None:
            self._decide(req.SiblingLost(request_id, attempt))
            return
        running.answer_headers = answer.headers
        self._decide(req.SiblingHeaders(request_id, attempt, answer.status))
        await running.steps.put_chunk(answer.body)
        if forwarded.outcome is ForwardedOutcome.WHOLE:
            self._decide(req.SiblingCompleted(request_id, attempt, answer))
        else:
            self._decide(req.SiblingLost(request_id, attempt))


def _upstream_request(running: RunningRequest, remaining_ms: int | None) -> UpstreamRequest:
    content = running.content
    headers = tuple(pair for pair in content.headers if pair[0] != DEADLINE_HEADER)
    if remaining_ms is not None:
        headers += ((DEADLINE_HEADER, str(remaining_ms)),)
    return UpstreamRequest(
        method=content.method,
        path=content.path,
        authority=content.authority,
        headers=headers,
        body=content.body,
    )


def _forwarded_request(running: RunningRequest, action: req.ForwardToSibling) -> ForwardedRequest:
    content = running.content
    remaining_ms = action.remaining_ms
    return ForwardedRequest(
        request_id=action.forward_id,
        plan=running.plan,
        method=content.method,
        path=content.path,
        authority=content.authority,
        headers=content.headers,
        body=content.body,
        role=action.role,
        addressee=action.sibling,
        deadline_s=None if remaining_ms is None else remaining_ms / _MILLISECONDS,
        key=content.key,
        fingerprint=content.fingerprint,
        first_attempt_age_s=content.first_attempt_age_s,
    )


def _cancel(task: asyncio.Task[None] | None) -> None:
    if task is not None:
        task.cancel()


def _outcome_of_status(status: int) -> adm.Outcome:
    return adm.Outcome.UPSTREAM_ERROR if status >= 500 else adm.Outcome.SUCCESS


def _parse_seconds(value: str | None) -> float | None:
    """Return a Retry-After in seconds, or None if it is missing; a date counts as 1 second."""
    if value is None:
        return None
    try:
        return max(float(value), 0.0)
    except ValueError:
        return 1.0
