"""Client requests and their connections, as passed to handlers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from laburnumbridge.core import PlanName

MAX_BUFFERED_BODY_BYTES = 4 * 1024 * 1024


class RequestBody:
    """Body of a request, buffered as it arrives.

    ``put`` returns False over MAX_BUFFERED_BODY_BYTES, so that the caller can bound the memory.
    """

    def __init__(self) -> None:
        self._chunks: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._buffered = 0

    def put(self, chunk: bytes) -> bool:
        """Add a chunk; return False if more bytes than the limit are buffered."""
        self._buffered += len(chunk)
        self._chunks.put_nowait(chunk)
        return self._buffered <= MAX_BUFFERED_BODY_BYTES

    def finish(self) -> None:
        """Mark the end of the body."""
        self._chunks.put_nowait(None)

    async def __aiter__(self) -> AsyncIterator[bytes]:
        while True:
            chunk = await self._chunks.get()
            if chunk is None:
                return
            self._buffered -= len(chunk)
            yield chunk

    async def read(self, limit: int) -> bytes | None:
        """Return the whole body, or None if it is longer than ``limit`` bytes."""
        parts = []
        size = 0
        async for chunk in self:
            size += len(chunk)
            if size > limit:
                return None
            parts.append(chunk)
        return b"".join(parts)


@dataclass(kw_only=True, slots=True, eq=False)
class ConnectionRecord:
    """State that handlers keep for a client's connection.

    ``connection_id`` is the destination ID of the client's first packet. ``plan`` is None until
    the connection counts against a plan; ``admission_lock`` serialises that step.
    """

    connection_id: bytes
    plan: PlanName | None = None
    admission_lock: asyncio.Lock = field(default_factory=asyncio.Lock)


@dataclass(frozen=True, kw_only=True, slots=True)
class ClientRequest:
    """Head and body of a request; header names are lower case, ``source`` is an IP address."""

    request_id: str
    method: str
    path: str
    authority: str
    headers: tuple[tuple[str, str], ...]
    source: str
    connection: ConnectionRecord
    body: RequestBody = field(default_factory=RequestBody)

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None if it is missing."""
        return next((value for key, value in self.headers if key == name), None)
