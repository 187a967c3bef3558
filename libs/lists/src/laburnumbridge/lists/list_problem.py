"""One fault in a list."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Severity(StrEnum):
    """Whether a fault prevents the list from being accepted."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, kw_only=True, slots=True)
class ListProblem:
    """A fault at ``path`` (such as ``plans.plans[2].ceiling``) of a list."""

    path: str
    message: str
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"
