"""Queue of liveness records to gossip within a byte budget."""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING

from laburnumbridge.membership.claim import Claim
from laburnumbridge.membership.messages import DATAGRAM_OVERHEAD_BYTES
from laburnumbridge.membership.messages import Gossip

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from laburnumbridge.core import ProcessId
    from laburnumbridge.membership.liveness_record import LivenessRecord

# Probes and load reports share the 27 KB/s budget for all control traffic of a node.
GOSSIP_BYTES_PER_S = 12_000.0
# Fits the smallest common MTU after encapsulation.
MAX_PAYLOAD_BYTES = 1_100
# Each record is sent to `GOSSIP_FANOUT` peers in each of `GOSSIP_ROUNDS` rounds. A share of e^-8
# of the peers doesn't receive it this way; these receive it by synchronisation.
GOSSIP_FANOUT = 4
GOSSIP_ROUNDS = 2
# The burst adds to the rate in the first second after a partition heals. Whatever the rate, it must
# hold a full round in addition to the reserve for urgent records.
BURST_S = 0.5
MIN_BURST_BYTES = 6_000.0
# Shares of the burst that a datagram of each urgency must leave unspent. Without them,
# synchronisation after a mass restart delayed a confirmed death by half a second.
URGENT_RESERVE = 0.0
ORDINARY_RESERVE = 0.1
SYNC_RESERVE = 0.5
# More than one record for each process of a full fleet; beyond it the oldest record is dropped and
# reaches the peers by synchronisation only.
MAX_QUEUED = 10_000

_URGENCY = {Claim.DEAD: 0, Claim.ALIVE: 1, Claim.LEAVING: 1, Claim.SUSPECT: 2}


def reserve_for(records: Iterable[LivenessRecord]) -> float:
    """Return the share of the burst that a datagram with ``records`` must leave unspent."""
    urgent = any(record.claim is Claim.DEAD for record in records)
    return URGENT_RESERVE if urgent else ORDINARY_RESERVE


class GossipQueue:
    """Holds at most one record for each subject and returns datagrams within a byte rate."""

    def __init__(self, *, bytes_per_s: float = GOSSIP_BYTES_PER_S) -> None:
        self._bytes_per_s = bytes_per_s
        self._burst_bytes = max(bytes_per_s * BURST_S, MIN_BURST_BYTES)
        self._credit = self._burst_bytes
        self._refilled_at: float | None = None
        self._rounds_by_subject: dict[ProcessId, int] = {}
        # One dictionary for each urgency, because sorting a long queue 20 times a second would
        # exceed the processor budget of a node.
        self._records_by_urgency: tuple[dict[ProcessId, LivenessRecord], ...] = ({}, {}, {})

    def __len__(self) -> int:
        return len(self._rounds_by_subject)

    def add(self, record: LivenessRecord) -> None:
        """Queue a record; it replaces an older one about the same subject."""
        self._drop(record.subject)
        if len(self) >= MAX_QUEUED:
            self._drop(next(iter(self._rounds_by_subject)))
        self._records_by_urgency[_URGENCY[record.claim]][record.subject] = record
        self._rounds_by_subject[record.subject] = GOSSIP_ROUNDS

    def spend(self, payload_bytes: int, now: float, *, reserve: float, datagrams: int = 1) -> bool:
        """Charge datagrams to the budget; return False, without a charge, if it doesn't suffice.

        ``payload_bytes`` is the size of each datagram without its overhead; ``reserve`` is the
        share of the burst that must remain unspent.
        """
        if self._refilled_at is not None:
            self._credit += (now - self._refilled_at) * self._bytes_per_s
            self._credit = min(self._credit, self._burst_bytes)
        self._refilled_at = now
        cost = datagrams * (payload_bytes + DATAGRAM_OVERHEAD_BYTES)
        if cost > self._credit - reserve * self._burst_bytes:
            return False
        self._credit -= cost
        return True

    def next_round(self, peers: Sequence[ProcessId], now: float) -> list[tuple[ProcessId, Gossip]]:
        """Return a datagram for each peer, urgent records first.

        The list is empty if there is nothing to send or the budget doesn't suffice for all peers.
        """
        if not self._rounds_by_subject or not peers:
            return []
        message = Gossip(self._select())
        reserve = reserve_for(message.records)
        # All peers or none: a partial round would have to be repeated in full.
        if not self.spend(message.size_bytes(), now, reserve=reserve, datagrams=len(peers)):
            return []
        self._record_round(message.records)
        return [(peer, message) for peer in peers]

    def _select(self) -> tuple[LivenessRecord, ...]:
        ordered = chain.from_iterable(queue.values() for queue in self._records_by_urgency)
        chosen = []
        remaining_bytes = MAX_PAYLOAD_BYTES
        for record in ordered:
            remaining_bytes -= record.size_bytes()
            if remaining_bytes < 0:
                break
            chosen.append(record)
        return tuple(chosen)

    def _record_round(self, records: tuple[LivenessRecord, ...]) -> None:
        for record in records:
            self._rounds_by_subject[record.subject] -= 1
            if self._rounds_by_subject[record.subject] == 0:
                self._drop(record.subject)

    def _drop(self, subject: ProcessId) -> None:
        for queue in self._records_by_urgency:
            queue.pop(subject, None)
        self._rounds_by_subject.pop(subject, None)
