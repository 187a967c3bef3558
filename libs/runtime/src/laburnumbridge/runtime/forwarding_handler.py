"""Runs guests' requests on the agent's own upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.core import Refusal
from laburnumbridge.core import RefusalReason
from laburnumbridge.runtime.errors import UpstreamLostError
from laburnumbridge.runtime.errors import UpstreamNotReachedError
from laburnumbridge.runtime.responder import OUTCOME_HEADER
from laburnumbridge.runtime.responder import RequestHandler
from laburnumbridge.runtime.responder import answer_plain
from laburnumbridge.runtime.responder import answer_refusal
from laburnumbridge.runtime.upstream_client import UpstreamRequest

if TYPE_CHECKING:
    from laburnumbridge.runtime.guest_request import GuestRequest
    from laburnumbridge.runtime.responder import Responder
    from laburnumbridge.runtime.upstream_client import UpstreamAnswer
    from laburnumbridge.runtime.upstream_client import UpstreamClient

MAX_BODY_BYTES = 1024 * 1024

_STATUS_TOO_LARGE = 413
_STATUS_BAD_GATEWAY = 502


class ForwardingHandler(RequestHandler):
    """Passes each request to the upstream, without limits or retries."""

    def __init__(self, *, upstream: UpstreamClient, stream_prefixes: tuple[str, ...]) -> None:
        self._upstream = upstream
        self._stream_prefixes = stream_prefixes

    async def handle(self, request: GuestRequest, responder: Responder) -> None:
        """Run one request to its answer."""
        body: bytes | None = None
        if not request.path.startswith(self._stream_prefixes):
            body = await request.body.read(MAX_BODY_BYTES)
            if body is None:
                await answer_plain(responder, _STATUS_TOO_LARGE, "not run: body too large")
                return
        sent = UpstreamRequest(
            method=request.method,
            path=request.path,
            authority=request.authority,
            headers=request.headers,
            body=request.body if body is None else body,
        )
        try:
            async with self._upstream.send(sent) as answer:
                await relay_answer(answer, responder)
        except UpstreamNotReachedError:
            await answer_refusal(responder, Refusal(reason=RefusalReason.NO_UPSTREAM))
        except UpstreamLostError:
            if responder.started:
                responder.cut()
                return
            headers = [(OUTCOME_HEADER, "unknown")]
            await answer_plain(responder, _STATUS_BAD_GATEWAY, "outcome unknown", headers)


async def relay_answer(answer: UpstreamAnswer, responder: Responder) -> None:
    """Send an upstream's answer to the guest as it arrives."""
    await responder.start(answer.status, answer.headers)
    async for chunk in answer.body:
        await responder.write(chunk)
    await responder.finish()
