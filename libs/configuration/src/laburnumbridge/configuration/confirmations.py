"""Confirmations of a value by reads of the platform."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.core import ProcessId

_MAX_READERS = 64


class Confirmations:
    """Holds the latest confirmation of one value and detects repeated ones.

    A confirmation counts once, however often peers repeat it. Its age alone doesn't identify it:
    each hop omits the time in flight, so that peers could repeat an old confirmation for ever
    without its age growing.

    ``reader`` is the process that read the platform, or None; ``confirmed_at`` is the time of the
    read in monotonic seconds, without the times in flight, or minus infinity without a read.
    """

    def __init__(self) -> None:
        self.reader: ProcessId | None = None
        self.number = 0
        self.confirmed_at = -math.inf
        self._number_by_reader: OrderedDict[ProcessId, int] = OrderedDict()

    def observe(self, reader: ProcessId, number: int, confirmed_at: float) -> bool:
        """Record a confirmation; return whether it is new and not older than the latest."""
        if number <= self._number_by_reader.get(reader, 0):
            return False
        self._number_by_reader[reader] = number
        self._number_by_reader.move_to_end(reader)
        if len(self._number_by_reader) > _MAX_READERS:
            self._number_by_reader.popitem(last=False)
        if confirmed_at < self.confirmed_at:
            return False
        self.reader = reader
        self.number = number
        self.confirmed_at = confirmed_at
        return True
