"""Structured log of numbered events."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING
from typing import TextIO

import structlog

if TYPE_CHECKING:
    from laburnumbridge.core.event import Event

_LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


class EventLog:
    """Writes events as JSON lines, each with the process name and the event's number."""

    def __init__(self, *, process: str, level: str = "info", stream: TextIO | None = None) -> None:
        self._level = _LEVELS[level]
        self._logger = structlog.wrap_logger(
            structlog.PrintLogger(file=stream or sys.stderr),
            processors=[
                structlog.processors.TimeStamper(fmt="iso", utc=True),
                structlog.processors.JSONRenderer(),
            ],
            process=process,
        )

    def write(self, event: Event, **fields: object) -> None:
        """Write one event with its fields, unless its level is below the threshold."""
        if _LEVELS[event.level] < self._level:
            return
        self._logger.msg(event.name.lower(), number=event.number, level=event.level, **fields)
