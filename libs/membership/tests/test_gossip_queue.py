from __future__ import annotations

from laburnumbridge.core import Incarnation
from laburnumbridge.core import ProcessId
from laburnumbridge.membership import DATAGRAM_OVERHEAD_BYTES
from laburnumbridge.membership import Claim
from laburnumbridge.membership import LivenessRecord
from laburnumbridge.membership import LivenessVersion
from laburnumbridge.membership.gossip_queue import GOSSIP_ROUNDS
from laburnumbridge.membership.gossip_queue import MAX_PAYLOAD_BYTES
from laburnumbridge.membership.gossip_queue import MIN_BURST_BYTES
from laburnumbridge.membership.gossip_queue import GossipQueue

PEERS = [ProcessId(f"peer-{n}") for n in range(4)]


def record(number: int, claim: Claim = Claim.ALIVE) -> LivenessRecord:
    return LivenessRecord(
        ProcessId(f"p-{number:04d}"), claim, LivenessVersion(Incarnation(1)), PEERS[0]
    )


class TestGossipQueue:
    def test_each_record_is_sent_in_a_fixed_number_of_rounds(self) -> None:
        queue = GossipQueue()
        queue.add(record(1))
        rounds = [queue.next_round(PEERS, float(second)) for second in range(GOSSIP_ROUNDS + 1)]
        assert [len(sent) for sent in rounds] == [4] * GOSSIP_ROUNDS + [0]

    def test_a_backlog_is_sent_within_the_byte_rate(self) -> None:
        # Guards against traffic above the byte rate after a partition heals, and against records
        # that are sent for ever because their rounds are not counted.
        queue = GossipQueue(bytes_per_s=12_000)
        for number in range(500):
            queue.add(record(number))
        total = 0
        for tick in range(20 * 20):
            for _, message in queue.next_round(PEERS, tick * 0.05):
                assert message.size_bytes() <= MAX_PAYLOAD_BYTES + 10
                total += message.size_bytes() + DATAGRAM_OVERHEAD_BYTES
            assert total <= MIN_BURST_BYTES + 12_000 * tick * 0.05
        assert len(queue) == 0

    def test_a_death_is_sent_before_queued_ordinary_records(self) -> None:
        # Guards against a backlog that delays the record of a death beyond 3 s.
        queue = GossipQueue()
        for number in range(500):
            queue.add(record(number))
        while queue.next_round(PEERS, 0.0):
            pass
        dead = record(9_999, Claim.DEAD)
        queue.add(dead)
        assert queue.next_round(PEERS, 0.4)[0][1].records[0] == dead

    def test_a_newer_record_replaces_the_older_one(self) -> None:
        queue = GossipQueue()
        queue.add(record(1, Claim.SUSPECT))
        queue.add(record(1, Claim.DEAD))
        assert [r.claim for r in queue.next_round(PEERS, 0.0)[0][1].records] == [Claim.DEAD]
