"""Sizes and times of admission at one upstream."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmissionSettings:
    """Sizes of one upstream, and the times over which its capacity changes."""

    slots: int
    connections: int
    # A queue of a few requests a slot bridges bursts; a longer one only adds waiting.
    queue_limit: int = 32
    slow_start_s: float = 30.0
