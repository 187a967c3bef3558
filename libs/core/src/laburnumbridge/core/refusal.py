"""The typed reason why a client's connection or request was not run."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from laburnumbridge.core.identifiers import PlanName


class RefusalReason(StrEnum):
    """Why work was refused before any of it ran."""

    SERVICE_NOT_IN_PLAN = "service_not_in_plan"
    PLAN_CONNECTIONS = "plan_connections"
    PLAN_CONNECTION_RATE = "plan_connection_rate"
    PLAN_REQUEST_RATE = "plan_request_rate"
    PLAN_CONCURRENCY = "plan_concurrency"
    UPSTREAM_CONNECTIONS = "upstream_connections"
    QUEUE_FULL = "queue_full"
    DEADLINE_EXPIRED = "deadline_expired"
    DRAINING = "draining"
    UPSTREAM_SHEDDING = "upstream_shedding"
    NO_UPSTREAM = "no_upstream"
    COLD_START = "cold_start"

    @property
    def is_plan_limit(self) -> bool:
        """True if a limit of the client's plan, not the capacity of the upstreams, was reached."""
        return self.value.startswith("plan_") or self is RefusalReason.SERVICE_NOT_IN_PLAN


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """A refusal with the details that an operator and a client need.

    ``limit`` and ``used`` are in the unit of the limit (connections, requests, or requests a
    second); ``list_version`` is the version of the plans list that was in force. Details
    that don't apply are None.
    """

    reason: RefusalReason
    plan: PlanName | None = None
    limit: float | None = None
    used: float | None = None
    list_version: int | None = None
    retry_after_s: float | None = None
