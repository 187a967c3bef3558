"""Requests that one agent runs for another."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.core import PlanName
    from laburnumbridge.core import Refusal
    from laburnumbridge.core import RequestId
    from laburnumbridge.requests import AgentId
    from laburnumbridge.requests import ArrivalRole
    from laburnumbridge.requests import StoredAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardedRequest:
    """Request with the data that the sibling needs; times are in seconds.

    ``deadline_s`` is None without a deadline, ``key`` without an idempotency key.
    """

    request_id: RequestId
    plan: PlanName
    method: str
    path: str
    authority: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    role: ArrivalRole
    addressee: AgentId
    deadline_s: float | None
    key: str | None
    fingerprint: int
    first_attempt_age_s: float | None


class ForwardedOutcome(StrEnum):
    """Outcome of the request that the sibling reports."""

    WHOLE = "whole"
    CUT = "cut"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardedAnswer:
    """Response of a sibling.

    ``answer`` is set for a whole or cut response, ``refusal`` if the request was not run.
    """

    outcome: ForwardedOutcome
    answer: StoredAnswer | None = None
    refusal: Refusal | None = None


class SiblingCalls(ABC):
    """Forwards requests to the other agents of the service."""

    @abstractmethod
    async def forward(self, request: ForwardedRequest) -> ForwardedAnswer:
        """Run a request at its addressee.

        Raises SiblingNotReachedError if the request was never sent, and SiblingLostError if it may
        have arrived.
        """
