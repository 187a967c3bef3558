"""The answer to the query where an opening packet would be sent."""

from __future__ import annotations

import msgspec

from laburnumbridge.flows import ScoredCandidate  # noqa: TC001, msgspec reads annotations


class ExcludedUpstream(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream of the service that can't be chosen, with the reason."""

    agent: str
    failure_domain: str
    reason: str


class PlacementExplanation(msgspec.Struct, frozen=True, kw_only=True):
    """Where an opening packet of ``flow`` would be sent, and why.

    ``outcome`` is ``placed``, ``overflow`` (placed on another service of the route), ``located``
    (sent to the agent that has an earlier copy) or the reason of a reset. ``selected_service`` is
    selected by the flow's hash, and ``service`` is that of ``agent``. ``method`` is ``even``
    (placed by the shares of busy slots or open flows) or ``uneven`` (by expected work).
    ``candidates`` are sorted by score, best first.
    """

    process: str
    flow: str
    outcome: str
    agent: str | None = None
    route: str = ""
    priority: int = 0
    target_latency_ms: int = 0
    is_long: bool = False
    selected_service: str = ""
    service: str = ""
    method: str = ""
    view_age_s: float | None = None
    candidates: list[ScoredCandidate] = []
    excluded: list[ExcludedUpstream] = []
