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
    """An opening packet with what its owner needs to send it on."""

    flow: FlowKey
    item: T
    since: float


class OpeningQueue(Generic[T]):
    """Holds opening packets and gives back the newest first.

    Answers the load after an outage, when the work of a second arrives at once and takes several
    seconds to run: in order of arrival every request would be late until the backlog is gone. The
    newest ones can still be in time; the older ones, late already, run in the gaps. A packet waits
    at most ``max_wait_s``, and the oldest goes when more than ``limit`` wait.
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
        """Add a packet whose client has waited ``waited_s``; return one that had to go for it."""
        self._by_flow[flow] = WaitingOpening(flow=flow, item=item, since=now - waited_s)
        if len(self._by_flow) <= self._limit:
            return None
        return self._by_flow.pop(next(iter(self._by_flow)))

    def pop_newest(self) -> WaitingOpening[T] | None:
        """Remove and return the packet that came last."""
        if not self._by_flow:
            return None
        return self._by_flow.popitem()[1]

    def expire(self, now: float) -> list[WaitingOpening[T]]:
        """Remove and return the packets that have waited too long."""
        expired = [
            waiting for waiting in self._by_flow.values() if now - waiting.since > self._max_wait_s
        ]
        for waiting in expired:
            del self._by_flow[waiting.flow]
        return expired
