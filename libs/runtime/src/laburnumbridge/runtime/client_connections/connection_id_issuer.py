"""Issues the connection IDs of an agent."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from laburnumbridge.routing import RoutingToken

if TYPE_CHECKING:
    from laburnumbridge.core import AgentNumber
    from laburnumbridge.core import Incarnation
    from laburnumbridge.core import ServiceNumber
    from laburnumbridge.routing import TokenCodec

_NONCE_LIMIT = 1 << 24


@dataclass(frozen=True, slots=True)
class IssuedId:
    """A connection ID and its stateless reset token."""

    connection_id: bytes
    reset_token: bytes


class ConnectionIdIssuer:
    """Encodes the agent's identity into every connection ID that it issues."""

    def __init__(
        self,
        *,
        codec: TokenCodec,
        agent_number: AgentNumber,
        incarnation: Incarnation,
        service_number: ServiceNumber,
    ) -> None:
        self.codec = codec
        self.agent_number = agent_number
        self.incarnation = incarnation
        self.service_number = service_number
        self._nonce = 0

    def issue(self) -> IssuedId:
        """Return a new ID, encrypted with the current routing key."""
        self._nonce = (self._nonce + 1) % _NONCE_LIMIT
        token = RoutingToken(
            agent_number=self.agent_number,
            incarnation=self.incarnation,
            service_number=self.service_number,
            nonce=self._nonce,
        )
        connection_id = self.codec.encode(token)
        return IssuedId(connection_id, self.codec.reset_token(connection_id))
