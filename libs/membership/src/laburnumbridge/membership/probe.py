"""Outstanding and failed probes."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.core import ProcessId


@dataclass(slots=True, kw_only=True)
class Probe:
    """An unanswered ping; times are in monotonic seconds.

    ``helpers`` probe the target indirectly once the ping has timed out. ``confirmers`` are those
    that reported it unreachable.
    """

    target: ProcessId
    sent_at: float
    deadline: float
    helpers: tuple[ProcessId, ...] = ()
    confirmers: set[ProcessId] = field(default_factory=set)
    failed: bool = False


@dataclass(slots=True, kw_only=True)
class HelperProbe:
    """A ping sent on behalf of ``origin``; ``sequence`` is that of the origin's probe."""

    origin: ProcessId
    sequence: int
    target: ProcessId
    deadline: float


@dataclass(frozen=True, slots=True)
class ProbeFailure:
    """A probe that failed; ``confirmers`` are the helpers that couldn't reach the target either."""

    target: ProcessId
    confirmers: frozenset[ProcessId]
