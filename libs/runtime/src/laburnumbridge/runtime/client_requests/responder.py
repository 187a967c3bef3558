"""Interfaces of request handlers and of the responses that they send."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

from laburnumbridge.core import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Sequence

    from laburnumbridge.core import Refusal
    from laburnumbridge.runtime.client_requests.client_request import ClientRequest
    from laburnumbridge.runtime.client_requests.client_request import ConnectionRecord

REFUSAL_HEADER = "laburnumbridge-refusal"
OUTCOME_HEADER = "laburnumbridge-outcome"
DEADLINE_HEADER = "laburnumbridge-deadline-ms"
FIRST_ATTEMPT_HEADER = "laburnumbridge-first-attempt-ms"
KEY_HEADER = "idempotency-key"

_STATUS_TOO_MANY = 429
_STATUS_BAD_GATEWAY = 502
_STATUS_UNAVAILABLE = 503
_STATUS_TIMEOUT = 504


class Responder(ABC):
    """Sends one response; methods raise ClientAbortedError once the client has disconnected."""

    @abstractmethod
    async def start(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Send status and headers."""

    @abstractmethod
    async def write(self, chunk: bytes) -> None:
        """Send a part of the body; wait while too much is unacknowledged."""

    @abstractmethod
    async def finish(self) -> None:
        """Mark the response as complete."""

    @abstractmethod
    def cut(self) -> None:
        """Reset the stream, so that the client detects the incomplete response."""

    async def answer(self, status: int, text: str, headers: Sequence[tuple[str, str]] = ()) -> None:
        """Send a short plain-text response."""
        body = f"{text}\n".encode()
        fields = [("content-type", "text/plain"), ("content-length", str(len(body))), *headers]
        await self.start(status, fields)
        await self.write(body)
        await self.finish()

    async def refuse(self, refusal: Refusal) -> None:
        """Report that the request was not run, and why."""
        headers = [(REFUSAL_HEADER, _format_refusal(refusal))]
        if refusal.retry_after_s is not None:
            headers.append(("retry-after", str(max(1, round(refusal.retry_after_s)))))
        text = f"not run: {refusal.reason.value}"
        await self.answer(refusal_status(refusal), text, headers)

    async def answer_unknown(self) -> None:
        """Report that the request may have run."""
        headers = [(OUTCOME_HEADER, "unknown")]
        await self.answer(_STATUS_BAD_GATEWAY, "outcome unknown", headers)


class RequestHandler(ABC):
    """Runs requests; the task of a request is cancelled when its client cancels it."""

    @abstractmethod
    async def handle(self, request: ClientRequest, responder: Responder) -> None:
        """Run one request and send its response."""

    @abstractmethod
    def connection_closed(self, connection: ConnectionRecord) -> None:
        """Release the state of a connection that has ended."""


def refusal_status(refusal: Refusal) -> int:
    """Return the HTTP status: 504 for an expired deadline, 429 for plan limits, else 503."""
    if refusal.reason is RefusalReason.DEADLINE_EXPIRED:
        return _STATUS_TIMEOUT
    return _STATUS_TOO_MANY if refusal.reason.is_plan_limit else _STATUS_UNAVAILABLE


def _format_refusal(refusal: Refusal) -> str:
    values = {
        "reason": refusal.reason.value,
        "plan": refusal.plan,
        "limit": refusal.limit,
        "used": refusal.used,
        "version": refusal.list_version,
    }
    return "; ".join(
        f"{name}={value:g}" if isinstance(value, float) else f"{name}={value}"
        for name, value in values.items()
        if value is not None
    )
