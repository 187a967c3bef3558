"""The bytes of one direction of a flow that have been received."""

from __future__ import annotations

from laburnumbridge.flows.flow_packet import SEQUENCE_MODULUS
from laburnumbridge.flows.flow_packet import sequence_distance

UNORDERED_LIMIT = 64
"""Packets kept out of order. An end has 16 in flight; this allows for repeated ones of other sizes,
and bounds the memory that a broken sender can cause."""


class ReceiveWindow:
    """Puts the data packets of one direction in order, whatever order and number they arrive in.

    ``end`` is the sequence number up to which everything has arrived, or None before the first
    packet. The receiver's acknowledgements are authoritative: they move ``end`` past packets that
    this process has not seen.
    """

    __slots__ = ("_last_length", "_length_by_sequence", "end")

    def __init__(self) -> None:
        self.end: int | None = None
        self._length_by_sequence: dict[int, int] = {}
        self._last_length = 0

    @property
    def has_gap(self) -> bool:
        """True while a packet has arrived and one before it has not."""
        return bool(self._length_by_sequence)

    def ends_below(self, full_length: int) -> bool:
        """Return whether all data has arrived and the last packet is shorter than ``full_length``.

        A sender fills its packets while it has more data, so a shorter one ends a message.
        """
        return not self.has_gap and 0 < self._last_length < full_length

    def acknowledge(self, sequence: int) -> None:
        """Note that the receiver has everything before ``sequence``."""
        if self.end is not None and not _is_ahead(self.end, sequence):
            return
        self.end = sequence
        for start, length in list(self._length_by_sequence.items()):
            if not _is_ahead(sequence, start + length):
                del self._length_by_sequence[start]
                if (start + length) % SEQUENCE_MODULUS == sequence:
                    self._last_length = length
        self._advance()

    def add(self, sequence: int, length: int) -> bool:
        """Add a packet with ``length`` bytes at ``sequence``; return False for a repeated one."""
        if self.end is None:
            self.end = sequence
        if not _is_ahead(self.end, sequence + length) or sequence in self._length_by_sequence:
            return False
        if len(self._length_by_sequence) < UNORDERED_LIMIT:
            self._length_by_sequence[sequence] = length
        self._advance()
        return True

    def _advance(self) -> None:
        while self.end is not None and self.end in self._length_by_sequence:
            self._last_length = self._length_by_sequence.pop(self.end)
            self.end = (self.end + self._last_length) % SEQUENCE_MODULUS


def _is_ahead(start: int, end: int) -> bool:
    return 0 < sequence_distance(start, end) <= SEQUENCE_MODULUS // 2
