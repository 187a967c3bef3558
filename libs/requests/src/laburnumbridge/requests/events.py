"""Events of the request coordinator."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from laburnumbridge.requests.key_messages import AgentSetChanged
from laburnumbridge.requests.key_messages import ArrivalRole
from laburnumbridge.requests.key_messages import KeyInquiry
from laburnumbridge.requests.key_messages import KeyReply
from laburnumbridge.requests.key_messages import Tick

if TYPE_CHECKING:
    from laburnumbridge.core import PlanName
    from laburnumbridge.core import Refusal
    from laburnumbridge.core import RequestId
    from laburnumbridge.requests.agent_id import AgentId
    from laburnumbridge.requests.stored_answer import StoredAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestArrived:
    """A request of a client, or of a sibling, which sets ``role`` and ``addressee``.

    ``request_id`` is unique in the fleet. ``deadline_s`` is the time left in seconds, None
    without the header. ``fingerprint`` is a hash of method, path and body.
    ``first_attempt_age_s`` is the header ``laburnumbridge-first-attempt-ms`` in seconds, None
    without the header.
    """

    request_id: RequestId
    method: str
    plan: PlanName
    deadline_s: float | None = None
    key: str | None = None
    fingerprint: int = 0
    first_attempt_age_s: float | None = None
    role: ArrivalRole = ArrivalRole.CLIENT
    addressee: AgentId | None = None


@dataclass(frozen=True, slots=True)
class AdmissionStarted:
    """The request holds a slot."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class AdmissionRefused:
    """The request gets no slot."""

    request_id: RequestId
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class UpstreamNotConnected:
    """No connection to the upstream was established, so nothing ran."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class UpstreamBytesSent:
    """Bytes of the request may have reached the upstream."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class UpstreamHeaders:
    """The header section of the answer arrived; ``retry_after_s`` is None without the header."""

    request_id: RequestId
    status: int
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class UpstreamCompleted:
    """The answer is complete; ``answer`` is kept for keyed requests if it is small enough."""

    request_id: RequestId
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class UpstreamLost:
    """The established connection to the upstream ended before the answer was complete."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class UpstreamTimedOut:
    """The upstream did not answer in time."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class ClientAborted:
    """The client cancelled the request, or its connection ended."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class SiblingNotConnected:
    """The request was not sent to the sibling."""

    request_id: RequestId
    attempt: int


@dataclass(frozen=True, slots=True)
class SiblingHeaders:
    """The header section of the sibling's answer arrived."""

    request_id: RequestId
    attempt: int
    status: int


@dataclass(frozen=True, slots=True)
class SiblingCompleted:
    """The sibling's answer is complete."""

    request_id: RequestId
    attempt: int
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class SiblingRefused:
    """The sibling proves that it did not run the request."""

    request_id: RequestId
    attempt: int
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class SiblingLost:
    """The sibling was lost, cut its answer, or reports an unknown outcome."""

    request_id: RequestId
    attempt: int


SiblingEvent = (
    SiblingNotConnected | SiblingHeaders | SiblingCompleted | SiblingRefused | SiblingLost
)
RequestEvent = (
    RequestArrived
    | AdmissionStarted
    | AdmissionRefused
    | UpstreamNotConnected
    | UpstreamBytesSent
    | UpstreamHeaders
    | UpstreamCompleted
    | UpstreamLost
    | UpstreamTimedOut
    | ClientAborted
    | SiblingEvent
    | AgentSetChanged
    | KeyInquiry
    | KeyReply
    | Tick
)
