"""The platform's store: items at revisions, listings and watches over HTTP/1.1."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
from urllib.parse import parse_qs
from urllib.parse import urlsplit

ANSWER_DELAY_S = 0.004
PAGE_ITEMS = 500


class Store:
    """Keeps items in memory and answers reads.

    A caller is known by the address that it connects to. ``refused`` has the addresses of callers
    that are turned away with 503, ``silent`` those whose calls get no answer.
    """

    def __init__(self) -> None:
        self.revision = 100
        self.items: dict[str, dict[str, object]] = {}
        self._events: list[dict[str, object]] = []
        self._changed = asyncio.Condition()
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.refused: set[str] = set()
        self.silent: set[str] = set()
        self.calls: list[tuple[float, str, str]] = []

    async def listen(self, address: str, port: int) -> None:
        """Serve the caller that connects to ``address``."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._tasks.add(task)
            try:
                await self._serve(address, reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass
            finally:
                self._tasks.discard(task)
                writer.close()

        self._servers.append(await asyncio.start_server(serve, address, port))

    async def close(self) -> None:
        """Stop serving."""
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def put(self, key: str, value: bytes) -> float:
        """Write an item and return the time of the acknowledgement."""
        async with self._changed:
            self.revision += 1
            created = self.items.get(key, {}).get("created", self.revision)
            item: dict[str, object] = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": created,
                "lease": 0,
            }
            self.items[key] = item
            self._events.append(item)
            self._changed.notify_all()
        return asyncio.get_running_loop().time()

    async def put_entry(self, key: str, entry: dict[str, object]) -> float:
        """Write an entry of a backend; one that differs only by ``seq`` is no change."""
        known = self.items.get(key)
        with contextlib.suppress(ValueError):
            written = json.loads(base64.b64decode(str(known["value"]))) if known else None
            if isinstance(written, dict) and {**written, "seq": 0} == {**entry, "seq": 0}:
                return asyncio.get_running_loop().time()
        return await self.put(key, json.dumps(entry).encode())

    async def remove(self, key: str) -> None:
        """Remove an item."""
        async with self._changed:
            if self.items.pop(key, None) is None:
                return
            self.revision += 1
            self._events.append({"key": key, "revision": self.revision, "removed": True})
            self._changed.notify_all()

    async def _serve(
        self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ", 2)[1].decode()
            self.calls.append((asyncio.get_running_loop().time(), address, target))
            if address in self.silent:
                await asyncio.sleep(3_600)
            if address in self.refused:
                status, body = 503, {}
            else:
                status, body = await self._answer(target)
            if address in self.silent:
                await asyncio.sleep(3_600)
            await asyncio.sleep(ANSWER_DELAY_S)
            payload = json.dumps(body).encode()
            writer.write(
                f"HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(payload)}\r\n\r\n".encode() + payload
            )
            await writer.drain()

    async def _answer(self, target: str) -> tuple[int, dict[str, object]]:
        parts = urlsplit(target)
        query = parse_qs(parts.query, keep_blank_values=True)
        prefix = query.get("prefix", [""])[0]
        if parts.path == "/kv-range":
            after = query.get("after", [""])[0]
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items = [self.items[key] for key in keys[:PAGE_ITEMS]]
            return 200, {
                "items": items,
                "has_more": len(keys) > PAGE_ITEMS,
                "current_rev": self.revision,
            }
        if parts.path == "/kv-watch":
            return 200, await self._watch(
                prefix, int(query["after"][0]), int(query["wait_ms"][0]) / 1_000
            )
        return 404, {}

    async def _watch(self, prefix: str, after: int, wait_s: float) -> dict[str, object]:
        def found() -> list[dict[str, object]]:
            return [
                event
                for event in self._events
                if int(str(event["revision"])) > after and str(event["key"]).startswith(prefix)
            ]

        async with self._changed:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait_for(lambda: bool(found())), wait_s)
            return {"events": found(), "current_rev": self.revision}
