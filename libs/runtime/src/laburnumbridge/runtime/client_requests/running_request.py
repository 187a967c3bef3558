"""A request while its agent works on it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from laburnumbridge.runtime.client_requests.answer_steps import AnswerSteps

if TYPE_CHECKING:
    import asyncio

    from laburnumbridge.admission import Outcome
    from laburnumbridge.core import PlanName
    from laburnumbridge.core import RequestId


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestContent:
    """What is sent to an upstream or to a sibling; ``fingerprint`` hashes method, path, body."""

    method: str
    path: str
    authority: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str | None
    fingerprint: int
    first_attempt_age_s: float | None


@dataclass(kw_only=True, slots=True)
class RunningRequest:
    """State of the driver for one request; the decisions are the coordinator's.

    ``outcome`` is what admission is told when the request's slot is released.
    """

    request_id: RequestId
    plan: PlanName
    content: RequestContent
    steps: AnswerSteps = field(default_factory=AnswerSteps)
    answer_headers: tuple[tuple[str, str], ...] = ()
    outcome: Outcome | None = None
    retry_after_s: float = 0.0
    upstream_call: asyncio.Task[None] | None = None
    sibling_call: asyncio.Task[None] | None = None
    reader_gone: bool = False
