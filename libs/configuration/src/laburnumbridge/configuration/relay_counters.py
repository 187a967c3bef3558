"""Counters of the configuration relay."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class RelayCounters:
    """Numbers of reads, sent values and ignored or rejected versions since the start."""

    platform_reads: int = 0
    stale_platform_answers: int = 0
    stale_peer_values: int = 0
    conflicts: int = 0
    invalid_versions: int = 0
    malformed_values: int = 0
    delta_mismatches: int = 0
    deltas_sent: int = 0
    whole_values_sent: int = 0
    whole_values_deferred: int = 0
