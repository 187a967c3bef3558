"""How far an observer trusts its own timing."""

from __future__ import annotations

MAX_SCORE = 4


class LocalHealth:
    """Local health multiplier as in Lifeguard.

    Only signs of the observer's own slowness raise the score. A failed probe alone does not:
    in a service of three agents one dead sibling would lengthen its own detection.
    """

    def __init__(self) -> None:
        self.score = 0

    @property
    def multiplier(self) -> int:
        """Factor for all timeouts, 1 for a healthy observer."""
        return 1 + self.score

    def worsen(self) -> None:
        """Record a late tick, a refuted accusation, or helpers that were all silent."""
        self.score = min(MAX_SCORE, self.score + 1)

    def improve(self) -> None:
        """Record an answer that came in time."""
        self.score = max(0, self.score - 1)
