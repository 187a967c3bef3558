from __future__ import annotations

from laburnumbridge.flows import PacketBuffer


class TestPacketBuffer:
    def test_packets_come_back_in_order_and_once(self):
        # Guards against packets of a flow that overtake each other, and against doubles.
        early = PacketBuffer(max_wait_s=1.0, limit=4)
        for number in range(3):
            assert early.put(number, 0.1 * number)
        assert early.pop_all() == [0, 1, 2]
        assert early.pop_all() == []

    def test_only_what_has_waited_too_long_expires(self):
        # Guards against packets that are sent on after their client has given up.
        early = PacketBuffer(max_wait_s=1.0, limit=4)
        early.put("old", 0.0)
        early.put("new", 0.9)
        assert early.expire(1.5) == ["old"]
        assert early.pop_all() == ["new"]

    def test_the_newest_stay_when_there_are_too_many(self):
        # Guards against memory that grows while a process has no view.
        early = PacketBuffer(max_wait_s=1.0, limit=2)
        kept = [early.put(number, 0.0) for number in range(3)]
        assert kept == [True, True, False]
        assert early.pop_all() == [1, 2]
