"""An agent in the routing table."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.core import AgentNumber
    from laburnumbridge.core import Incarnation
    from laburnumbridge.core import ServiceNumber


class AgentState(Enum):
    """Liveness of an agent as far as routing is concerned."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, kw_only=True, slots=True)
class AgentRoute:
    """One agent that a router may choose.

    ``incarnation`` is None until it is received; the platform's list doesn't contain it.
    """

    agent_number: AgentNumber
    service_number: ServiceNumber
    state: AgentState
    incarnation: Incarnation | None = None
