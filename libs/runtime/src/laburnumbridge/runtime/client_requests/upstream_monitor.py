"""Monitors whether the upstream beside the agent accepts connections."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

import aiohttp

if TYPE_CHECKING:
    from collections.abc import Callable

INTERVAL_S = 1.0
TIMEOUT_S = 1.0

_OK_MIN = 200
_OK_END = 300


class UpstreamMonitor:
    """Connects once a second and queries the health endpoint, if the settings name one.

    ``on_health(is_up)`` is called with each result of the endpoint, which is only a hint.
    ``on_down()`` is called when connections are refused, and ``on_started()`` when they are
    accepted again: the upstream has then restarted and is cold.
    """

    def __init__(
        self,
        *,
        url: str,
        health_path: str | None,
        on_health: Callable[[bool], object],
        on_down: Callable[[], None],
        on_started: Callable[[], None],
    ) -> None:
        parts = urlsplit(url)
        self._host = parts.hostname or ""
        self._port = parts.port or 80
        self._health_url = None if health_path is None else url.rstrip("/") + health_path
        self._on_health = on_health
        self._on_down = on_down
        self._on_started = on_started
        self._is_up = True
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start monitoring."""
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=TIMEOUT_S))
        self._task = asyncio.create_task(self._watch())

    async def close(self) -> None:
        """Stop monitoring."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        if self._session is not None:
            await self._session.close()

    async def _watch(self) -> None:
        while True:
            await self._check()
            await asyncio.sleep(INTERVAL_S)

    async def _check(self) -> None:
        is_up = await self._accepts_connections()
        if is_up != self._is_up:
            self._is_up = is_up
            (self._on_started if is_up else self._on_down)()
        if is_up and self._health_url is not None:
            self._on_health(await self._is_healthy(self._health_url))

    async def _accepts_connections(self) -> bool:
        try:
            async with asyncio.timeout(TIMEOUT_S):
                _, writer = await asyncio.open_connection(self._host, self._port)
        except ConnectionRefusedError:
            return False
        except (OSError, TimeoutError):
            # A missing answer proves nothing, so the state stays; the outcomes of requests decide.
            return self._is_up
        writer.close()
        return True

    async def _is_healthy(self, url: str) -> bool:
        if self._session is None:
            return False
        try:
            async with self._session.get(url) as answer:
                return _OK_MIN <= answer.status < _OK_END
        except (aiohttp.ClientError, TimeoutError):
            return False
