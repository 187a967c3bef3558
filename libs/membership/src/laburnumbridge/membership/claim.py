"""What one process says of another."""

from __future__ import annotations

from enum import IntEnum


class Claim(IntEnum):
    """A claim about a process; at the same life the higher value takes precedence."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3
