"""Comparison of an offered version with the one in force."""

from __future__ import annotations

from enum import Enum
from enum import auto


class VersionComparison(Enum):
    """The comparison of an offered version and digest with the ones in force."""

    NEWER = auto()
    SAME = auto()
    OLDER = auto()
    # Same number as the version in force, but other content.
    CONFLICT = auto()
    # Failed validation before.
    REJECTED = auto()
