"""Actions of the request coordinator."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from laburnumbridge.requests.key_messages import SendKeyInquiry
from laburnumbridge.requests.key_messages import SendKeyReply

if TYPE_CHECKING:
    from laburnumbridge.core import PlanName
    from laburnumbridge.core import Refusal
    from laburnumbridge.core import RequestId
    from laburnumbridge.requests.agent_id import AgentId
    from laburnumbridge.requests.key_messages import ArrivalRole
    from laburnumbridge.requests.stored_answer import StoredAnswer


@dataclass(frozen=True, slots=True)
class RequestAdmission:
    """Queue for a slot of this agent's upstream until ``deadline_at`` (monotonic seconds)."""

    request_id: RequestId
    plan: PlanName
    deadline_at: float


@dataclass(frozen=True, slots=True)
class ReleaseAdmission:
    """Leave the queue, or free the slot."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class SendUpstream:
    """Send the request to this agent's upstream.

    ``remaining_ms`` is the time left in milliseconds, None without a deadline.
    """

    request_id: RequestId
    remaining_ms: int | None


@dataclass(frozen=True, slots=True)
class CancelUpstream:
    """Abort the upstream request."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class ForwardToSibling:
    """Send the request to a sibling, which handles it as ``forward_id``.

    The sibling's ``RequestArrived`` carries ``sibling`` as the addressee, and key, fingerprint and
    age as received from the client. ``remaining_ms`` is the time left in milliseconds, None
    without a deadline.
    """

    request_id: RequestId
    attempt: int
    forward_id: RequestId
    sibling: AgentId
    role: ArrivalRole
    remaining_ms: int | None


@dataclass(frozen=True, slots=True)
class CancelSibling:
    """Withdraw a forwarded request."""

    request_id: RequestId
    attempt: int
    sibling: AgentId


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """Forward the header section of the answer, and the body as it arrives."""

    request_id: RequestId
    status: int


@dataclass(frozen=True, slots=True)
class FinishAnswer:
    """Complete the started answer."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class CutAnswer:
    """Reset the stream of the started answer."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class ReplayAnswer:
    """Answer with the stored answer of the key's only run."""

    request_id: RequestId
    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class AnswerOutcomeUnknown:
    """Answer 502 with ``laburnumbridge-outcome: unknown``."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class AnswerRefused:
    """Answer with the refusal header, which means "not run"."""

    request_id: RequestId
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class AnswerStatus:
    """Answer with a status that doesn't state whether the request ran (504, 422)."""

    request_id: RequestId
    status: int


@dataclass(frozen=True, slots=True)
class DropAnswer:
    """Send no answer, because the client no longer waits for one."""

    request_id: RequestId


FinalAnswer = (
    FinishAnswer
    | CutAnswer
    | ReplayAnswer
    | AnswerOutcomeUnknown
    | AnswerRefused
    | AnswerStatus
    | DropAnswer
)
RequestAction = (
    RequestAdmission
    | ReleaseAdmission
    | SendUpstream
    | CancelUpstream
    | ForwardToSibling
    | CancelSibling
    | StartAnswer
    | FinalAnswer
    | SendKeyInquiry
    | SendKeyReply
)
