"""A buffer for packets that arrive before a process can route them."""

from __future__ import annotations

from collections import deque
from typing import Generic
from typing import TypeVar

T = TypeVar("T")


class PacketBuffer(Generic[T]):
    """Buffers packets in order of arrival, for ``max_wait_s`` at most.

    A balancer that starts together with all others receives packets from the fabric before it has
    a view. A client whose packet is dropped may take up to 1.6 s to repeat it. Beyond ``limit``
    packets the oldest is dropped.
    """

    def __init__(self, *, max_wait_s: float, limit: int) -> None:
        self._max_wait_s = max_wait_s
        self._packets: deque[tuple[float, T]] = deque(maxlen=limit)

    def __len__(self) -> int:
        return len(self._packets)

    def put(self, packet: T, now: float) -> bool:
        """Add a packet; return False if the oldest one was dropped for it."""
        had_room = len(self._packets) != self._packets.maxlen
        self._packets.append((now, packet))
        return had_room

    def pop_all(self) -> list[T]:
        """Remove and return all packets."""
        packets = [packet for _, packet in self._packets]
        self._packets.clear()
        return packets

    def expire(self, now: float) -> list[T]:
        """Remove and return the packets that have waited longer than ``max_wait_s``."""
        expired = []
        while self._packets and now - self._packets[0][0] > self._max_wait_s:
            expired.append(self._packets.popleft()[1])
        return expired
