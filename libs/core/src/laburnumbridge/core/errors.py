"""Base classes of the project's errors."""

from __future__ import annotations

from typing import ClassVar


class LaburnumbridgeError(Exception):
    """Base of every error that the system raises on purpose.

    Subclasses build their message in the constructor from typed arguments, which callers can read
    as attributes. ``exit_code`` is the status of a command that ends with the error.
    """

    exit_code: ClassVar[int] = 1


class InvalidInputError(LaburnumbridgeError):
    """Input from outside (settings, lists, packets, messages) is malformed."""

    exit_code = 2


class UnavailableError(LaburnumbridgeError):
    """A dependency of the process is unavailable at present."""

    exit_code = 3
