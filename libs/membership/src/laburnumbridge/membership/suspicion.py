"""A process that this observer can't reach."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.core import ProcessId
    from laburnumbridge.membership.liveness_version import LivenessVersion


@dataclass(slots=True, kw_only=True)
class Suspicion:
    """Own suspicion of ``life``; a verdict is possible from ``deadline`` on.

    Others are told from ``spread_at`` on.
    """

    life: LivenessVersion
    deadline: float
    spread_at: float
    confirmers: set[ProcessId]
    is_spread: bool = False
