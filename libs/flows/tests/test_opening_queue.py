from __future__ import annotations

import pytest

from laburnumbridge.flows import FlowKey
from laburnumbridge.flows import OpeningQueue


def key(number: int) -> FlowKey:
    return FlowKey(number.to_bytes(12, "big"))


@pytest.fixture
def queue() -> OpeningQueue[str]:
    return OpeningQueue(max_wait_s=1.2, limit=3)


class TestOrder:
    def test_the_newest_is_returned_first(self, queue):
        # Guards against a backlog that delays every later request.
        for number in range(3):
            queue.put(key(number), str(number), float(number) / 10)
        order = [queue.pop_newest().item for _ in range(3)]
        assert order == ["2", "1", "0"]
        assert queue.pop_newest() is None

    def test_a_full_queue_drops_the_oldest(self, queue):
        # Guards against memory that grows with a flood of openings.
        for number in range(3):
            assert queue.put(key(number), str(number), 0.0) is None
        displaced = queue.put(key(3), "3", 0.0)
        assert displaced is not None
        assert displaced.item == "0"
        assert len(queue) == 3


class TestExpiry:
    def test_a_packet_expires_by_the_time_its_client_has_waited(self, queue):
        # Guards against requests for clients that have abandoned them.
        queue.put(key(0), "first", 0.0)
        queue.put(key(1), "second copy", 0.0, waited_s=0.6)
        assert [waiting.item for waiting in queue.expire(0.7)] == ["second copy"]
        assert key(0) in queue
        assert [waiting.item for waiting in queue.expire(1.3)] == ["first"]
        assert len(queue) == 0
