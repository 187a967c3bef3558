"""Errors of the settings library."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.core import InvalidInputError

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path


class SettingsNotReadableError(InvalidInputError):
    """The settings file is missing or can't be read."""

    def __init__(self, *, path: Path, reason: str) -> None:
        super().__init__(f"can't read the settings {path}: {reason}; check the path and its mode")
        self.path = path
        self.reason = reason


class InvalidSettingsError(InvalidInputError):
    """The settings don't match their model; ``faults`` holds ``path: message`` lines."""

    def __init__(self, *, path: Path, faults: Sequence[str]) -> None:
        listed = "; ".join(faults)
        super().__init__(f"settings {path} are not valid: {listed}; correct the named fields")
        self.path = path
        self.faults = tuple(faults)
