"""The latest packets of flows whose agents are under suspicion."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.runtime.forwarding_path.stateless_reset import MAX_RESET_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterable

    from laburnumbridge.core import AgentNumber

# Five agents with 2,000 flows each, about 3 MB. Flows beyond it get their reset with the next
# packet that they send.
MAX_PACKETS = 10_000
# A reset is shorter than the packet that it answers, so no more is needed to answer later.
_KEPT_BYTES = MAX_RESET_BYTES + 1

ClientAddress = tuple[str, int]


class SuspectPackets:
    """Keeps the start of each client's latest packet to a suspected agent.

    A client's retransmissions double their distance, so one that hears nothing may be silent for
    seconds after the agent's death is confirmed. Its kept packet is answered at that moment.
    """

    def __init__(self) -> None:
        self.suspects: frozenset[AgentNumber] = frozenset()
        self._packet_by_client: dict[AgentNumber, dict[ClientAddress, bytes]] = {}
        self._kept = 0

    def set_suspects(self, suspects: Iterable[AgentNumber]) -> list[tuple[ClientAddress, bytes]]:
        """Replace the suspected agents; return the packets kept for those no longer suspected."""
        self.suspects = frozenset(suspects)
        ended = [number for number in self._packet_by_client if number not in self.suspects]
        packets: list[tuple[ClientAddress, bytes]] = []
        for number in ended:
            packets += self._packet_by_client.pop(number).items()
        self._kept -= len(packets)
        return packets

    def keep(self, agent_number: AgentNumber, client: ClientAddress, datagram: bytes) -> None:
        """Note a packet to a suspected agent."""
        packets = self._packet_by_client.setdefault(agent_number, {})
        if client not in packets:
            if self._kept >= MAX_PACKETS:
                return
            self._kept += 1
        packets[client] = datagram[:_KEPT_BYTES]
