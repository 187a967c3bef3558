"""Requests between agents over gRPC."""

from __future__ import annotations

from typing import TYPE_CHECKING

import grpc

from laburnumbridge.core import PlanName
from laburnumbridge.core import Refusal
from laburnumbridge.core import RefusalReason
from laburnumbridge.requests import ArrivalRole
from laburnumbridge.requests import StoredAnswer
from laburnumbridge.runtime.client_requests.sibling_calls import ForwardedAnswer
from laburnumbridge.runtime.client_requests.sibling_calls import ForwardedOutcome
from laburnumbridge.runtime.client_requests.sibling_calls import SiblingCalls
from laburnumbridge.runtime.errors import SiblingLostError
from laburnumbridge.runtime.errors import SiblingNotReachedError
from laburnumbridge.wire import control_pb2
from laburnumbridge.wire import control_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from laburnumbridge.core import ProcessId
    from laburnumbridge.runtime.client_requests.sibling_calls import ForwardedRequest
    from laburnumbridge.wire import ChannelPool
    from laburnumbridge.wire import Endpoint

# Timeout of a call without a client deadline; the coordinator's own deadline ends such a call.
CALL_LIMIT_S = 3600.0
CONNECT_LIMIT_S = 1.0

_ROLES = {
    ArrivalRole.RETRY: control_pb2.ARRIVAL_ROLE_RETRY,
    ArrivalRole.KEY_OWNER: control_pb2.ARRIVAL_ROLE_KEY_OWNER,
    ArrivalRole.KEY_HOLDER: control_pb2.ARRIVAL_ROLE_KEY_HOLDER,
}
_OUTCOMES = {
    control_pb2.OUTCOME_WHOLE: ForwardedOutcome.WHOLE,
    control_pb2.OUTCOME_CUT: ForwardedOutcome.CUT,
    control_pb2.OUTCOME_NOT_RUN: ForwardedOutcome.NOT_RUN,
}


class GrpcSiblingCalls(SiblingCalls):
    """Calls ``ForwardRequest`` of the addressee."""

    def __init__(
        self,
        *,
        channels: ChannelPool,
        find_endpoint: Callable[[ProcessId], Endpoint | None],
    ) -> None:
        self._channels = channels
        self._find_endpoint = find_endpoint

    async def forward(self, request: ForwardedRequest) -> ForwardedAnswer:
        """Run a request at its addressee and return the response.

        Raises SiblingNotReachedError and SiblingLostError.
        """
        sibling = request.addressee.process_id
        endpoint = self._find_endpoint(sibling)
        if endpoint is None:
            raise SiblingNotReachedError(sibling=sibling, reason="its address is unknown")
        channel = self._channels.channel(endpoint)
        await self._connect(channel, sibling)
        stub = control_pb2_grpc.ControlStub(channel)
        limit_s = CALL_LIMIT_S if request.deadline_s is None else request.deadline_s
        try:
            answer = await stub.ForwardRequest(encode_forwarded(request), timeout=limit_s)
        except grpc.aio.AioRpcError as error:
            reason = error.details() or error.code().name
            raise SiblingLostError(sibling=sibling, reason=reason) from error
        return decode_answer(answer)

    async def _connect(self, channel: grpc.aio.Channel, sibling: ProcessId) -> None:
        """Wait for the connection; before it is ready, a request can't have reached the sibling."""
        state = channel.get_state(try_to_connect=True)
        while state is not grpc.ChannelConnectivity.READY:
            if state is grpc.ChannelConnectivity.TRANSIENT_FAILURE:
                raise SiblingNotReachedError(sibling=sibling, reason="connection failed")
            await channel.wait_for_state_change(state)
            state = channel.get_state(try_to_connect=True)


def encode_forwarded(request: ForwardedRequest) -> control_pb2.ForwardRequestRequest:
    """Return the wire message of a forwarded request."""
    deadline_ms = None if request.deadline_s is None else int(request.deadline_s * 1000)
    return control_pb2.ForwardRequestRequest(
        request_id=request.request_id,
        plan=request.plan,
        method=request.method,
        path=request.path,
        authority=request.authority,
        headers=encode_headers(request.headers),
        body=request.body,
        role=_ROLES[request.role],
        addressee=request.addressee.process_id,
        addressee_incarnation=request.addressee.incarnation,
        deadline_ms=deadline_ms,
        idempotency_key=request.key,
        fingerprint=request.fingerprint,
        first_attempt_age_s=request.first_attempt_age_s,
    )


def decode_role(role: int) -> ArrivalRole:
    """Return the role of a wire message; an unknown one is a RETRY, which stores nothing."""
    return next((kind for kind, number in _ROLES.items() if number == role), ArrivalRole.RETRY)


def encode_headers(headers: Iterable[tuple[str, str]]) -> list[control_pb2.Header]:
    """Return header fields as wire messages."""
    return [
        control_pb2.Header(name=name.encode("latin-1"), value=value.encode("latin-1"))
        for name, value in headers
    ]


def decode_headers(headers: Iterable[control_pb2.Header]) -> tuple[tuple[str, str], ...]:
    """Return the header fields of wire messages."""
    return tuple((h.name.decode("latin-1"), h.value.decode("latin-1")) for h in headers)


def encode_refusal(refusal: Refusal) -> control_pb2.Refusal:
    """Return the wire message of a refusal."""
    return control_pb2.Refusal(
        reason=refusal.reason.value,
        plan=refusal.plan,
        limit=refusal.limit,
        used=refusal.used,
        list_version=refusal.list_version,
        retry_after_s=refusal.retry_after_s,
    )


def decode_answer(answer: control_pb2.ForwardRequestResponse) -> ForwardedAnswer:
    """Return the response of a sibling; an unknown outcome or refusal becomes UNKNOWN."""
    outcome = _OUTCOMES.get(answer.outcome, ForwardedOutcome.UNKNOWN)
    if outcome is ForwardedOutcome.UNKNOWN:
        return ForwardedAnswer(outcome=outcome)
    if outcome is ForwardedOutcome.NOT_RUN:
        refusal = _decode_refusal(answer.refusal)
        checked = ForwardedOutcome.NOT_RUN if refusal else ForwardedOutcome.UNKNOWN
        return ForwardedAnswer(outcome=checked, refusal=refusal)
    stored = StoredAnswer(answer.status, decode_headers(answer.headers), answer.body)
    return ForwardedAnswer(outcome=outcome, answer=stored)


def _decode_refusal(refusal: control_pb2.Refusal) -> Refusal | None:
    try:
        reason = RefusalReason(refusal.reason)
    except ValueError:
        return None
    return Refusal(
        reason=reason,
        plan=PlanName(refusal.plan) if refusal.plan else None,
        limit=refusal.limit if refusal.HasField("limit") else None,
        used=refusal.used if refusal.HasField("used") else None,
        list_version=refusal.list_version if refusal.HasField("list_version") else None,
        retry_after_s=refusal.retry_after_s if refusal.HasField("retry_after_s") else None,
    )
