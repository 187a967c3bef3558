"""Keeps the lists of a process up to date from the platform."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from laburnumbridge.lists import InvalidListError
from laburnumbridge.runtime.errors import PlatformUnavailableError
from laburnumbridge.runtime.fleet_view import MODEL_BY_NAME
from laburnumbridge.telemetry import Event

if TYPE_CHECKING:
    from laburnumbridge.runtime.fleet_view import FleetView
    from laburnumbridge.runtime.platform_client import PlatformClient
    from laburnumbridge.telemetry import EventLog

WATCH_WAIT_S = 30.0
RETRY_S = 0.5


class ConfigurationFollower:
    """Watches every list; a version that isn't valid is reported once and skipped."""

    def __init__(self, *, client: PlatformClient, view: FleetView, log: EventLog) -> None:
        self._client = client
        self._view = view
        self._log = log
        self._tasks: list[asyncio.Task[None]] = []
        self._complete = asyncio.Event()

    async def start(self) -> None:
        """Begin to watch and wait until every list is in force."""
        self._tasks = [asyncio.create_task(self._watch(name)) for name in MODEL_BY_NAME]
        await self._complete.wait()

    async def close(self) -> None:
        """Stop watching."""
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def _watch(self, name: str) -> None:
        seen = 0
        available = True
        while True:
            try:
                value = await self._client.read(name, after=seen, wait_s=WATCH_WAIT_S)
            except PlatformUnavailableError as error:
                if available:
                    self._log.write(Event.PLATFORM_UNAVAILABLE, list=name, reason=error.reason)
                available = False
                await asyncio.sleep(RETRY_S)
                continue
            if not available:
                self._log.write(Event.PLATFORM_AVAILABLE, list=name)
            available = True
            if value is None:
                continue
            seen = max(seen, value.version)
            self._accept(name, value.version, value.payload)

    def _accept(self, name: str, version: int, payload: bytes) -> None:
        before = self._view.version_by_name[name]
        try:
            accepted = self._view.accept(name, version, payload)
        except InvalidListError as error:
            self._log.write(Event.LIST_REJECTED, list=name, version=version, reason=str(error))
            return
        if accepted:
            self._log.write(Event.LIST_IN_FORCE, list=name, version=version)
        elif version < before:
            self._log.write(Event.LIST_OLDER_IGNORED, list=name, version=version, in_force=before)
        if self._view.is_complete:
            self._complete.set()
