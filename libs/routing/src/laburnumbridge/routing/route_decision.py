"""What the router decides for one datagram."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.core import AgentNumber


class DropReason(StrEnum):
    """Why a datagram is dropped; each reason has its counter."""

    MALFORMED = "malformed"
    UNKNOWN_SERVICE = "unknown_service"
    SHORT_INITIAL = "short_initial"
    UNKNOWN_TOKEN = "unknown_token"
    WRONG_SERVICE = "wrong_service"
    NO_AGENT = "no_agent"
    AGENT_GONE = "agent_gone"


@dataclass(frozen=True, slots=True)
class RouteToAgent:
    """Forward the datagram to this agent."""

    agent_number: AgentNumber


@dataclass(frozen=True, slots=True)
class Drop:
    """Discard the datagram and count the reason."""

    reason: DropReason


@dataclass(frozen=True, slots=True)
class SendStatelessReset:
    """Reset a flow at the client; ``token`` is its stateless reset token (16 bytes)."""

    token: bytes


RouteDecision = RouteToAgent | Drop | SendStatelessReset
