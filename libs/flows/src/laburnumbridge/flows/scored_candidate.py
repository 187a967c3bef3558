"""How an agent was scored for a new flow."""

from __future__ import annotations

import msgspec


class ScoredCandidate(msgspec.Struct, frozen=True, kw_only=True):
    """What a selector knows of a candidate, and its score: the lowest one is chosen.

    ``avoided`` are the reasons for which the candidate is used only if the others are avoided too.
    ``busy``, ``open_flows`` and ``report_age_s`` come from the last report, and ``pending`` counts
    placements that it doesn't include. ``speed`` is relative to the mean of the service, while its
    upstreams are uneven; ``wait_s``, ``work_s`` and ``demand`` are then the placement's estimates,
    and otherwise the reported ones. What isn't known is None.
    """

    agent: str
    failure_domain: str
    slots: int
    is_cold: bool
    score: tuple[float, ...]
    avoided: tuple[str, ...]
    pending: int
    busy: int | None = None
    open_flows: int | None = None
    report_age_s: float | None = None
    speed: float | None = None
    wait_s: float | None = None
    work_s: float | None = None
    demand: float | None = None
