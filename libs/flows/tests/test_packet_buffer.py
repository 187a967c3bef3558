from __future__ import annotations

from laburnumbridge.flows import PacketBuffer


class TestPacketBuffer:
    def test_packets_are_returned_once_and_in_order(self):
        # Guards against packets of a flow that are reordered or duplicated.
        buffer = PacketBuffer(max_wait_s=1.0, limit=4)
        for number in range(3):
            assert buffer.put(number, 0.1 * number)
        assert buffer.pop_all() == [0, 1, 2]
        assert buffer.pop_all() == []

    def test_only_packets_past_the_longest_wait_expire(self):
        # Guards against packets that are forwarded after their client has abandoned the flow.
        buffer = PacketBuffer(max_wait_s=1.0, limit=4)
        buffer.put("old", 0.0)
        buffer.put("new", 0.9)
        assert buffer.expire(1.5) == ["old"]
        assert buffer.pop_all() == ["new"]

    def test_a_full_buffer_drops_the_oldest(self):
        # Guards against memory that grows while a process has no view.
        buffer = PacketBuffer(max_wait_s=1.0, limit=2)
        had_room = [buffer.put(number, 0.0) for number in range(3)]
        assert had_room == [True, True, False]
        assert buffer.pop_all() == [1, 2]
