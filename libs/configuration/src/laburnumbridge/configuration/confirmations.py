"""Who confirmed a value with the platform, and when that was heard."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.core import ProcessId

_MAX_READERS = 64


class Confirmations:
    """Recognises new confirmations of one value.

    A confirmation counts once, however often peers repeat it. Ages alone would not do: each hop
    loses the time in flight, so that peers could keep an old confirmation young for ever.
    """

    def __init__(self) -> None:
        self.reader: ProcessId | None = None
        self.number = 0
        self.heard_at = -math.inf
        self._number_by_reader: OrderedDict[ProcessId, int] = OrderedDict()

    def observe(self, reader: ProcessId, number: int, heard_at: float) -> bool:
        """Note a confirmation; return whether it is new."""
        if number <= self._number_by_reader.get(reader, 0):
            return False
        self._number_by_reader[reader] = number
        self._number_by_reader.move_to_end(reader)
        if len(self._number_by_reader) > _MAX_READERS:
            self._number_by_reader.popitem(last=False)
        if heard_at < self.heard_at:
            return False
        self.reader = reader
        self.number = number
        self.heard_at = heard_at
        return True
