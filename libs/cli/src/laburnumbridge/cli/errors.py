"""Errors of the command line."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.core import InvalidInputError

if TYPE_CHECKING:
    from collections.abc import Sequence


class UnknownBenchmarkError(InvalidInputError):
    """No installed library registers a benchmark of this name."""

    def __init__(self, *, name: str, known: Sequence[str]) -> None:
        super().__init__(f"there is no benchmark {name!r}; known: {', '.join(known) or 'none'}")
        self.name = name
        self.known = tuple(known)
