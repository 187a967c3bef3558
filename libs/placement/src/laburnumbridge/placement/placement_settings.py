"""Settings of placement at one agent."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementSettings:
    """Capacity of the agent's upstream, and the thresholds and times for moving connections."""

    connections: int
    slots: int
    seed: int
    # A sibling must be lower by this part: differences of a few percent are estimation noise, and
    # a forward costs a hop.
    forward_margin: float = 0.02
    # Reported busy slots are noisier, so the difference must be a larger part of all slots.
    busy_margin: float = 0.15
    # Half of the tolerated imbalance of 1.10, so that rebalancing starts before the bound.
    rebalance_start: float = 0.05
    rebalance_stop: float = 0.02
    # At 1 % per second a new upstream among 7 is balanced within its slow start.
    reconnect_share_per_s: float = 0.01
    slow_start_s: float = 30.0
    # For an older report the corrections would be larger than the reported counts.
    report_lifetime_s: float = 15.0
    # A client stops repeating its first packet within this time (RFC 9002, PTO with backoff).
    handshake_lifetime_s: float = 10.0
    handshake_limit: int = 8192
