"""Settings of admission at one upstream."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmissionSettings:
    """Limits of one upstream, and the length of its slow start in seconds."""

    slots: int
    connections: int
    # A few queued requests per slot absorb bursts; a longer queue only adds latency.
    queue_limit: int = 32
    slow_start_s: float = 30.0
