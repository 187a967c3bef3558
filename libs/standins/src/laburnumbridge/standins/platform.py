"""Stand-in for the platform: the published lists, with watches by long poll.

``GET /v1/values/<name>`` and ``GET /v1/vms`` take ``after`` and ``wait`` (seconds). The paths
below ``/operator`` are for the harness: ``PUT /operator/values/<name>`` publishes a value and
``PUT /operator/faults`` sets ``{"down": bool, "stale": bool}``.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path  # noqa: TC003, typer reads annotations at run time

import typer
from aiohttp import web

MAX_VALUE_BYTES = 1024 * 1024


@dataclass(slots=True)
class Published:
    """A value, the one before it, and the event that watches wait for."""

    version: int = 0
    payload: bytes = b""
    previous: tuple[int, bytes] = (0, b"")
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class PlatformStandIn:
    """Keeps the published values in memory and counts reads."""

    def __init__(self) -> None:
        self._by_name: dict[str, Published] = {}
        self._down = False
        self._stale = False
        self.reads = 0

    def publish(self, name: str, payload: bytes) -> int:
        """Publish a value and return its version."""
        value = self._by_name.setdefault(name, Published())
        value.previous = (value.version, value.payload)
        value.version += 1
        value.payload = payload
        value.changed.set()
        value.changed = asyncio.Event()
        return value.version

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=MAX_VALUE_BYTES)
        application.add_routes(
            [
                web.get("/v1/values/{name}", self._read),
                web.get("/v1/vms", self._read),
                web.put("/operator/values/{name}", self._publish),
                web.put("/operator/faults", self._set_faults),
                web.get("/operator/reads", self._count),
            ]
        )
        return application

    async def _read(self, request: web.Request) -> web.Response:
        self.reads += 1
        if self._down:
            return web.Response(status=503)
        name = request.match_info.get("name", "vms")
        after = int(request.query.get("after", "0"))
        wait_s = float(request.query.get("wait", "0"))
        value = self._by_name.setdefault(name, Published())
        if value.version <= after and wait_s > 0:
            try:
                await asyncio.wait_for(value.changed.wait(), wait_s)
            except TimeoutError:
                return web.Response(status=304)
        if self._down:
            return web.Response(status=503)
        version, payload = (value.version, value.payload)
        if self._stale and value.previous[0]:
            version, payload = value.previous
            return web.Response(body=payload, headers={"version": str(version)})
        if version <= after:
            return web.Response(status=304)
        return web.Response(body=payload, headers={"version": str(version)})

    async def _publish(self, request: web.Request) -> web.Response:
        version = self.publish(request.match_info["name"], await request.read())
        return web.json_response({"version": version})

    async def _set_faults(self, request: web.Request) -> web.Response:
        faults = await request.json()
        self._down = bool(faults.get("down", False))
        self._stale = bool(faults.get("stale", False))
        return web.json_response({"down": self._down, "stale": self._stale})

    async def _count(self, _request: web.Request) -> web.Response:
        return web.json_response({"reads": self.reads})


def main(host: str, port: int, lists: Path) -> None:
    """Serve the lists in a JSON file (an object of values by name)."""
    standin = PlatformStandIn()
    for name, value in json.loads(lists.read_bytes()).items():
        standin.publish(name, json.dumps(value).encode())
    web.run_app(standin.application(), host=host, port=port, print=None, access_log=None)


if __name__ == "__main__":
    typer.run(main)
