"""The routing token that a connection ID carries."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from laburnumbridge.routing.errors import TokenFieldError

if TYPE_CHECKING:
    from laburnumbridge.core import AgentNumber
    from laburnumbridge.core import Incarnation
    from laburnumbridge.core import ServiceNumber

AGENT_BITS = 24
INCARNATION_BITS = 32
SERVICE_BITS = 16
NONCE_BITS = 24

_LIMITS = {
    "agent_number": AGENT_BITS,
    "incarnation": INCARNATION_BITS,
    "service_number": SERVICE_BITS,
    "nonce": NONCE_BITS,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutingToken:
    """Which agent holds a flow.

    ``incarnation`` is the start of the agent process in seconds since the epoch; ``nonce`` makes
    the connection IDs of one agent distinct.
    """

    agent_number: AgentNumber
    incarnation: Incarnation
    service_number: ServiceNumber
    nonce: int

    def __post_init__(self) -> None:
        for field, bits in _LIMITS.items():
            value = getattr(self, field)
            if not 0 <= value < 1 << bits:
                raise TokenFieldError(field=field, value=value, bits=bits)
