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
"""Lines a second of each kind; under full load a process writes a few hundred a second at most."""
MAX_BURST_LINES = 60
"""Lines of each kind in a burst."""
REPORT_INTERVAL_S = 5.0


class DecisionLog:
    """Writes events as JSON lines to a descriptor and never blocks.

    A kind of line is an event with its outcome. Each kind has its own token bucket, so that a flood
    of one doesn't hide the others; dropped lines are counted and reported. Lines are also dropped
    while the pipe is full.
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
        self._bucket_by_kind: dict[tuple[Event, object], tuple[float, float]] = {}
        self._left_out_by_kind: dict[str, int] = {}
        self._reported_at = clock()

    def start(self) -> None:
        """Make writes to the descriptor non-blocking."""
        os.set_blocking(self._fd, False)

    def write(self, event: Event, *, outcome: str | None = None, **fields: object) -> None:
        """Write one event, unless the token bucket of its kind is empty."""
        now = self._clock()
        if now - self._reported_at >= REPORT_INTERVAL_S:
            self._report(now)
        if not self._take_token((event, outcome), now):
            self._count_left_out(event, outcome)
            return
        if outcome is not None:
            fields["outcome"] = outcome
        if not self._write_line(event, fields):
            self._count_left_out(event, outcome)

    def _take_token(self, kind: tuple[Event, object], now: float) -> bool:
        tokens, filled_at = self._bucket_by_kind.get(kind, (float(MAX_BURST_LINES), now))
        tokens = min(float(MAX_BURST_LINES), tokens + (now - filled_at) * LINES_PER_S)
        if tokens < 1.0:
            self._bucket_by_kind[kind] = (tokens, now)
            return False
        self._bucket_by_kind[kind] = (tokens - 1.0, now)
        return True

    def _count_left_out(self, event: Event, outcome: str | None) -> None:
        name = event.name.lower() if outcome is None else f"{event.name.lower()}/{outcome}"
        self._left_out_by_kind[name] = self._left_out_by_kind.get(name, 0) + 1

    def _report(self, now: float) -> None:
        self._reported_at = now
        if self._left_out_by_kind:
            counts, self._left_out_by_kind = self._left_out_by_kind, {}
            self._write_line(Event.LINES_LEFT_OUT, {"lines_by_kind": counts})

    def _write_line(self, event: Event, fields: dict[str, object]) -> bool:
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
            return False  # counted by the caller; the error can't be reported elsewhere
        return True
