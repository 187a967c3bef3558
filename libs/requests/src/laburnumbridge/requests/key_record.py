"""An agent's record of one idempotency key."""

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
    PROVING = "proving"  # inquiries to the siblings are pending
    UNPROVEN = "unproven"  # the replies of the siblings did not prove that it was not run
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"  # it ran, or may have; there is no answer to replay
    UNRUN = "unrun"  # proved not run, and reported to the client as such


@dataclass(slots=True)
class KeyRecord:
    """The state of one key.

    ``touched_at`` is the time of the last change in monotonic seconds. ``age_s`` is the age of the
    claim in seconds, as in ``KeyClaimed``. ``waiters`` are requests that get the outcome of the
    run or the inquiry. ``inquiry``, ``queried`` and ``replies`` belong to the latest inquiry.
    """

    state: KeyState
    touched_at: float
    fingerprint: int | None = None
    targets: set[AgentId] = field(default_factory=set)
    waiters: list[RequestId] = field(default_factory=list)
    answer: StoredAnswer | None = None
    age_s: float | None = None
    inquiry: int = 0
    queried: frozenset[AgentId] = frozenset()
    replies: dict[AgentId, KeyReply] = field(default_factory=dict)
