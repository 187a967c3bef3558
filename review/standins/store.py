"""The platform's store: items, ranges and watches over HTTP/1.1."""

from __future__ import annotations

import asyncio
import base64
import json
from urllib.parse import parse_qs
from urllib.parse import urlsplit

ANSWER_S = 0.004
HISTORY_S = 20.0
PAGE_ITEMS = 500


class Store:
    """Writes come from the operator and the backends of the same process; nodes only read."""

    def __init__(self, *, address: tuple[str, int], record) -> None:
        self.address = address
        self._record = record
        self.revision = 10
        self._items: dict[str, dict] = {}
        self._events: list[tuple[float, dict]] = []
        self._oldest = self.revision
        self._changed = asyncio.Event()
        self.calls = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, *self.address)

    def close(self) -> None:
        self._server.close()

    def put(self, key: str, value: bytes) -> float:
        """Write an item; the return is the acknowledgement, with its time."""
        self.revision += 1
        created = self._items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self._items[key] = item
        return self._note(item)

    def remove(self, key: str) -> float:
        self.revision += 1
        self._items.pop(key, None)
        return self._note({"key": key, "revision": self.revision, "removed": True})

    def _note(self, event: dict) -> float:
        now = asyncio.get_running_loop().time()
        self._events.append((now, event))
        while self._events and now - self._events[0][0] > HISTORY_S:
            self._oldest = self._events.pop(0)[1]["revision"]
        self._changed.set()
        self._changed = asyncio.Event()
        return now

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                self.calls += 1
                status, body = await self._answer(target)
                await asyncio.sleep(ANSWER_S)
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, target: str) -> tuple[int, dict]:
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if parts.path == "/kv-key":
            item = self._items.get(query["key"])
            return (404, {}) if item is None else (200, {**item, "current_rev": self.revision})
        prefix = query.get("prefix", "")
        if parts.path == "/kv-range":
            keys = sorted(k for k in self._items if k.startswith(prefix))
            keys = [key for key in keys if key > query.get("after", "")]
            return 200, {
                "items": [self._items[key] for key in keys[:PAGE_ITEMS]],
                "has_more": len(keys) > PAGE_ITEMS,
                "current_rev": self.revision,
            }
        if parts.path != "/kv-watch":
            return 404, {}
        loop = asyncio.get_running_loop()
        after, until = int(query["after"]), loop.time() + int(query["wait_ms"]) / 1000
        while True:
            if after < self._oldest or after > self.revision:
                return 410, {}
            events = [
                event
                for _, event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = until - loop.time()
            if events or left_s <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass
