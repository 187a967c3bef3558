"""Growth of the share of an upstream that started cold."""

from __future__ import annotations

# A new upstream takes a first few flows at once, so that its warm-up has something to run.
FIRST_SHARE = 0.1


def grown_share(share: float, *, elapsed_s: float, slow_start_s: float) -> float:
    """Return what ``share`` (0..1) has become after ``elapsed_s``.

    Growth is linear from the first share, so that a sibling can tell the present share from an
    old report.
    """
    return min(1.0, share + (1 - FIRST_SHARE) * elapsed_s / slow_start_s)
