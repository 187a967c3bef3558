"""Growth of the share of an upstream that started cold."""

from __future__ import annotations

# A new upstream starts with this share, so that it receives a few flows to warm up with.
INITIAL_SHARE = 0.1


def grown_share(share: float, *, elapsed_s: float, slow_start_s: float) -> float:
    """Return the share (0..1) that ``share`` has grown to after ``elapsed_s``.

    Growth is linear from the initial share, so that a sibling can compute the present share from
    an old report.
    """
    return min(1.0, share + (1 - INITIAL_SHARE) * elapsed_s / slow_start_s)
