"""Errors of the routing library."""

from __future__ import annotations

from laburnumbridge.core import InvalidInputError


class InvalidRoutingKeyError(InvalidInputError):
    """A routing key has a wrong length or number, or no key is marked current."""

    def __init__(self, *, number: int, reason: str) -> None:
        super().__init__(f"routing key {number}: {reason}")
        self.number = number
        self.reason = reason


class TokenFieldError(InvalidInputError):
    """A field does not fit its place in a routing token."""

    def __init__(self, *, field: str, value: int, bits: int) -> None:
        super().__init__(f"routing token field {field}={value} does not fit {bits} bits")
        self.field = field
        self.value = value
        self.bits = bits


class EmptyTableError(InvalidInputError):
    """A lookup table was requested without members."""

    def __init__(self) -> None:
        super().__init__("a lookup table needs at least one member")
