from __future__ import annotations

from laburnumbridge.core import AgentNumber
from laburnumbridge.runtime.forwarding_path.suspect_packets import MAX_PACKETS
from laburnumbridge.runtime.forwarding_path.suspect_packets import SuspectPackets

AGENT = AgentNumber(4)
OTHER = AgentNumber(5)
CLIENT = ("192.0.2.1", 50_000)


class TestSuspectPackets:
    def test_latest_packet_is_returned_when_the_suspicion_ends(self) -> None:
        # Guards against a reset for an outdated connection ID, and against a second reset.
        packets = SuspectPackets()
        packets.set_suspects([AGENT, OTHER])
        packets.keep(AGENT, CLIENT, b"first")
        packets.keep(AGENT, CLIENT, b"latest")
        assert packets.set_suspects([OTHER]) == [(CLIENT, b"latest")]
        assert packets.set_suspects([]) == []

    def test_memory_is_bounded_and_freed(self) -> None:
        # Guards against unbounded memory while clients send to a suspected agent, and against a
        # count that isn't reduced when packets are removed.
        packets = SuspectPackets()
        for _ in range(2):
            packets.set_suspects([AGENT])
            for port in range(MAX_PACKETS + 1):
                packets.keep(AGENT, ("192.0.2.1", port), b"x" * 1_200)
            kept = packets.set_suspects([])
            assert len(kept) == MAX_PACKETS
            assert max(len(packet) for _, packet in kept) < 50
