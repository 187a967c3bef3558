"""Figures of one upstream for metrics and load reports."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmissionSnapshot:
    """Counts at one moment.

    ``connections`` includes each stream beyond the first of its connection.
    """

    slots: int
    usable_slots: int
    busy_slots: int
    streams: int
    queued: int
    queue_limit: int
    connections: int
    connection_limit: int
    is_draining: bool
    is_probing: bool
