"""Opening packets that wait for a free slot."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

if TYPE_CHECKING:
    from laburnumbridge.flows.flow_packet import FlowKey

T = TypeVar("T")


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitingOpening(Generic[T]):
    """An opening packet in the queue; ``item`` is what the caller needs to forward it.

    ``since`` is the monotonic time from which its client has been waiting.
    """

    flow: FlowKey
    item: T
    since: float


class OpeningQueue(Generic[T]):
    """Queues opening packets and returns the newest first.

    After an outage the requests of a second arrive at once and take several seconds to run. In
    order of arrival every request would be late until the backlog is gone. With the newest first,
    new requests are still on time, and the older ones, already late, run in between. A packet
    waits at most ``max_wait_s``; beyond ``limit`` packets the oldest is dropped.
    """

    def __init__(self, *, max_wait_s: float, limit: int) -> None:
        self._max_wait_s = max_wait_s
        self._limit = limit
        self._by_flow: dict[FlowKey, WaitingOpening[T]] = {}

    def __len__(self) -> int:
        return len(self._by_flow)

    def __contains__(self, flow: FlowKey) -> bool:
        return flow in self._by_flow

    def put(
        self, flow: FlowKey, item: T, now: float, *, waited_s: float = 0.0
    ) -> WaitingOpening[T] | None:
        """Add a packet whose client has waited ``waited_s``.

        Returns the packet that was dropped because the queue was full, or None.
        """
        self._by_flow[flow] = WaitingOpening(flow=flow, item=item, since=now - waited_s)
        if len(self._by_flow) <= self._limit:
            return None
        return self._by_flow.pop(next(iter(self._by_flow)))

    def pop_newest(self) -> WaitingOpening[T] | None:
        """Remove and return the packet added last, or None if the queue is empty."""
        if not self._by_flow:
            return None
        return self._by_flow.popitem()[1]

    def expire(self, now: float) -> list[WaitingOpening[T]]:
        """Remove and return the packets that have waited longer than ``max_wait_s``."""
        expired = [
            waiting for waiting in self._by_flow.values() if now - waiting.since > self._max_wait_s
        ]
        for waiting in expired:
            del self._by_flow[waiting.flow]
        return expired
