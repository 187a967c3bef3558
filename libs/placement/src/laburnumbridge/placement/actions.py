"""Actions that `Placement` returns to its driver."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.core import AgentNumber


@dataclass(frozen=True, slots=True)
class KeepHandshake:
    """Answer the handshake at this agent."""

    key: bytes


@dataclass(frozen=True, slots=True)
class ForwardHandshake:
    """Forward the packet to a sibling, marked as forwarded."""

    key: bytes
    agent_number: AgentNumber


@dataclass(frozen=True, slots=True)
class RequestReconnect:
    """Send GOAWAY on ``count`` flows; the clients close them, not this agent."""

    count: int


PlacementAction = KeepHandshake | ForwardHandshake | RequestReconnect
