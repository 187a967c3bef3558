"""One probe of one process."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.core import ProcessId


@dataclass(slots=True, kw_only=True)
class Probe:
    """A ping that has not been answered yet; ``helpers`` were asked once it was late."""

    target: ProcessId
    sent_at: float
    deadline: float
    helpers: tuple[ProcessId, ...] = ()
    confirmers: set[ProcessId] = field(default_factory=set)
    failed: bool = False


@dataclass(slots=True, kw_only=True)
class HelperProbe:
    """A ping sent on behalf of ``origin``, which knows it by ``sequence``."""

    origin: ProcessId
    sequence: int
    target: ProcessId
    deadline: float


@dataclass(frozen=True, slots=True)
class ProbeFailure:
    """A probe without an answer; ``confirmers`` could not reach the target either."""

    target: ProcessId
    confirmers: frozenset[ProcessId]
