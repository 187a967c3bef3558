"""Errors of the configuration library."""

from __future__ import annotations

from laburnumbridge.core import InvalidInputError


class MalformedValueError(InvalidInputError):
    """A value is not a JSON object."""

    def __init__(self, *, cause: str) -> None:
        super().__init__(f"value is not a JSON object: {cause}")
        self.cause = cause


class MalformedDeltaError(InvalidInputError):
    """A delta can't be decoded or applied."""

    def __init__(self, *, cause: str) -> None:
        super().__init__(f"delta can't be decoded or applied: {cause}")
        self.cause = cause


class UnknownValueError(InvalidInputError):
    """An event names a value that the relay doesn't distribute."""

    def __init__(self, *, name: str) -> None:
        super().__init__(f"unknown value: {name}")
        self.name = name
