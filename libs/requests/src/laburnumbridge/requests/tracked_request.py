"""State of one request at an agent."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING

from laburnumbridge.requests.key_messages import ArrivalRole
from laburnumbridge.requests.methods import is_idempotent

if TYPE_CHECKING:
    from laburnumbridge.core import Refusal
    from laburnumbridge.requests.agent_id import AgentId
    from laburnumbridge.requests.events import RequestArrived
    from laburnumbridge.requests.events import SiblingCompleted
    from laburnumbridge.requests.events import UpstreamCompleted


class Phase(StrEnum):
    """What a request waits for."""

    KEY = "key"
    QUEUED = "queued"
    UPSTREAM = "upstream"
    SIBLING = "sibling"


@dataclass(slots=True)
class TrackedRequest:
    """One unfinished request.

    ``deadline_at`` is in monotonic seconds. ``early_end`` is a completion that arrived before the
    header section of its answer.
    """

    arrival: RequestArrived
    deadline_at: float
    phase: Phase = Phase.KEY
    tries: int = 0
    attempt: int = 0
    sibling: AgentId | None = None
    sibling_role: ArrivalRole = ArrivalRole.RETRY
    tried: set[AgentId] = field(default_factory=set)
    bytes_sent: bool = False
    may_have_run: bool = False
    answer_started: bool = False
    early_end: UpstreamCompleted | SiblingCompleted | None = None
    client_aborted: bool = False
    runs_key: bool = False
    refusal: Refusal | None = None

    @property
    def idempotent(self) -> bool:
        """True if a second run has no further effect."""
        return is_idempotent(self.arrival.method)

    @property
    def keyed(self) -> bool:
        """True if the ledger decides; a retry runs under the claim of the agent that sent it."""
        role = self.arrival.role
        return self.arrival.key is not None and not self.idempotent and role != ArrivalRole.RETRY

    @property
    def is_first_send(self) -> bool:
        """True unless an earlier send of the same key may have run."""
        return not self.keyed or self.arrival.first_attempt_age_s == 0

    def remaining_ms(self, now: float) -> int | None:
        """Return the milliseconds that are left, rounded down; None without a deadline."""
        if self.arrival.deadline_s is None:
            return None
        return max(0, int((self.deadline_at - now) * 1000))
