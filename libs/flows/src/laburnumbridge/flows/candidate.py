"""An agent that may receive a new flow."""

from __future__ import annotations

import msgspec


class Candidate(msgspec.Struct, frozen=True, kw_only=True):
    """An agent that may receive a new flow.

    ``slow_start`` lies in (0, 1]; a starting upstream is placed as if it had that share of its
    slots.
    """

    agent: str
    failure_domain: str
    slots: int
    slow_start: float
