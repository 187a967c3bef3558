"""At-most-once execution, retries, deadlines and idempotency keys."""

from __future__ import annotations

from laburnumbridge.requests.actions import AnswerOutcomeUnknown
from laburnumbridge.requests.actions import AnswerRefused
from laburnumbridge.requests.actions import AnswerStatus
from laburnumbridge.requests.actions import CancelSibling
from laburnumbridge.requests.actions import CancelUpstream
from laburnumbridge.requests.actions import CutAnswer
from laburnumbridge.requests.actions import DropAnswer
from laburnumbridge.requests.actions import FinalAnswer
from laburnumbridge.requests.actions import FinishAnswer
from laburnumbridge.requests.actions import ForwardToSibling
from laburnumbridge.requests.actions import ReleaseAdmission
from laburnumbridge.requests.actions import ReplayAnswer
from laburnumbridge.requests.actions import RequestAction
from laburnumbridge.requests.actions import RequestAdmission
from laburnumbridge.requests.actions import SendUpstream
from laburnumbridge.requests.actions import StartAnswer
from laburnumbridge.requests.agent_id import AgentId
from laburnumbridge.requests.events import AdmissionRefused
from laburnumbridge.requests.events import AdmissionStarted
from laburnumbridge.requests.events import ClientAborted
from laburnumbridge.requests.events import RequestArrived
from laburnumbridge.requests.events import RequestEvent
from laburnumbridge.requests.events import SiblingCompleted
from laburnumbridge.requests.events import SiblingHeaders
from laburnumbridge.requests.events import SiblingLost
from laburnumbridge.requests.events import SiblingNotConnected
from laburnumbridge.requests.events import SiblingRefused
from laburnumbridge.requests.events import UpstreamBytesSent
from laburnumbridge.requests.events import UpstreamCompleted
from laburnumbridge.requests.events import UpstreamHeaders
from laburnumbridge.requests.events import UpstreamLost
from laburnumbridge.requests.events import UpstreamNotConnected
from laburnumbridge.requests.events import UpstreamTimedOut
from laburnumbridge.requests.key_ledger import KeyLedger
from laburnumbridge.requests.key_messages import AgentSetChanged
from laburnumbridge.requests.key_messages import ArrivalRole
from laburnumbridge.requests.key_messages import ClaimWithdrawn
from laburnumbridge.requests.key_messages import KeyClaimed
from laburnumbridge.requests.key_messages import KeyInquiry
from laburnumbridge.requests.key_messages import KeyReply
from laburnumbridge.requests.key_messages import KeyRunEnded
from laburnumbridge.requests.key_messages import KeyStatus
from laburnumbridge.requests.key_messages import RelayClaim
from laburnumbridge.requests.key_messages import RunClaim
from laburnumbridge.requests.key_messages import SendKeyInquiry
from laburnumbridge.requests.key_messages import SendKeyReply
from laburnumbridge.requests.key_messages import SettleClaim
from laburnumbridge.requests.key_messages import Tick
from laburnumbridge.requests.key_messages import UnansweredOutcome
from laburnumbridge.requests.methods import is_idempotent
from laburnumbridge.requests.request_coordinator import SHED_STATUS
from laburnumbridge.requests.request_coordinator import RequestCoordinator
from laburnumbridge.requests.retry_budget import RetryBudget
from laburnumbridge.requests.stored_answer import StoredAnswer

__all__ = [
    "SHED_STATUS",
    "AdmissionRefused",
    "AdmissionStarted",
    "AgentId",
    "AgentSetChanged",
    "AnswerOutcomeUnknown",
    "AnswerRefused",
    "AnswerStatus",
    "ArrivalRole",
    "CancelSibling",
    "CancelUpstream",
    "ClaimWithdrawn",
    "ClientAborted",
    "CutAnswer",
    "DropAnswer",
    "FinalAnswer",
    "FinishAnswer",
    "ForwardToSibling",
    "KeyClaimed",
    "KeyInquiry",
    "KeyLedger",
    "KeyReply",
    "KeyRunEnded",
    "KeyStatus",
    "RelayClaim",
    "ReleaseAdmission",
    "ReplayAnswer",
    "RequestAction",
    "RequestAdmission",
    "RequestArrived",
    "RequestCoordinator",
    "RequestEvent",
    "RetryBudget",
    "RunClaim",
    "SendKeyInquiry",
    "SendKeyReply",
    "SendUpstream",
    "SettleClaim",
    "SiblingCompleted",
    "SiblingHeaders",
    "SiblingLost",
    "SiblingNotConnected",
    "SiblingRefused",
    "StartAnswer",
    "StoredAnswer",
    "Tick",
    "UnansweredOutcome",
    "UpstreamBytesSent",
    "UpstreamCompleted",
    "UpstreamHeaders",
    "UpstreamLost",
    "UpstreamNotConnected",
    "UpstreamTimedOut",
    "is_idempotent",
]
