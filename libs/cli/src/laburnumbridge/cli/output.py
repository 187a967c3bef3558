"""Standard output of the commands."""

from __future__ import annotations

import sys
from datetime import UTC
from datetime import datetime

import msgspec
from rich.console import Console

# Tables that go into a file or a pipe are not folded at 80 columns.
PIPED_WIDTH = 140
_INDENT = 2


def make_console() -> Console:
    """Return a console as wide as the terminal, or ``PIPED_WIDTH`` columns without one."""
    width = None if sys.stdout.isatty() else PIPED_WIDTH
    return Console(width=width, highlight=False, markup=False)


def to_json(content: object) -> str:
    """Return data classes and structs as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(content), indent=_INDENT).decode()


def format_time(seconds: float) -> str:
    """Return seconds since the epoch as text in UTC with milliseconds."""
    return f"{datetime.fromtimestamp(seconds, UTC):%Y-%m-%d %H:%M:%S.%f}"[:-3]
