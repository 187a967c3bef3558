"""How an offered version compares with what a process holds."""

from __future__ import annotations

from enum import Enum
from enum import auto


class VersionComparison(Enum):
    """The comparison of an offered version and digest with the ones in force."""

    NEWER = auto()
    SAME = auto()
    OLDER = auto()
    # The number of the version in force, with another content.
    CONFLICT = auto()
    # It failed validation before.
    REJECTED = auto()
