"""Imbalance over the upstreams of each service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from laburnumbridge.telemetry import UpstreamLoad

IMBALANCE_TARGET = 1.10


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceLoad:
    """Load of a service.

    Imbalance is the maximum divided by the mean, over the upstreams that accept connections;
    None where these have no open flows or no busy slots, respectively.
    """

    service: str
    upstreams: int
    accepting: int
    open_flows: int
    busy_slots: int
    flow_imbalance: float | None
    slot_imbalance: float | None


def measure_services(loads: Iterable[UpstreamLoad]) -> tuple[ServiceLoad, ...]:
    """Return the load of each service, ordered by name."""
    by_service: dict[str, list[UpstreamLoad]] = {}
    for load in loads:
        by_service.setdefault(load.service, []).append(load)
    return tuple(_measure(name, by_service[name]) for name in sorted(by_service))


def _measure(service: str, loads: Sequence[UpstreamLoad]) -> ServiceLoad:
    accepting = [load for load in loads if load.accepting]
    return ServiceLoad(
        service=service,
        upstreams=len(loads),
        accepting=len(accepting),
        open_flows=sum(load.open_flows for load in loads),
        busy_slots=sum(load.busy_slots for load in loads),
        flow_imbalance=_max_over_mean([load.open_flows for load in accepting]),
        slot_imbalance=_max_over_mean([load.busy_slots for load in accepting]),
    )


def _max_over_mean(values: Sequence[int]) -> float | None:
    total = sum(values)
    return max(values) * len(values) / total if total else None
