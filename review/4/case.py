"""An entry of a service that isn't configured hides the backend on the same machine."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins.fleet import WINDOW_S
from review.standins.fleet import ZONE
from review.standins.fleet import Fleet
from review.standins.fleet import route
from review.standins.fleet import run_case

HOST = "127.0.200.1"
FLOWS = 60
PAUSE_S = 0.5
RESET_WHILE_OPEN = "reset by system while open"


async def use(flow, stop: asyncio.Event) -> None:
    """Send a request on the open flow, wait for the answer, pause, and so on."""
    while not stop.is_set() and flow.outcome is None:
        answered = len(flow.answers)
        flow.request(method="GET")
        await flow.wait(lambda: len(flow.answers) > answered, 10.0)
        await asyncio.sleep(PAUSE_S)


async def case(record, trouble: bool) -> list[str]:
    fleet = Fleet(record=record, services={"desk": 3}, balancers=4)
    broken = []
    try:
        fleet.configure([route("r-desk", HOST, 443, service="desk", kind="safe")])
        await fleet.start()
        flows = [fleet.clients.open(HOST, 443) for _ in range(FLOWS)]
        stop = asyncio.Event()
        for flow in flows:
            assert await flow.wait(lambda flow=flow: flow.is_open, 2.0), "a flow didn't open"
        users = [asyncio.create_task(use(flow, stop)) for flow in flows]
        await asyncio.sleep(WINDOW_S)
        if trouble:
            entry = {
                "service": "exporter",
                "address": f"{fleet.agent_addresses[0]}:9100",
                "zone": ZONE,
                "version": "v1",
                "slots": 1,
                "state": "ready",
                "warmup_left_ms": 0,
                "seq": 1,
            }
            fleet.store.put("servers/other-writer", json.dumps(entry).encode())
            record("foreign-entry", json.dumps(entry))
        await asyncio.sleep(WINDOW_S)
        for address in fleet.balancer_addresses:
            await fleet.nodes[address].restart()
            await asyncio.sleep(1.2)
        await asyncio.sleep(3.0)
        stop.set()
        for flow in flows:
            if flow.answers and flow.outcome == RESET_WHILE_OPEN:
                backend = {answer[2] for answer in flow.answers}
                broken.append(
                    f"FLOW: the flow from port {flow.port} at {', '.join(backend)} was "
                    f"{flow.outcome}"
                )
        for user in users:
            user.cancel()
    finally:
        fleet.close()
    return broken


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).parent))
