"""Local health of an observer, which scales its timeouts."""

from __future__ import annotations

MAX_SCORE = 4


class LocalHealth:
    """Local health multiplier as in Lifeguard.

    Only evidence that the observer itself is slow raises the score. A failed probe alone does
    not: in a service of three agents, one dead sibling would delay its own detection.
    """

    def __init__(self) -> None:
        self.score = 0

    @property
    def multiplier(self) -> int:
        """Factor for all timeouts: 1 for a healthy observer, at most 1 + `MAX_SCORE`."""
        return 1 + self.score

    def worsen(self) -> None:
        """Record a late tick, a refuted claim, or an indirect probe that no helper answered."""
        self.score = min(MAX_SCORE, self.score + 1)

    def improve(self) -> None:
        """Record an answer that arrived in time."""
        self.score = max(0, self.score - 1)
