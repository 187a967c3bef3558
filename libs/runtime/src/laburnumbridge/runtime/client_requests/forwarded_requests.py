"""Runs the requests that siblings forward to this agent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from laburnumbridge import requests as req
from laburnumbridge.core import Incarnation
from laburnumbridge.core import PlanName
from laburnumbridge.core import ProcessId
from laburnumbridge.core import RequestId
from laburnumbridge.runtime.client_requests.grpc_sibling_calls import decode_headers
from laburnumbridge.runtime.client_requests.grpc_sibling_calls import decode_role
from laburnumbridge.runtime.client_requests.grpc_sibling_calls import encode_headers
from laburnumbridge.runtime.client_requests.grpc_sibling_calls import encode_refusal
from laburnumbridge.runtime.client_requests.pipeline_handler import deliver
from laburnumbridge.runtime.client_requests.responder import Responder
from laburnumbridge.runtime.client_requests.running_request import RequestContent
from laburnumbridge.runtime.client_requests.running_request import RunningRequest
from laburnumbridge.wire import control_pb2

if TYPE_CHECKING:
    from collections.abc import Sequence

    from laburnumbridge.core import Refusal
    from laburnumbridge.runtime.client_requests.request_runner import RequestRunner

_MILLISECONDS = 1000


class CollectingResponder(Responder):
    """Collects a response into the message for the sibling."""

    def __init__(self) -> None:
        self.message = control_pb2.ForwardRequestResponse(outcome=control_pb2.OUTCOME_UNKNOWN)

    async def start(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Store status and headers; the response counts as cut until ``finish``."""
        self.message.outcome = control_pb2.OUTCOME_CUT
        self.message.status = status
        self.message.headers.extend(encode_headers(headers))

    async def write(self, chunk: bytes) -> None:
        """Append a part of the body."""
        self.message.body += chunk

    async def finish(self) -> None:
        """Mark the response as complete."""
        self.message.outcome = control_pb2.OUTCOME_WHOLE

    def cut(self) -> None:
        """Mark the response as cut."""
        self.message.outcome = control_pb2.OUTCOME_CUT

    async def refuse(self, refusal: Refusal) -> None:
        """Report that the request was not run, and why."""
        self.message.outcome = control_pb2.OUTCOME_NOT_RUN
        self.message.refusal.CopyFrom(encode_refusal(refusal))

    async def answer_unknown(self) -> None:
        """Report that the request may have run."""
        self.message.outcome = control_pb2.OUTCOME_UNKNOWN


class ForwardedRequests:
    """Receiving side of ``ForwardRequest``; the sender has checked the plan's limits."""

    def __init__(self, *, runner: RequestRunner) -> None:
        self._runner = runner

    async def run(
        self, message: control_pb2.ForwardRequestRequest
    ) -> control_pb2.ForwardRequestResponse:
        """Run one request and return its response; a cancelled call abandons the request."""
        running = _running(message)
        self._runner.begin(running, _arrival(message))
        responder = CollectingResponder()
        try:
            await deliver(running.steps, responder)
        except asyncio.CancelledError:
            self._runner.abandon(running)
            raise
        return responder.message


def _running(message: control_pb2.ForwardRequestRequest) -> RunningRequest:
    has_key = message.HasField("idempotency_key")
    has_age = message.HasField("first_attempt_age_s")
    content = RequestContent(
        method=message.method,
        path=message.path,
        authority=message.authority,
        headers=decode_headers(message.headers),
        body=message.body,
        key=message.idempotency_key if has_key else None,
        fingerprint=message.fingerprint,
        first_attempt_age_s=message.first_attempt_age_s if has_age else None,
    )
    return RunningRequest(
        request_id=RequestId(message.request_id), plan=PlanName(message.plan), content=content
    )


def _arrival(message: control_pb2.ForwardRequestRequest) -> req.RequestArrived:
    has_deadline = message.HasField("deadline_ms")
    has_key = message.HasField("idempotency_key")
    has_age = message.HasField("first_attempt_age_s")
    addressee = req.AgentId(
        ProcessId(message.addressee), Incarnation(message.addressee_incarnation)
    )
    return req.RequestArrived(
        request_id=RequestId(message.request_id),
        method=message.method,
        plan=PlanName(message.plan),
        deadline_s=message.deadline_ms / _MILLISECONDS if has_deadline else None,
        key=message.idempotency_key if has_key else None,
        fingerprint=message.fingerprint,
        first_attempt_age_s=message.first_attempt_age_s if has_age else None,
        role=decode_role(message.role),
        addressee=addressee,
    )
