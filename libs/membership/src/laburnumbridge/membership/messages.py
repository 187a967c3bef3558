"""Messages between detectors; the wire library encodes and authenticates them."""

from __future__ import annotations

from dataclasses import dataclass

from laburnumbridge.core import ProcessId
from laburnumbridge.membership.liveness_record import LivenessRecord
from laburnumbridge.membership.liveness_version import LivenessVersion

# UDP/IP header, sender, counter and authentication tag of a datagram.
DATAGRAM_OVERHEAD_BYTES = 60
# msgpack: type, array headers, a 32-bit sequence number.
_HEADER_BYTES = 8
_LIFE_BYTES = 7
_DIGEST_BYTES = 9
# Sorts before every subject.
NO_SUBJECT = ProcessId("")


def records_size_bytes(records: tuple[LivenessRecord, ...]) -> int:
    """Return the estimated encoded size of records in bytes."""
    return sum(record.size_bytes() for record in records)


@dataclass(frozen=True, slots=True)
class Ping:
    """Requests an `Ack` with the same sequence number.

    ``records`` claim that the receiver is suspect or dead, so that it can refute them.
    """

    sequence: int
    life: LivenessVersion
    records: tuple[LivenessRecord, ...] = ()

    def size_bytes(self) -> int:
        """Return the estimated encoded size in bytes, without the datagram overhead."""
        return _HEADER_BYTES + _LIFE_BYTES + records_size_bytes(self.records)


@dataclass(frozen=True, slots=True)
class Ack:
    """Answers a `Ping`."""

    sequence: int
    life: LivenessVersion

    def size_bytes(self) -> int:
        """Return the estimated encoded size in bytes, without the datagram overhead."""
        return _HEADER_BYTES + _LIFE_BYTES


@dataclass(frozen=True, slots=True)
class IndirectPing:
    """Requests a probe of ``target`` by the receiver."""

    sequence: int
    target: ProcessId

    def size_bytes(self) -> int:
        """Return the estimated encoded size in bytes, without the datagram overhead."""
        return _HEADER_BYTES + len(self.target)


@dataclass(frozen=True, slots=True)
class IndirectAck:
    """Answers an `IndirectPing`: ``target`` answered with the liveness version ``life``."""

    sequence: int
    target: ProcessId
    life: LivenessVersion

    def size_bytes(self) -> int:
        """Return the estimated encoded size in bytes, without the datagram overhead."""
        return _HEADER_BYTES + _LIFE_BYTES + len(self.target)


@dataclass(frozen=True, slots=True)
class Unreachable:
    """Answers an `IndirectPing`: ``target`` didn't answer the sender either."""

    sequence: int
    target: ProcessId

    def size_bytes(self) -> int:
        """Return the estimated encoded size in bytes, without the datagram overhead."""
        return _HEADER_BYTES + len(self.target)


@dataclass(frozen=True, slots=True)
class Gossip:
    """Spreads liveness records."""

    records: tuple[LivenessRecord, ...]

    def size_bytes(self) -> int:
        """Return the estimated encoded size in bytes, without the datagram overhead."""
        return _HEADER_BYTES + records_size_bytes(self.records)


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Requests records about ``subjects`` if their digest differs; no subjects means all processes.

    In the second case the answer starts with records of deaths and continues with the records of
    the subjects after ``after``, in their order.
    """

    digest: int
    subjects: tuple[ProcessId, ...] = ()
    after: ProcessId = NO_SUBJECT

    def size_bytes(self) -> int:
        """Return the estimated encoded size in bytes, without the datagram overhead."""
        names = sum(len(name) + 1 for name in self.subjects)
        return _HEADER_BYTES + _DIGEST_BYTES + len(self.after) + names


@dataclass(frozen=True, slots=True)
class SyncReply:
    """Some of the records that may differ; none if the digests are equal.

    ``last`` is the position from which the next request continues, empty at the end.
    """

    records: tuple[LivenessRecord, ...]
    last: ProcessId = NO_SUBJECT

    def size_bytes(self) -> int:
        """Return the estimated encoded size in bytes, without the datagram overhead."""
        return _HEADER_BYTES + len(self.last) + records_size_bytes(self.records)


Message = Ping | Ack | IndirectPing | IndirectAck | Unreachable | Gossip | SyncRequest | SyncReply
