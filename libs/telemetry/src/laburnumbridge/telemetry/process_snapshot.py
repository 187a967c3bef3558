"""Facts and metrics that a process reports about itself to other processes."""

from __future__ import annotations

from typing import Annotated

import msgspec

Count = Annotated[int, msgspec.Meta(ge=0)]

# Name of a counter that reports read; the drivers count under the same name.
BROKEN_FLOWS = "broken_flows"


class ListInForce(msgspec.Struct, frozen=True, kw_only=True):
    """A list's version and the digest (hex) of its payload."""

    name: str
    version: Count
    digest: str


class MembershipSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Digest (hex) of a process's membership view, and the number of members by state."""

    digest: str
    count_by_state: dict[str, Count] = {}


class UpstreamLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load of one upstream as seen by its agent; ``accepting`` is False during a drain."""

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
    """Outcomes and latencies of a service and plan.

    ``latency`` is an encoded hdrhistogram in microseconds, or None without requests that count.
    The keys of ``counts_by_minute`` are minutes since the epoch.
    """

    service: str
    plan: str
    outcomes: dict[str, Count] = {}
    latency: str | None = None
    counts_by_minute: dict[int, MinuteCounts] = {}


class ProcessFacts(msgspec.Struct, frozen=True, kw_only=True):
    """State of a process other than metrics; ``started_at`` is in seconds since the epoch."""

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
