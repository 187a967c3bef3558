"""A recorded decision with its cause."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from laburnumbridge.core.event import Event


class SubjectKind(StrEnum):
    """What a decision can be about."""

    REQUEST = "request"
    FLOW = "flow"
    UPSTREAM = "upstream"
    PLAN = "plan"
    LIST_VERSION = "version"


@dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """What was decided, about what, and why.

    ``at`` is in seconds since the epoch; ``subjects`` maps a kind to an identifier;
    ``important`` marks refusals, breaks and verdicts, which are kept before routine decisions.
    """

    at: float
    event: Event
    cause: str
    subjects: Mapping[SubjectKind, str] = field(default_factory=dict)
    important: bool = False
