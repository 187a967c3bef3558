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
    """Queue for a slot of the own upstream until ``deadline_at`` (monotonic seconds)."""

    request_id: RequestId
    plan: PlanName
    deadline_at: float


@dataclass(frozen=True, slots=True)
class ReleaseAdmission:
    """Leave the queue, or free the slot."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class SendUpstream:
    """Send the request to the own upstream with this much time left, None without a deadline."""

    request_id: RequestId
    remaining_ms: int | None


@dataclass(frozen=True, slots=True)
class CancelUpstream:
    """Abort the upstream request."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class ForwardToSibling:
    """Send the request to a sibling, which handles it as ``forward_id``.

    The sibling's ``RequestArrived`` carries ``sibling`` as the addressee and key, fingerprint and
    age as they came from the client.
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
    """Pass on the header section of the answer, and the body as it comes."""

    request_id: RequestId
    status: int


@dataclass(frozen=True, slots=True)
class FinishAnswer:
    """End the started answer as whole."""

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
    """Answer with a plain status that proves nothing about a run (504, 422)."""

    request_id: RequestId
    status: int


@dataclass(frozen=True, slots=True)
class DropAnswer:
    """Nobody waits for an answer any more."""

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
