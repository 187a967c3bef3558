"""Processing of a client's request: identity, plan, slot, upstream, response."""

from __future__ import annotations

import asyncio
import itertools
import math
from typing import TYPE_CHECKING

from laburnumbridge import admission as adm
from laburnumbridge import requests as req
from laburnumbridge.core import Refusal
from laburnumbridge.core import RefusalReason
from laburnumbridge.core import RequestId
from laburnumbridge.core import hash64
from laburnumbridge.limits import Work
from laburnumbridge.runtime.client_requests import answer_steps as steps
from laburnumbridge.runtime.client_requests.responder import DEADLINE_HEADER
from laburnumbridge.runtime.client_requests.responder import FIRST_ATTEMPT_HEADER
from laburnumbridge.runtime.client_requests.responder import KEY_HEADER
from laburnumbridge.runtime.client_requests.responder import RequestHandler
from laburnumbridge.runtime.client_requests.running_request import RequestContent
from laburnumbridge.runtime.client_requests.running_request import RunningRequest
from laburnumbridge.runtime.client_requests.upstream_client import UpstreamRequest
from laburnumbridge.runtime.errors import ClientAbortedError
from laburnumbridge.runtime.errors import UpstreamLostError
from laburnumbridge.runtime.errors import UpstreamNotReachedError
from laburnumbridge.telemetry import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.core import PlanName
    from laburnumbridge.lists import Identity
    from laburnumbridge.runtime.client_requests.client_request import ClientRequest
    from laburnumbridge.runtime.client_requests.client_request import ConnectionRecord
    from laburnumbridge.runtime.client_requests.request_recorder import RequestRecorder
    from laburnumbridge.runtime.client_requests.request_runner import RequestRunner
    from laburnumbridge.runtime.client_requests.responder import Responder
    from laburnumbridge.runtime.client_requests.upstream_client import UpstreamClient
    from laburnumbridge.runtime.control.lease_driver import LeaseDriver

MAX_BODY_BYTES = 1024 * 1024

_STATUS_TOO_LARGE = 413
_MILLISECONDS = 1000


class PipelineHandler(RequestHandler):
    """Passes each request through the plan's limits, the upstream's slots and the coordinator."""

    def __init__(
        self,
        *,
        service: str,
        stream_prefixes: tuple[str, ...],
        identify: Callable[[ClientRequest], Identity],
        is_allowed: Callable[[PlanName, str], bool],
        leases: LeaseDriver,
        runner: RequestRunner,
        upstream: UpstreamClient,
        recorder: RequestRecorder,
    ) -> None:
        self._service = service
        self._stream_prefixes = stream_prefixes
        self._identify = identify
        self._is_allowed = is_allowed
        self._leases = leases
        self._runner = runner
        self._upstream = upstream
        self._recorder = recorder
        self._sequence = itertools.count(1)

    async def handle(self, request: ClientRequest, responder: Responder) -> None:
        """Run one request until its response ends, and record the outcome."""
        identity = self._identify(request)
        flow = request.connection.connection_id.hex()
        started = asyncio.get_running_loop().time()
        outcome = Outcome.CANCELLED
        try:
            refusal = await self._admit_connection(request, identity.plan)
            if refusal is not None:
                outcome = await self._refuse(request, identity.plan, refusal, responder)
            elif request.path.startswith(self._stream_prefixes):
                outcome = await self._stream(request, identity.plan, responder)
            else:
                outcome = await self._run(request, identity, responder)
        except ClientAbortedError:
            outcome = Outcome.CANCELLED
        finally:
            latency_s = asyncio.get_running_loop().time() - started
            self._recorder.request_ended(
                request.request_id, identity.plan, outcome, latency_s=latency_s, flow=flow
            )

    def connection_closed(self, connection: ConnectionRecord) -> None:
        """Release the connection at its plan and at the upstream's admission."""
        if connection.plan is None:
            return
        self._leases.end(connection.plan, Work.CONNECTION)
        connection.plan = None
        closed = adm.ConnectionClosed(connection_id=adm.ConnectionId(connection.connection_id))
        self._runner.handle_admission_event(closed)

    async def _admit_connection(self, request: ClientRequest, plan: PlanName) -> Refusal | None:
        """Count the connection against the plan of its first admitted request.

        Returns None if the request may continue.
        """
        if not self._is_allowed(plan, self._service):
            return Refusal(reason=RefusalReason.SERVICE_NOT_IN_PLAN, plan=plan)
        connection = request.connection
        async with connection.admission_lock:
            if connection.plan is not None:
                return None
            number = next(self._sequence)
            lease_id = RequestId(f"{connection.connection_id.hex()}/{number}")
            refusal = await self._leases.admit(lease_id, plan, Work.CONNECTION)
            if refusal is not None:
                return refusal
            refusal = self._open_connection(connection, plan)
            if refusal is not None:
                self._leases.end(plan, Work.CONNECTION)
                return refusal
            connection.plan = plan
            return None

    def _open_connection(self, connection: ConnectionRecord, plan: PlanName) -> Refusal | None:
        opened = adm.ConnectionOpened(
            connection_id=adm.ConnectionId(connection.connection_id), plan=plan
        )
        for action in self._runner.handle_admission_event(opened):
            if isinstance(action, adm.RefuseConnection):
                return action.refusal
        return None

    async def _refuse(
        self, request: ClientRequest, plan: PlanName, refusal: Refusal, responder: Responder
    ) -> Outcome:
        flow = request.connection.connection_id.hex()
        self._recorder.request_refused(request.request_id, plan, refusal, flow=flow)
        await responder.refuse(refusal)
        return _refused_outcome(refusal)

    async def _run(
        self, request: ClientRequest, identity: Identity, responder: Responder
    ) -> Outcome:
        body = await request.body.read(MAX_BODY_BYTES)
        if body is None:
            await responder.answer(_STATUS_TOO_LARGE, "not run: the body is too large")
            return Outcome.ANSWERED
        lease_id = RequestId(request.request_id)
        refusal = await self._leases.admit(lease_id, identity.plan, Work.REQUEST)
        if refusal is not None:
            return await self._refuse(request, identity.plan, refusal, responder)
        try:
            return await self._coordinate(request, identity, body, responder)
        finally:
            self._leases.end(identity.plan, Work.REQUEST)

    async def _coordinate(
        self, request: ClientRequest, identity: Identity, body: bytes, responder: Responder
    ) -> Outcome:
        content = _build_content(request, identity, body)
        running = RunningRequest(
            request_id=RequestId(request.request_id), plan=identity.plan, content=content
        )
        arrival = req.RequestArrived(
            request_id=running.request_id,
            method=request.method,
            plan=identity.plan,
            deadline_s=_parse_milliseconds(request.header(DEADLINE_HEADER)),
            key=content.key,
            fingerprint=content.fingerprint,
            first_attempt_age_s=content.first_attempt_age_s,
        )
        self._runner.begin(running, arrival)
        try:
            outcome, refusal = await deliver(running.steps, responder)
        except (asyncio.CancelledError, ClientAbortedError):
            self._runner.abandon(running)
            raise
        if refusal is not None:
            flow = request.connection.connection_id.hex()
            self._recorder.request_refused(request.request_id, identity.plan, refusal, flow=flow)
        return outcome

    async def _stream(
        self, request: ClientRequest, plan: PlanName, responder: Responder
    ) -> Outcome:
        request_id = RequestId(request.request_id)
        arrived = adm.RequestArrived(
            request_id=request_id,
            plan=plan,
            is_stream=True,
            connection_id=adm.ConnectionId(request.connection.connection_id),
        )
        for action in self._runner.handle_admission_event(arrived):
            if isinstance(action, adm.RefuseRequest):
                return await self._refuse(request, plan, action.refusal, responder)
        ended = adm.Outcome.SUCCESS
        try:
            return await self._relay_stream(request, responder)
        except UpstreamNotReachedError:
            ended = adm.Outcome.CONNECTION_REFUSED
            refusal = Refusal(reason=RefusalReason.NO_UPSTREAM, plan=plan)
            return await self._refuse(request, plan, refusal, responder)
        except UpstreamLostError:
            ended = adm.Outcome.CONNECTION_LOST
            responder.cut()
            return Outcome.CUT
        finally:
            finished = adm.RequestFinished(request_id=request_id, outcome=ended)
            self._runner.handle_admission_event(finished)

    async def _relay_stream(self, request: ClientRequest, responder: Responder) -> Outcome:
        sent = UpstreamRequest(
            method=request.method,
            path=request.path,
            authority=request.authority,
            headers=request.headers,
            body=request.body,
        )
        async with self._upstream.send(sent) as answer:
            await responder.start(answer.status, answer.headers)
            async for chunk in answer.body:
                await responder.write(chunk)
            await responder.finish()
        return Outcome.ANSWERED


