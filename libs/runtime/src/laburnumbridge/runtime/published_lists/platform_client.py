"""Reads the values and the list of VMs that the platform publishes."""

from __future__ import annotations

from dataclasses import dataclass

import aiohttp

from laburnumbridge.runtime.errors import PlatformUnavailableError

_NOT_MODIFIED = 304
_OK = 200
_MARGIN_S = 5.0


@dataclass(frozen=True, slots=True)
class PublishedValue:
    """A value (JSON bytes) and its version."""

    version: int
    payload: bytes


class PlatformClient:
    """HTTP client of the platform's configuration service and list of VMs."""

    def __init__(self, *, url: str) -> None:
        self._url = url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the client; connections are made on demand."""
        self._session = aiohttp.ClientSession()

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def read(
        self, name: str, *, after: int = 0, wait_s: float = 0.0
    ) -> PublishedValue | None:
        """Read a value (``services``, ``guests``, ``plans`` or ``vms``).

        Waits up to ``wait_s`` seconds for a version above ``after``, and returns None if none was
        published by then. Raises PlatformUnavailableError.
        """
        path = "vms" if name == "vms" else f"values/{name}"
        url = f"{self._url}/v1/{path}"
        if self._session is None:
            raise PlatformUnavailableError(url=url, reason="the client is not started")
        timeout = aiohttp.ClientTimeout(total=wait_s + _MARGIN_S)
        parameters = {"after": str(after), "wait": f"{wait_s:g}"}
        try:
            async with self._session.get(url, params=parameters, timeout=timeout) as answer:
                if answer.status == _NOT_MODIFIED:
                    return None
                if answer.status != _OK:
                    raise PlatformUnavailableError(url=url, reason=f"status {answer.status}")
                version = int(answer.headers["version"])
                return PublishedValue(version, await answer.read())
        except (TimeoutError, aiohttp.ClientError, KeyError, ValueError) as error:
            reason = str(error) or type(error).__name__
            raise PlatformUnavailableError(url=url, reason=reason) from error
