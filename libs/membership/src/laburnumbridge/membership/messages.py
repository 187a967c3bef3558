"""Messages between detectors; the wire library encodes and seals them."""

from __future__ import annotations

from dataclasses import dataclass

from laburnumbridge.core import ProcessId
from laburnumbridge.membership.liveness_record import LivenessRecord
from laburnumbridge.membership.liveness_version import LivenessVersion

# UDP/IP header, sender, counter and authentication tag of a sealed datagram.
DATAGRAM_OVERHEAD_BYTES = 60
# msgpack: type, array headers, a 32-bit sequence number.
_HEADER_BYTES = 8
_LIFE_BYTES = 7
_DIGEST_BYTES = 9
# Sorts before every subject.
NO_SUBJECT = ProcessId("")


def records_size_bytes(records: tuple[LivenessRecord, ...]) -> int:
    """Estimate the encoded size of records."""
    return sum(record.size_bytes() for record in records)


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks for an `Ack` with the same sequence; ``records`` hold accusations of the receiver."""

    sequence: int
    life: LivenessVersion
    records: tuple[LivenessRecord, ...] = ()

    def size_bytes(self) -> int:
        """Estimate the encoded size without the datagram overhead."""
        return _HEADER_BYTES + _LIFE_BYTES + records_size_bytes(self.records)


@dataclass(frozen=True, slots=True)
class Ack:
    """Answers a `Ping`."""

    sequence: int
    life: LivenessVersion

    def size_bytes(self) -> int:
        """Estimate the encoded size without the datagram overhead."""
        return _HEADER_BYTES + _LIFE_BYTES


@dataclass(frozen=True, slots=True)
class IndirectPing:
    """Asks the receiver to probe ``target``."""

    sequence: int
    target: ProcessId

    def size_bytes(self) -> int:
        """Estimate the encoded size without the datagram overhead."""
        return _HEADER_BYTES + len(self.target)


@dataclass(frozen=True, slots=True)
class IndirectAck:
    """Answers an `IndirectPing`: ``target`` has answered with ``life``."""

    sequence: int
    target: ProcessId
    life: LivenessVersion

    def size_bytes(self) -> int:
        """Estimate the encoded size without the datagram overhead."""
        return _HEADER_BYTES + _LIFE_BYTES + len(self.target)


@dataclass(frozen=True, slots=True)
class Unreachable:
    """Answers an `IndirectPing`: ``target`` has not answered the sender either."""

    sequence: int
    target: ProcessId

    def size_bytes(self) -> int:
        """Estimate the encoded size without the datagram overhead."""
        return _HEADER_BYTES + len(self.target)


@dataclass(frozen=True, slots=True)
class Gossip:
    """Spreads exceptions."""

    records: tuple[LivenessRecord, ...]

    def size_bytes(self) -> int:
        """Estimate the encoded size without the datagram overhead."""
        return _HEADER_BYTES + records_size_bytes(self.records)


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Compares exceptions about ``subjects``, or about all processes if there are none.

    The answer starts with the records of deaths and goes on in the order of the subjects from
    ``after``.
    """

    digest: int
    subjects: tuple[ProcessId, ...] = ()
    after: ProcessId = NO_SUBJECT

    def size_bytes(self) -> int:
        """Estimate the encoded size without the datagram overhead."""
        names = sum(len(name) + 1 for name in self.subjects)
        return _HEADER_BYTES + _DIGEST_BYTES + len(self.after) + names


@dataclass(frozen=True, slots=True)
class SyncReply:
    """Some of the exceptions that may differ; none where the digests are equal.

    ``last`` is where the next request goes on, empty at the end.
    """

    records: tuple[LivenessRecord, ...]
    last: ProcessId = NO_SUBJECT

    def size_bytes(self) -> int:
        """Estimate the encoded size without the datagram overhead."""
        return _HEADER_BYTES + len(self.last) + records_size_bytes(self.records)


Message = Ping | Ack | IndirectPing | IndirectAck | Unreachable | Gossip | SyncRequest | SyncReply
