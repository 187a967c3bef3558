"""Reads the files that options name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.cli.errors import FileNotReadableError

if TYPE_CHECKING:
    from pathlib import Path


def read_input(path: Path) -> bytes:
    """Return the content of a file; raises FileNotReadableError."""
    try:
        return path.read_bytes()
    except OSError as error:
        reason = error.strerror or type(error).__name__
        raise FileNotReadableError(path=path, reason=reason) from error
