"""Unexpected errors of a process, which give up one packet or connection and not the process."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from laburnumbridge.core import Event

if TYPE_CHECKING:
    from types import TracebackType

    from laburnumbridge.forwarding.decision_log import DecisionLog
    from laburnumbridge.forwarding.metrics import Metrics

REPEATING_S = 10.0
REPEATING_SECONDS = 5
"""Errors in this many different seconds of the last ``REPEATING_S`` will not end by themselves: a
timer that always fails, or packets that nobody here can handle."""


class InternalErrors:
    """Logs each kind of unexpected error once with its trace, counts all, and notes repeating ones.

    A kind is the type of the error with the place where it was raised.
    """

    def __init__(self, *, log: DecisionLog, metrics: Metrics) -> None:
        self._log = log
        self._metrics = metrics
        self._logged_kinds: set[tuple[str, str]] = set()
        self._seconds: deque[int] = deque(maxlen=REPEATING_SECONDS)

    def record(self, error: Exception, now: float) -> None:
        """Log and count ``error``."""
        trace = _trace(error.__traceback__)
        name = type(error).__name__
        self._metrics.count("internal_errors_total", name)
        if not self._seconds or self._seconds[-1] != int(now):
            self._seconds.append(int(now))
        kind = (name, trace[-1] if trace else "")
        if kind in self._logged_kinds:
            return
        self._logged_kinds.add(kind)
        self._log.write(Event.INTERNAL_ERROR, outcome=name, reason=str(error), trace=trace)

    def is_repeating(self, now: float) -> bool:
        """Return whether errors have occurred again and again until now."""
        return len(self._seconds) == REPEATING_SECONDS and now - self._seconds[0] <= REPEATING_S


def _trace(traceback: TracebackType | None) -> list[str]:
    """Return the frames as ``function:line``, the innermost last.

    The standard module for this takes a megabyte, which a process has only if nothing fails.
    """
    frames = []
    while traceback is not None:
        code = traceback.tb_frame.f_code
        frames.append(f"{code.co_qualname}:{traceback.tb_lineno}")
        traceback = traceback.tb_next
    return frames
