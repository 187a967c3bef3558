"""Records that wait to be spread, on a byte budget."""

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

# 27 KB/s is the budget for all control traffic of a node; probes and load reports share it.
GOSSIP_BYTES_PER_S = 12_000.0
# Fits the smallest usual MTU after encapsulation.
MAX_PAYLOAD_BYTES = 1_100
# Each record goes to `GOSSIP_FANOUT` peers in each of `GOSSIP_ROUNDS` rounds: a share of e^-8
# of the peers misses it, and synchronisation reaches those.
GOSSIP_FANOUT = 4
GOSSIP_ROUNDS = 2
# The burst adds to the rate in the first second after a heal. It must hold a full round, above
# the reserve for urgent records, whatever the rate.
BURST_S = 0.5
MIN_BURST_BYTES = 6_000.0
# Shares of the burst that less urgent datagrams leave untouched. Without them synchronisation
# after a mass restart delayed a confirmed death by half a second.
URGENT_RESERVE = 0.0
ORDINARY_RESERVE = 0.1
SYNC_RESERVE = 0.5
# Above a whole fleet of records the oldest are left to synchronisation.
MAX_QUEUED = 10_000

_URGENCY = {Claim.DEAD: 0, Claim.ALIVE: 1, Claim.LEAVING: 1, Claim.SUSPECT: 2}


def reserve_for(records: Iterable[LivenessRecord]) -> float:
    """Return the reserve that a datagram with ``records`` leaves untouched."""
    urgent = any(record.claim is Claim.DEAD for record in records)
    return URGENT_RESERVE if urgent else ORDINARY_RESERVE


class GossipQueue:
    """Holds at most one record a subject and hands out datagrams within a byte rate."""

    def __init__(self, *, bytes_per_s: float = GOSSIP_BYTES_PER_S) -> None:
        self._bytes_per_s = bytes_per_s
        self._burst_bytes = max(bytes_per_s * BURST_S, MIN_BURST_BYTES)
        self._credit = self._burst_bytes
        self._refilled_at: float | None = None
        self._rounds_by_subject: dict[ProcessId, int] = {}
        # One dictionary for each degree of urgency: sorting a long queue 20 times a second would
        # take more than the processor budget of a node.
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
        """Take datagrams out of the budget; False where they would touch the ``reserve``."""
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
        """Return a datagram for each peer, urgent records first, if the budget allows it."""
        if not self._rounds_by_subject or not peers:
            return []
        message = Gossip(self._select())
        reserve = reserve_for(message.records)
        # All peers or none: a round that reached some would have to be repeated in full.
        if not self.spend(message.size_bytes(), now, reserve=reserve, datagrams=len(peers)):
            return []
        self._count_round(message.records)
        return [(peer, message) for peer in peers]

    def _select(self) -> tuple[LivenessRecord, ...]:
        ordered = chain.from_iterable(held.values() for held in self._records_by_urgency)
        chosen = []
        room = MAX_PAYLOAD_BYTES
        for record in ordered:
            room -= record.size_bytes()
            if room < 0:
                break
            chosen.append(record)
        return tuple(chosen)

    def _count_round(self, records: tuple[LivenessRecord, ...]) -> None:
        for record in records:
            self._rounds_by_subject[record.subject] -= 1
            if self._rounds_by_subject[record.subject] == 0:
                self._drop(record.subject)

    def _drop(self, subject: ProcessId) -> None:
        for held in self._records_by_urgency:
            held.pop(subject, None)
        self._rounds_by_subject.pop(subject, None)
