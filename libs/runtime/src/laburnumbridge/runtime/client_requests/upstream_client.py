"""Calls the upstream beside the agent."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
from yarl import URL

from laburnumbridge.runtime.errors import UpstreamLostError
from laburnumbridge.runtime.errors import UpstreamNotReachedError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from contextlib import AbstractAsyncContextManager

    from laburnumbridge.runtime.client_requests.client_request import RequestBody

# Fields that belong to one hop (RFC 9110 section 7.6.1) and those that aiohttp sets itself.
HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
CONNECT_TIMEOUT_S = 1.0
STATUSES_WITHOUT_BODY = frozenset({204, 304})


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamRequest:
    """Request to the upstream; a ``RequestBody`` is streamed as it arrives."""

    method: str
    path: str
    authority: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | RequestBody


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamAnswer:
    """Head of a response, and its body as it arrives.

    The body raises UpstreamLostError if it ends early, or if its end can't be told from a loss.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: AsyncIterator[bytes]

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None if it is missing."""
        return next((value for key, value in self.headers if key == name), None)


class UpstreamClient(ABC):
    """Sends requests to one upstream."""

    @abstractmethod
    def send(self, request: UpstreamRequest) -> AbstractAsyncContextManager[UpstreamAnswer]:
        """Send a request.

        Raises UpstreamNotReachedError if no connection was established, and UpstreamLostError if
        the request may have started. Leaving the context cancels a running request.
        """


class HttpUpstreamClient(UpstreamClient):
    """HTTP/1.1 over TCP.

    Every request uses its own connection. On a reused one, a close by the upstream can't be
    distinguished from a loss after the request started, so outcomes would needlessly be unknown.
    """

    def __init__(self, *, url: str) -> None:
        self._url = url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the client; connections are made on demand."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, limit=0),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            auto_decompress=False,
        )

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    @asynccontextmanager
    async def send(self, request: UpstreamRequest) -> AsyncIterator[UpstreamAnswer]:
        """Send a request and yield the response."""
        if self._session is None:
            raise UpstreamNotReachedError(url=self._url, reason="the client is not started")
        headers = [pair for pair in request.headers if pair[0] not in HOP_HEADERS]
        headers.append(("host", request.authority))
        try:
            async with self._session.request(
                request.method,
                # Encoded already: the upstream gets the path as the client has written it.
                URL(self._url + request.path, encoded=True),
                headers=headers,
                data=request.body or None,
                allow_redirects=False,
            ) as answer:
                yield UpstreamAnswer(
                    status=answer.status,
                    headers=tuple(
                        (name.lower(), value)
                        for name, value in answer.headers.items()
                        if name.lower() not in HOP_HEADERS
                    ),
                    body=self._read(answer),
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise UpstreamNotReachedError(url=self._url, reason=str(error)) from error
        except (aiohttp.ClientError, ConnectionError) as error:
            reason = str(error) or type(error).__name__
            raise UpstreamLostError(url=self._url, reason=reason) from error

    async def _read(self, answer: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
        try:
            async for chunk in answer.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, ConnectionError) as error:
            reason = str(error) or type(error).__name__
            raise UpstreamLostError(url=self._url, reason=reason) from error
        if not _has_framed_body(answer):
            raise UpstreamLostError(url=self._url, reason="the answer has no length")


def _has_framed_body(answer: aiohttp.ClientResponse) -> bool:
    """Return False if only the end of the connection ends the body (RFC 9112 section 6.3).

    The connection also ends when the upstream's process dies halfway.
    """
    if answer.method == "HEAD" or answer.status in STATUSES_WITHOUT_BODY:
        return True
    return "content-length" in answer.headers or "transfer-encoding" in answer.headers
