"""A buffer for packets that arrive before a process can route them."""

from __future__ import annotations

from collections import deque
from typing import Generic
from typing import TypeVar

T = TypeVar("T")


class PacketBuffer(Generic[T]):
    """Holds packets in the order of their arrival, for ``max_wait_s`` at most.

    Answers the load on a balancer that has just started while all others are starting too: the
    fabric sends it packets at once, and a client whose packet is dropped repeats it only after up
    to 1.6 s. The oldest goes when more than ``limit`` wait.
    """

    def __init__(self, *, max_wait_s: float, limit: int) -> None:
        self._max_wait_s = max_wait_s
        self._packets: deque[tuple[float, T]] = deque(maxlen=limit)

    def __len__(self) -> int:
        return len(self._packets)

    def put(self, packet: T, now: float) -> bool:
        """Hold a packet; False if an older one had to go for it."""
        had_room = len(self._packets) != self._packets.maxlen
        self._packets.append((now, packet))
        return had_room

    def pop_all(self) -> list[T]:
        """Return the packets that wait and hold none of them any longer."""
        packets = [packet for _, packet in self._packets]
        self._packets.clear()
        return packets

    def expire(self, now: float) -> list[T]:
        """Return the packets that have waited too long and hold them no longer."""
        expired = []
        while self._packets and now - self._packets[0][0] > self._max_wait_s:
            expired.append(self._packets.popleft()[1])
        return expired
