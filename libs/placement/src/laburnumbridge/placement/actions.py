"""What `Placement` asks of its driver."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.core import AgentNumber


@dataclass(frozen=True, slots=True)
class KeepHandshake:
    """Answer the handshake here."""

    key: bytes


@dataclass(frozen=True, slots=True)
class ForwardHandshake:
    """Hand the packet to a sibling, marked as forwarded."""

    key: bytes
    agent_number: AgentNumber


@dataclass(frozen=True, slots=True)
class RequestReconnect:
    """Send GOAWAY on this many flows; none of them is closed by this side."""

    count: int


PlacementAction = KeepHandshake | ForwardHandshake | RequestReconnect
