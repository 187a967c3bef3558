"""What one process reports about itself, as it travels between processes."""

from __future__ import annotations

from typing import Annotated

import msgspec

Count = Annotated[int, msgspec.Meta(ge=0)]

# Counters that reports use; the drivers count under these names.
BROKEN_FLOWS = "broken_flows"


class ListInForce(msgspec.Struct, frozen=True, kw_only=True):
    """A list's version and the digest (hex) of its payload."""

    name: str
    version: Count
    digest: str


class MembershipSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Digest (hex) of a process's view of the others, and how many are in each state."""

    digest: str
    count_by_state: dict[str, Count] = {}


class UpstreamLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load of one upstream, as its agent knows it; ``accepting`` is False during a drain."""

    upstream: str
    service: str
    open_flows: Count
    busy_slots: Count = 0
    accepting: bool = True


class MinuteCounts(msgspec.Struct, frozen=True, array_like=True):
    """Outcomes of one minute; written as an array because a series has up to 360 of them."""

    total: Count
    failed: Count
    slow: Count


class SeriesSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Outcomes and latencies (µs, encoded hdrhistogram) of a service and plan.

    Minutes are counted since the epoch.
    """

    service: str
    plan: str
    outcomes: dict[str, Count] = {}
    latency: str | None = None
    counts_by_minute: dict[int, MinuteCounts] = {}


class ProcessFacts(msgspec.Struct, frozen=True, kw_only=True):
    """What a process knows beside its metrics; ``started_at`` is in seconds since the epoch."""

    name: str
    role: str
    region: str
    failure_domain: str
    started_at: float
    lists: tuple[ListInForce, ...] = ()
    membership: MembershipSummary | None = None
    upstreams: tuple[UpstreamLoad, ...] = ()


class ProcessSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Facts and metrics of a process at ``taken_at`` (seconds since the epoch).

    Processes of two releases read each other's snapshots: unknown fields are ignored, so a new
    field needs a default.
    """

    facts: ProcessFacts
    taken_at: float
    counters: dict[str, Count] = {}
    gauges: dict[str, float] = {}
    refusals_by_reason: dict[str, Count] = {}
    series: tuple[SeriesSnapshot, ...] = ()
