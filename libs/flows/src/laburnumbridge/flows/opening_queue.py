"""Opening packets that wait for a free slot."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

import msgspec

if TYPE_CHECKING:
    from laburnumbridge.flows.flow_packet import FlowKey
    from laburnumbridge.flows.opening_deadline import OpeningDeadline

T = TypeVar("T")


class WaitingOpening(msgspec.Struct, Generic[T], frozen=True, kw_only=True):
    """An opening packet in the queue; ``item`` is what the caller needs to forward it."""

    flow: FlowKey
    item: T
    deadline: OpeningDeadline


class OpeningQueue(Generic[T]):
    """Queues opening packets and returns the newest first.

    After an outage the requests of a second arrive at once and take several seconds to run. In
    order of arrival every request would be late until the backlog is gone. With the newest first,
    new requests are still on time, and the older ones, already late, run in between. Packets
    whose turn can't come in time leave the queue at once, so that their clients needn't wait for
    nothing. Beyond ``limit`` packets the oldest is dropped.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._by_flow: dict[FlowKey, WaitingOpening[T]] = {}

    def __len__(self) -> int:
        return len(self._by_flow)

    def __contains__(self, flow: FlowKey) -> bool:
        return flow in self._by_flow

    def put(self, flow: FlowKey, item: T, deadline: OpeningDeadline) -> WaitingOpening[T] | None:
        """Add a packet; return the one that was dropped because the queue was full, or None."""
        self._by_flow[flow] = WaitingOpening(flow=flow, item=item, deadline=deadline)
        if len(self._by_flow) <= self._limit:
            return None
        return self._by_flow.pop(next(iter(self._by_flow)))

    def pop_newest(self) -> WaitingOpening[T] | None:
        """Remove and return the packet added last, or None if the queue is empty."""
        if not self._by_flow:
            return None
        return self._by_flow.popitem()[1]

    def expire(self, now: float, *, start_interval_s: float = 0.0) -> list[WaitingOpening[T]]:
        """Remove and return the packets that can't start in time, the newest first.

        ``start_interval_s`` is the usual time between two starts. A packet starts after all that
        are newer, so its turn comes that many intervals from now, or later.
        """
        late = []
        starts_at = now
        for waiting in reversed(list(self._by_flow.values())):
            if starts_at > waiting.deadline.start_by:
                late.append(waiting)
                del self._by_flow[waiting.flow]
            else:
                starts_at += start_interval_s
        return late
