"""Errors of the lists library."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.core import InvalidInputError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from laburnumbridge.lists.list_problem import ListProblem

_MAX_SHOWN_PROBLEMS = 5


class InvalidListError(InvalidInputError):
    """A list doesn't match its model; the version in force remains in force.

    ``problems`` names each fault by its path in the document.
    """

    def __init__(self, *, list_name: str, problems: Sequence[ListProblem]) -> None:
        shown = "; ".join(str(problem) for problem in problems[:_MAX_SHOWN_PROBLEMS])
        more = len(problems) - _MAX_SHOWN_PROBLEMS
        suffix = f" (and {more} more)" if more > 0 else ""
        super().__init__(f"the {list_name} list is not valid: {shown}{suffix}")
        self.list_name = list_name
        self.problems = tuple(problems)
