"""Recorded decisions and their subjects."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from laburnumbridge.core.event import Event


class SubjectKind(StrEnum):
    """Kinds of subjects of a decision."""

    REQUEST = "request"
    FLOW = "flow"
    UPSTREAM = "upstream"
    PLAN = "plan"
    LIST_VERSION = "version"


@dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """Decision with its cause and its subjects.

    ``at`` is in seconds since the epoch; ``subjects`` maps a kind to an identifier;
    ``important`` marks refusals, broken flows and changes of membership, which are kept in
    preference to routine decisions.
    """

    at: float
    event: Event
    cause: str
    subjects: Mapping[SubjectKind, str] = field(default_factory=dict)
    important: bool = False
