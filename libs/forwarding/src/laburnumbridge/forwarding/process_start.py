"""The time at which this process started."""

from __future__ import annotations

import os

START_TIME_FIELD = 19  # of /proc/self/stat, counted after the name of the program


def process_started_at() -> float | None:
    """Return the start in seconds of the event loop's clock, or None if it isn't known.

    It includes the time of the interpreter and of the imports. The system counts it in units of
    10 ms.
    """
    try:
        with open("/proc/self/stat", "rb") as file:
            fields = file.read().rpartition(b")")[2].split()
        return int(fields[START_TIME_FIELD]) / os.sysconf("SC_CLK_TCK")
    except (OSError, ValueError, IndexError):
        return None