async def deliver(
    answer: steps.AnswerSteps, responder: Responder
) -> tuple[Outcome, Refusal | None]:
    """Send the steps of a response until it ends.

    Returns the outcome and the refusal, which is None if the request wasn't refused.
    """
    while True:
        step = await answer.get()
        match step:
            case steps.StartStep(status, headers):
                await responder.start(status, headers)
            case steps.BodyStep(chunk):
                await responder.write(chunk)
            case steps.FinishStep():
                await responder.finish()
                return Outcome.ANSWERED, None
            case steps.CutStep():
                responder.cut()
                return Outcome.CUT, None
            case steps.ReplayStep(stored):
                await responder.start(stored.status, stored.headers)
                await responder.write(stored.body)
                await responder.finish()
                return Outcome.ANSWERED, None
            case steps.RefuseStep(refusal):
                await responder.refuse(refusal)
                return _refused_outcome(refusal), refusal
            case steps.UnknownStep():
                await responder.answer_unknown()
                return Outcome.UNKNOWN, None
            case steps.StatusStep(status):
                await responder.answer(status, f"status {status}")
                return Outcome.ANSWERED, None


def _refused_outcome(refusal: Refusal) -> Outcome:
    is_plan = refusal.reason.is_plan_limit
    return Outcome.REFUSED_PLAN if is_plan else Outcome.REFUSED_CAPACITY


def _build_content(request: ClientRequest, identity: Identity, body: bytes) -> RequestContent:
    key = request.header(KEY_HEADER)
    # Two clients may choose the same key, so the ledger stores it with its owner.
    owner = identity.client_account or f"{identity.plan}@{request.source}"
    head = f"{request.method} {request.path}\n".encode()
    return RequestContent(
        method=request.method,
        path=request.path,
        authority=request.authority,
        headers=request.headers,
        body=body,
        key=None if key is None else f"{owner}/{key}",
        fingerprint=hash64(head + body),
        first_attempt_age_s=_parse_milliseconds(request.header(FIRST_ATTEMPT_HEADER)),
    )


def _parse_milliseconds(value: str | None) -> float | None:
    """Return seconds, or None if the header is missing or isn't a finite number."""
    if value is None:
        return None
    try:
        seconds = float(value) / _MILLISECONDS
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) else None
