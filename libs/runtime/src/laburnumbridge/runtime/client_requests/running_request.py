"""State of a request that an agent is running."""

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
    """Content sent to an upstream or a sibling; ``fingerprint`` hashes method, path and body.

    ``key`` is None without an idempotency key, ``first_attempt_age_s`` without that header.
    """

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
    """State that the runner keeps for one request; the coordinator makes the decisions.

    ``outcome`` is reported to admission when the slot is released; it is None before a call to
    the upstream has produced one. ``is_abandoned`` is True once nothing reads the response.
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
    is_abandoned: bool = False
