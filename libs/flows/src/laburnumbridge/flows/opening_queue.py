"""Opening packets that wait for a free slot."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

    from laburnumbridge.flows.flow_packet import FlowKey
    from laburnumbridge.flows.opening_deadline import OpeningDeadline

T = TypeVar("T")


class WaitingOpening(msgspec.Struct, Generic[T], frozen=True, kw_only=True):
    """An opening packet in the queue; ``item`` is what the caller needs to forward it.

    ``priority`` is that of its route, 0 the highest.
    """

    flow: FlowKey
    item: T
    deadline: OpeningDeadline
    priority: int = 0


class DisplacedOpening(msgspec.Struct, Generic[T], frozen=True, kw_only=True):
    """An opening packet that left the queue because another one was added, and why."""

    waiting: WaitingOpening[T]
    reason: str


class OpeningQueue(ABC, Generic[T]):
    """Queues the opening packets that wait at one agent; subclasses decide their order.

    ``slots`` is the number of requests that the upstream runs at once, 0 while it takes no opening.
    ``backlog_s`` is the time that it needs for the work before the first opening.
    """

    def __init__(self) -> None:
        self._by_flow: dict[FlowKey, WaitingOpening[T]] = {}

    def __len__(self) -> int:
        return len(self._by_flow)

    def __contains__(self, flow: FlowKey) -> bool:
        return flow in self._by_flow

    def __iter__(self) -> Iterator[WaitingOpening[T]]:
        """Iterate over the packets in the order in which they were added."""
        return iter(self._by_flow.values())

    def drain(self) -> list[WaitingOpening[T]]:
        """Remove and return all packets, the newest first."""
        drained = list(reversed(self._by_flow.values()))
        for waiting in drained:
            self._remove(waiting)
        return drained

    @abstractmethod
    def put(self, waiting: WaitingOpening[T]) -> DisplacedOpening[T] | None:
        """Add a packet; return the one that had to leave the queue for it, or None."""

    @abstractmethod
    def pop_next(self, now: float, *, slots: int, backlog_s: float) -> WaitingOpening[T] | None:
        """Remove and return the packet to serve next, or None if none can be served in time."""

    @abstractmethod
    def expire(self, now: float, *, slots: int, backlog_s: float) -> list[WaitingOpening[T]]:
        """Remove and return the packets that can't start in time."""

    @abstractmethod
    def has_overdue(self, now: float) -> bool:
        """Return whether a packet has waited longer than its route's target latency allows."""

    def _remove(self, waiting: WaitingOpening[T]) -> None:
        del self._by_flow[waiting.flow]
