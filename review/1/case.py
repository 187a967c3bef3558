"""An entry that can't be read ends all reading of the store."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins.fleet import CONFIG_S
from review.standins.fleet import DRAIN_S
from review.standins.fleet import Fleet
from review.standins.fleet import route
from review.standins.fleet import run_case

HOST = "127.0.200.1"
ENTRY_BY_VARIANT = {
    "nested": b'{"x":' + b"[" * 2_000,
    "address": (
        b'{"service":"other","address":"127.0.200.9:'
        + b"9" * 5_000
        + b'","zone":"midland","slots":4,"state":"ready"}'
    ),
}
ENTRY = ENTRY_BY_VARIANT[os.environ.get("VARIANT", "nested")]
ENTRY_S = 6.0
REFUSALS = ("reset by system while opening", "never opened")
"""Without a route, "the result is either a reset or no response"."""


async def attempt(fleet, port: int) -> tuple[float, str | None, str]:
    """Open a flow and send one request; return when it was sent, who ran it, and the end."""
    flow = fleet.clients.open(HOST, port)
    if await flow.wait(lambda: flow.is_open, 1.5):
        flow.request(body=b"x" * 900)
        await flow.wait(lambda: bool(flow.answers), 3.0)
        flow.finish()
    service = flow.answers[0][1] if flow.answers else None
    backend = flow.answers[0][2] if flow.answers else ""
    return flow.sent_at, service, backend or str(flow.outcome)


async def case(record, trouble: bool) -> list[str]:
    fleet = Fleet(record=record, services={"desk": 3, "archive": 2})
    broken = []
    try:
        desk = route("r-desk", HOST, 443, service="desk")
        fleet.configure([desk])
        await fleet.start()
        loop = asyncio.get_running_loop()
        for _ in range(5):
            await attempt(fleet, 443)
        if trouble:
            fleet.store.put("servers/other-writer", ENTRY)
            record("foreign-entry", "servers/other-writer", len(ENTRY), "bytes")
        await asyncio.sleep(ENTRY_S)
        if trouble:
            fleet.store.remove("servers/other-writer")
            record("foreign-entry-removed", "servers/other-writer")
        await asyncio.sleep(2.0)

        # A new version moves the route to another service, and adds a route.
        moved_at = fleet.configure(
            [
                route("r-desk", HOST, 443, service="archive"),
                route("r-new", HOST, 8443, service="desk"),
            ]
        )
        await asyncio.sleep(CONFIG_S + 1.0)
        for _ in range(10):
            sent_at, service, end = await attempt(fleet, 443)
            if service == "desk":
                broken.append(
                    f"CONFIG: sent {sent_at - moved_at:.1f} s after the acknowledgement of version "
                    f"{fleet.version}, run by the old service desk ({end})"
                )
            sent_at, service, end = await attempt(fleet, 8443)
            if end in REFUSALS:
                broken.append(
                    f"CONFIG: sent {sent_at - moved_at:.1f} s after the acknowledgement of version "
                    f"{fleet.version}, refused though its route is there ({end})"
                )

        # Two of three backends of the service drain.
        draining = [b for b in fleet.backends.values() if b.service == "desk"][:2]
        drained_at = max(backend.drain() for backend in draining)
        await asyncio.sleep(DRAIN_S + 1.0)
        for port in (443, 8443) * 8:
            sent_at, service, end = await attempt(fleet, port)
            if end in {backend.name for backend in draining}:
                broken.append(
                    f"DRAIN: sent {sent_at - drained_at:.1f} s after the acknowledgement that "
                    f"{end} drains, and run by it"
                )
        record("store-calls", fleet.store.calls, "by", loop.time())
    finally:
        fleet.close()
    return broken


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).parent))
