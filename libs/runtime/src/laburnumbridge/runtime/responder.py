"""How a handler answers a guest."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from laburnumbridge.core import Refusal
    from laburnumbridge.runtime.guest_request import GuestRequest

REFUSAL_HEADER = "laburnumbridge-refusal"
OUTCOME_HEADER = "laburnumbridge-outcome"
DEADLINE_HEADER = "laburnumbridge-deadline-ms"

_STATUS_TOO_MANY = 429
_STATUS_UNAVAILABLE = 503
_STATUS_TIMEOUT = 504


class Responder(ABC):
    """Sends one answer; every method raises GuestGoneError once the guest is gone."""

    @abstractmethod
    async def start(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Send status and headers."""

    @abstractmethod
    async def write(self, chunk: bytes) -> None:
        """Send a part of the body; waits while the guest is behind."""

    @abstractmethod
    async def finish(self) -> None:
        """Mark the answer as whole."""

    @abstractmethod
    def cut(self) -> None:
        """Reset the stream, so that the guest knows that the answer isn't whole."""

    @property
    @abstractmethod
    def started(self) -> bool:
        """True once any part of the answer was sent."""


class RequestHandler(ABC):
    """Runs requests; cancelled as a task where the guest cancels."""

    @abstractmethod
    async def handle(self, request: GuestRequest, responder: Responder) -> None:
        """Run one request to its answer."""


async def answer_plain(
    responder: Responder, status: int, text: str, headers: Sequence[tuple[str, str]] = ()
) -> None:
    """Send a short text answer."""
    body = f"{text}\n".encode()
    fields = [("content-type", "text/plain"), ("content-length", str(len(body))), *headers]
    await responder.start(status, fields)
    await responder.write(body)
    await responder.finish()


def refusal_status(refusal: Refusal) -> int:
    """Return the status of a refusal: 504 deadline, 429 plan, 503 capacity."""
    if refusal.reason.value == "deadline_expired":
        return _STATUS_TIMEOUT
    return _STATUS_TOO_MANY if refusal.reason.is_plan_limit else _STATUS_UNAVAILABLE


async def answer_refusal(responder: Responder, refusal: Refusal) -> None:
    """Tell the guest that the request was not run, and why."""
    fields = {
        "reason": refusal.reason.value,
        "plan": refusal.plan,
        "limit": refusal.limit,
        "used": refusal.used,
        "version": refusal.list_version,
    }
    value = "; ".join(f"{name}={field}" for name, field in fields.items() if field is not None)
    headers = [(REFUSAL_HEADER, value)]
    if refusal.retry_after_s is not None:
        headers.append(("retry-after", str(max(1, round(refusal.retry_after_s)))))
    text = f"not run: {refusal.reason.value}"
    await answer_plain(responder, refusal_status(refusal), text, headers)
