"""Suspicion of a process that this observer can't reach."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.core import ProcessId
    from laburnumbridge.membership.liveness_version import LivenessVersion


@dataclass(slots=True, kw_only=True)
class Suspicion:
    """This observer's suspicion of a process at the liveness version ``life``.

    The process may be declared dead from ``deadline`` on, and the suspicion is gossiped from
    ``gossip_at`` on (both in monotonic seconds). ``confirmers`` can't reach the process either.
    """

    life: LivenessVersion
    deadline: float
    gossip_at: float
    confirmers: set[ProcessId]
    is_gossiped: bool = False
