"""A periodic call on the event loop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class PeriodicTimer:
    """Calls ``callback`` every ``interval_s`` seconds between ``start`` and ``close``."""

    def __init__(self, *, interval_s: float, callback: Callable[[], None]) -> None:
        self._interval_s = interval_s
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Schedule the first call."""
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(self._interval_s, self._fire)

    def close(self) -> None:
        """Stop calling."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _fire(self) -> None:
        # Rescheduled before the callback, so that an exception in it doesn't stop the timer.
        self.start()
        self._callback()
