"""Claims about the liveness of a process."""

from __future__ import annotations

from enum import IntEnum


class Claim(IntEnum):
    """A claim about a process; at equal liveness versions the higher value takes precedence."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3
