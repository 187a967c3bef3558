"""Revisions of the platform."""

from __future__ import annotations

from typing import NamedTuple


class Revision(NamedTuple):
    """A revision of the platform, ordered by era and then by number.

    A platform that is restored from a copy gives numbers out again in the next era, so a number
    alone doesn't tell which of two changes is the later one.
    """

    era: int
    number: int

    @property
    def previous(self) -> Revision:
        """The revision before this one in the same era."""
        return Revision(self.era, self.number - 1)


NO_REVISION = Revision(0, 0)
"""Older than each revision of the platform."""
