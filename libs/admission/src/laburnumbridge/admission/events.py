"""What `Admission` is told; times are monotonic seconds."""

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
    """A client asks for a connection; the answer is an accept or a refusal."""

    connection_id: ConnectionId
    plan: PlanName


@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionClosed:
    """A client's connection ended; its requests end by events of their own."""

    connection_id: ConnectionId


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestArrived:
    """A client or a sibling sends a request.

    ``deadline`` is infinite where none was given. A stream needs no slot; it takes a connection
    of the upstream, where the first stream of an open connection uses that connection's place.
    An identifier that is already queued or running is ignored.
    """

    request_id: RequestId
    plan: PlanName
    deadline: float = math.inf
    is_stream: bool = False
    connection_id: ConnectionId | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestAnswered:
    """The head of the upstream's answer to a started request arrived; not needed for each."""

    request_id: RequestId


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestFinished:
    """A started request ended; ``retry_after_s`` belongs to the outcome `Outcome.SHED`."""

    request_id: RequestId
    outcome: Outcome
    retry_after_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestCancelled:
    """The client gave up a request, queued or started."""

    request_id: RequestId


@dataclass(frozen=True, kw_only=True, slots=True)
class HealthReported:
    """The upstream's health endpoint answered; a hint."""

    is_up: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReported:
    """The upstream's load endpoint answered with the slots it believes are busy; a hint."""

    busy_slots: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PlanSharesChanged:
    """A plans list is in force; shares and ceilings are fractions of the upstream in 0..1.

    A plan without a ceiling may use all slots and connections.
    """

    guaranteed_share_by_plan: dict[PlanName, float]
    ceiling_by_plan: dict[PlanName, float] = field(default_factory=dict)
    list_version: int


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """The upstream is leaving."""


@dataclass(frozen=True, slots=True)
class UpstreamStartedCold:
    """The upstream has just started."""


@dataclass(frozen=True, slots=True)
class Tick:
    """The time of `Admission.next_deadline` has come."""


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
