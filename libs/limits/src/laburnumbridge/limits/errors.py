"""Errors of the limits library."""

from __future__ import annotations

from laburnumbridge.core import InvalidInputError


class InvalidPlanLimitError(InvalidInputError):
    """A limit or fraction of a plan is outside its range."""

    def __init__(self, *, field: str, value: float) -> None:
        super().__init__(f"plan limit {field}={value} is out of range")
        self.field = field
        self.value = value


class WorkNotOpenError(InvalidInputError):
    """The end of work was reported, but the plan has no such work open."""

    def __init__(self, *, plan: str, work: str) -> None:
        super().__init__(f"plan {plan} has no open {work}")
        self.plan = plan
        self.work = work
