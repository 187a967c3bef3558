"""Events and actions of the ledger of idempotency keys."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from laburnumbridge.core import ProcessId
from laburnumbridge.core import Refusal
from laburnumbridge.core import RequestId
from laburnumbridge.requests.agent_id import AgentId
from laburnumbridge.requests.stored_answer import StoredAnswer


class ArrivalRole(StrEnum):
    """Why a request was sent to this agent."""

    CLIENT = "guest"
    RETRY = "retry"
    KEY_OWNER = "key_owner"
    KEY_HOLDER = "key_holder"


class KeyStatus(StrEnum):
    """The status of a key at an agent, as reported to a sibling that inquires about it."""

    ABSENT = "absent"  # not run here; from now on only the agent that inquired may run it
    HELD = "held"  # run or running here
    SEEN = "seen"  # may have been run elsewhere


class UnansweredOutcome(StrEnum):
    """An outcome without an answer of the upstream."""

    UNKNOWN = "unknown"
    CONFLICT = "conflict"  # the key was used with another request


@dataclass(frozen=True, slots=True)
class KeyClaimed:
    """A request claims the right to run under its idempotency key.

    ``key`` is unique within the service (the driver prefixes the client account). ``age_s`` is 0
    for the first send, seconds since the first send for a repeat, None if the client doesn't
    send the age.
    """

    request_id: RequestId
    key: str
    fingerprint: int
    age_s: float | None
    role: ArrivalRole


@dataclass(frozen=True, slots=True)
class KeyRunEnded:
    """The run that ``RunClaim`` started has ended; a refusal proves that nothing ran."""

    key: str
    outcome: StoredAnswer | Refusal | UnansweredOutcome


@dataclass(frozen=True, slots=True)
class ClaimWithdrawn:
    """A request no longer waits for the key."""

    request_id: RequestId
    key: str


@dataclass(frozen=True, slots=True)
class AgentSetChanged:
    """The current agents of the service.

    ``agents`` are those that this agent considers alive, ``listed`` those that the platform lists,
    reachable or not: an agent behind a partition may still run requests. ``certain`` is False
    while the platform's list is older than the bound for changes (15 s). ``version`` increases;
    an event whose version isn't newer is ignored.
    """

    version: int
    agents: frozenset[AgentId]
    listed: frozenset[ProcessId]
    certain: bool = True


@dataclass(frozen=True, slots=True)
class KeyInquiry:
    """A sibling's inquiry whether this agent may have run a key."""

    inquiry: int
    key: str
    asker: AgentId


@dataclass(frozen=True, slots=True)
class KeyReply:
    """A sibling's reply to an inquiry.

    ``covered_s`` is the time in seconds for which the sibling's records are complete.
    ``agents_digest`` is the hash of the agent set in the sibling's view.
    """

    inquiry: int
    key: str
    asker: AgentId
    sibling: AgentId
    standing: KeyStatus
    covered_s: float
    agents_digest: int


@dataclass(frozen=True, slots=True)
class Tick:
    """A periodic event for timeouts and expiry; needed at least every 100 ms."""


@dataclass(frozen=True, slots=True)
class RunClaim:
    """Run the request; report its end by ``KeyRunEnded``."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class RelayClaim:
    """Forward the request to the agent that owns or holds its key."""

    request_id: RequestId
    sibling: AgentId
    role: ArrivalRole


@dataclass(frozen=True, slots=True)
class SettleClaim:
    """Answer the request without running it."""

    request_id: RequestId
    outcome: StoredAnswer | Refusal | UnansweredOutcome


@dataclass(frozen=True, slots=True)
class SendKeyInquiry:
    """Deliver ``message`` to ``sibling``."""

    sibling: AgentId
    message: KeyInquiry


@dataclass(frozen=True, slots=True)
class SendKeyReply:
    """Deliver ``message`` to ``sibling``."""

    sibling: AgentId
    message: KeyReply


KeyEvent = (
    KeyClaimed | KeyRunEnded | ClaimWithdrawn | AgentSetChanged | KeyInquiry | KeyReply | Tick
)
KeyAction = RunClaim | RelayClaim | SettleClaim | SendKeyInquiry | SendKeyReply
