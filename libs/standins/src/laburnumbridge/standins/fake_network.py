"""Delivery of messages between state machines on a fake clock."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

from laburnumbridge.core import Choice

if TYPE_CHECKING:
    from collections.abc import Iterable

M = TypeVar("M")


@dataclass(frozen=True, slots=True)
class Delivery(Generic[M]):
    """A message that has arrived at ``destination`` at time ``at`` (seconds)."""

    at: float
    source: str
    destination: str
    message: M


class FakeNetwork(Generic[M]):
    """Delays, drops and duplicates messages and cuts pairs off, reproducibly from a seed.

    ``latency_s`` is the shortest delay and ``jitter_s`` the most that is added to it. ``loss`` and
    ``doubled`` are the fractions of the messages that are dropped and sent twice.
    """

    def __init__(
        self,
        *,
        seed: int,
        latency_s: float = 0.001,
        jitter_s: float = 0.0,
        loss: float = 0.0,
        doubled: float = 0.0,
    ) -> None:
        self._choice = Choice(seed=seed)
        self._latency_s = latency_s
        self._jitter_s = jitter_s
        self.loss = loss
        self.doubled = doubled
        self._cuts: set[frozenset[str]] = set()
        self._order = itertools.count()
        self._queue: list[tuple[float, int, Delivery[M]]] = []

    def send(self, *, source: str, destination: str, message: M, now: float) -> None:
        """Queue a message, unless it is lost or the pair is cut."""
        if frozenset((source, destination)) in self._cuts:
            return
        if self._choice.fraction() < self.loss:
            return
        copies = 2 if self._choice.fraction() < self.doubled else 1
        for _ in range(copies):
            at = now + self._latency_s + self._jitter_s * self._choice.fraction()
            delivery = Delivery(at, source, destination, message)
            heapq.heappush(self._queue, (at, next(self._order), delivery))

    def next_at(self) -> float | None:
        """Return the time of the next delivery in seconds, or None if nothing is queued."""
        return self._queue[0][0] if self._queue else None

    def take_due(self, now: float) -> list[Delivery[M]]:
        """Remove and return what has arrived by ``now``, in order of arrival.

        Messages between a pair that was cut after they were sent are lost.
        """
        due = []
        while self._queue and self._queue[0][0] <= now:
            delivery = heapq.heappop(self._queue)[2]
            if frozenset((delivery.source, delivery.destination)) not in self._cuts:
                due.append(delivery)
        return due

    def cut(self, side: Iterable[str], other: Iterable[str]) -> None:
        """Cut every pair between two groups, in both directions."""
        others = list(other)
        self._cuts.update(frozenset((a, b)) for a in side for b in others)

    def heal(self) -> None:
        """Restore every pair."""
        self._cuts.clear()
