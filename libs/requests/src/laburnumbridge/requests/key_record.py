"""What an agent remembers about one idempotency key."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.core import RequestId
    from laburnumbridge.requests.agent_id import AgentId
    from laburnumbridge.requests.key_messages import KeyReply
    from laburnumbridge.requests.stored_answer import StoredAnswer


class KeyState(StrEnum):
    """The states of a key at one agent."""

    RELAYED = "relayed"  # forwarded to the agents in ``targets``
    FENCED = "fenced"  # only ``targets`` may run it
    PROVING = "proving"  # siblings are being asked
    UNPROVEN = "unproven"  # the siblings could not prove that it was not run
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"  # it ran, or may have; there is no answer to replay
    UNRUN = "unrun"  # proved not run, and known to the client as such


@dataclass(slots=True)
class KeyRecord:
    """One key; ``touched_at`` is in monotonic seconds."""

    state: KeyState
    touched_at: float
    fingerprint: int | None = None
    targets: set[AgentId] = field(default_factory=set)
    waiters: list[RequestId] = field(default_factory=list)
    answer: StoredAnswer | None = None
    age_s: float | None = None
    inquiry: int = 0
    asked: frozenset[AgentId] = frozenset()
    replies: dict[AgentId, KeyReply] = field(default_factory=dict)
