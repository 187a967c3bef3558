"""Events that `Admission` handles; times are monotonic seconds."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import NewType

if TYPE_CHECKING:
    from laburnumbridge.core import PlanName
    from laburnumbridge.core import RequestId

ConnectionId = NewType("ConnectionId", bytes)


class Outcome(StrEnum):
    """How a started request ended at the upstream."""

    SUCCESS = "success"
    UPSTREAM_ERROR = "upstream_error"
    SHED = "shed"
    CONNECTION_LOST = "connection_lost"
    CONNECTION_REFUSED = "connection_refused"


@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionOpened:
    """A client requests a connection, which is accepted or refused."""

    connection_id: ConnectionId
    plan: PlanName


@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionClosed:
    """A client's connection ended; its requests end by events of their own."""

    connection_id: ConnectionId


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestArrived:
    """A request from a client or a sibling.

    ``deadline`` is infinite if the request has none. A stream uses no slot; it counts as a
    connection of the upstream, except for the first stream of an open connection, which already
    counts. An event whose identifier is already queued or running is ignored.
    """

    request_id: RequestId
    plan: PlanName
    deadline: float = math.inf
    is_stream: bool = False
    connection_id: ConnectionId | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestAnswered:
    """The head of the upstream's answer to a started request arrived.

    The event is optional: `RequestFinished` may follow a start directly.
    """

    request_id: RequestId


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestFinished:
    """A started request ended; ``retry_after_s`` is used for `Outcome.SHED` only."""

    request_id: RequestId
    outcome: Outcome
    retry_after_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestCancelled:
    """The client cancelled a queued or started request."""

    request_id: RequestId


@dataclass(frozen=True, kw_only=True, slots=True)
class HealthReported:
    """The upstream's health endpoint answered; request outcomes take precedence over it."""

    is_up: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReported:
    """The upstream's load endpoint reported its busy slots; it removes one slot at most."""

    busy_slots: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PlanSharesChanged:
    """A plans list took effect; shares and ceilings are fractions of the upstream in 0..1.

    A plan without a ceiling may use all slots and connections.
    """

    guaranteed_share_by_plan: dict[PlanName, float]
    ceiling_by_plan: dict[PlanName, float] = field(default_factory=dict)
    list_version: int


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """The upstream drains: new work is refused, and accepted work still runs."""


@dataclass(frozen=True, slots=True)
class UpstreamStartedCold:
    """The upstream has just started."""


@dataclass(frozen=True, slots=True)
class Tick:
    """The time returned by `Admission.next_deadline` has arrived."""


AdmissionEvent = (
    ConnectionOpened
    | ConnectionClosed
    | RequestArrived
    | RequestAnswered
    | RequestFinished
    | RequestCancelled
    | HealthReported
    | LoadReported
    | PlanSharesChanged
    | DrainStarted
    | UpstreamStartedCold
    | Tick
)
