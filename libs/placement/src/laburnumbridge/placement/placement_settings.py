"""Sizes, margins and times of placement at one agent."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementSettings:
    """Capacity of the own upstream, and how readily connections move."""

    connections: int
    slots: int
    seed: int
    # Below a few percent the difference is noise of the estimates, and a forward costs a hop.
    forward_margin: float = 0.02
    # Reports of busy slots are noisier, so the difference must be a larger part of all slots.
    busy_margin: float = 0.15
    # Half of the tolerated imbalance of 1.10, so that rebalancing acts before the bound.
    rebalance_start: float = 0.05
    rebalance_stop: float = 0.02
    # At 1 % a second a join among 7 is balanced within the slow start of the new upstream.
    reconnect_share_per_s: float = 0.01
    slow_start_s: float = 30.0
    # Beyond this age the corrections outweigh what the report says.
    report_lifetime_s: float = 15.0
    # A client repeats its first packet for no longer than this (RFC 9002, PTO with backoff).
    handshake_lifetime_s: float = 10.0
    handshake_limit: int = 8192
