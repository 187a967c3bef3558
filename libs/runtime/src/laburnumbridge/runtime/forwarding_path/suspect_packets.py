"""The latest packets of flows whose agents are under suspicion."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.runtime.forwarding_path.stateless_reset import MAX_RESET_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterable

    from laburnumbridge.core import AgentNumber

# The flows of five agents with 2,000 flows each, about 3 MB. A flow beyond this limit is reset when
# its client sends the next packet.
MAX_PACKETS = 10_000
# A reset is shorter than the packet that triggers it, so one byte more than the longest reset is
# enough.
_KEPT_BYTES = MAX_RESET_BYTES + 1

ClientAddress = tuple[str, int]


class SuspectPackets:
    """Keeps the start of each client's latest packet to a suspected agent.

    A client that receives nothing backs off exponentially and may not send for seconds after the
    failure of its agent is confirmed. Its kept packet lets the balancer reset the flow at once.
    """

    def __init__(self) -> None:
        self.suspects: frozenset[AgentNumber] = frozenset()
        self._packet_by_client: dict[AgentNumber, dict[ClientAddress, bytes]] = {}
        self._kept = 0

    def set_suspects(self, suspects: Iterable[AgentNumber]) -> list[tuple[ClientAddress, bytes]]:
        """Replace the suspected agents; return and forget the packets for those cleared."""
        self.suspects = frozenset(suspects)
        ended = [number for number in self._packet_by_client if number not in self.suspects]
        packets: list[tuple[ClientAddress, bytes]] = []
        for number in ended:
            packets += self._packet_by_client.pop(number).items()
        self._kept -= len(packets)
        return packets

    def keep(self, agent_number: AgentNumber, client: ClientAddress, datagram: bytes) -> None:
        """Keep the latest packet of a client to a suspected agent; ignored over MAX_PACKETS."""
        packets = self._packet_by_client.setdefault(agent_number, {})
        if client not in packets:
            if self._kept >= MAX_PACKETS:
                return
            self._kept += 1
        packets[client] = datagram[:_KEPT_BYTES]
