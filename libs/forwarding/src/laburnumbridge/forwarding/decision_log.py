"""Structured log of numbered events, bounded in volume."""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING

import msgspec

from laburnumbridge.core import Event

if TYPE_CHECKING:
    from collections.abc import Callable

LINES_PER_S = 20
"""Of each kind of line; a process under full load writes at most a few hundred lines a second."""
LINES_AT_ONCE = 60
REPORT_INTERVAL_S = 5.0


class DecisionLog:
    """Writes events as JSON lines to a descriptor and never blocks.

    A kind of line is an event with its outcome. Each kind has its own budget, so that a flood of
    one doesn't hide the others; what is left out is counted and reported. A full pipe drops lines.
    structlog isn't used here: importing it takes 8 MB of resident memory.
    """

    def __init__(
        self,
        *,
        process: str,
        fd: int = 1,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._process = process
        self._fd = fd
        self._clock = clock
        self._wall_clock = wall_clock
        self._encoder = msgspec.json.Encoder()
        self._budget_by_kind: dict[tuple[Event, object], tuple[float, float]] = {}
        self._left_out_by_kind: dict[str, int] = {}
        self._reported_at = clock()

    def start(self) -> None:
        """Make writes to the descriptor non-blocking."""
        os.set_blocking(self._fd, False)

    def write(self, event: Event, *, outcome: str | None = None, **fields: object) -> None:
        """Write one event, unless the budget of its kind is used up."""
        now = self._clock()
        if now - self._reported_at >= REPORT_INTERVAL_S:
            self._report(now)
        if not self._spend((event, outcome), now):
            self._leave_out(event, outcome)
            return
        if outcome is not None:
            fields["outcome"] = outcome
        if not self._put(event, fields):
            self._leave_out(event, outcome)

    def _spend(self, kind: tuple[Event, object], now: float) -> bool:
        left, spent_at = self._budget_by_kind.get(kind, (float(LINES_AT_ONCE), now))
        left = min(float(LINES_AT_ONCE), left + (now - spent_at) * LINES_PER_S)
        if left < 1.0:
            self._budget_by_kind[kind] = (left, now)
            return False
        self._budget_by_kind[kind] = (left - 1.0, now)
        return True

    def _leave_out(self, event: Event, outcome: str | None) -> None:
        name = event.name.lower() if outcome is None else f"{event.name.lower()}/{outcome}"
        self._left_out_by_kind[name] = self._left_out_by_kind.get(name, 0) + 1

    def _report(self, now: float) -> None:
        self._reported_at = now
        if self._left_out_by_kind:
            counts, self._left_out_by_kind = self._left_out_by_kind, {}
            self._put(Event.LINES_LEFT_OUT, {"lines_by_kind": counts})

    def _put(self, event: Event, fields: dict[str, object]) -> bool:
        line = {
            "timestamp": round(self._wall_clock(), 3),
            "monotonic": round(self._clock(), 3),
            "process": self._process,
            "event": event.name.lower(),
            "number": event.number,
            "level": event.level,
            **fields,
        }
        try:
            os.write(self._fd, self._encoder.encode(line) + b"\n")
        except OSError:
            return False  # counted by the caller; there is no other place to report to
        return True
