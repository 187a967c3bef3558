"""A change of a large configuration while two of three seeds are cut off."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))
from fleet import Fleet, play, route_entry

HOST = "127.99.0.1"
ROUTES = int(os.environ.get("ROUTES", "4440"))  # 240 and three times 1,400
LINK_BYTES_PER_S = 5_000_000 / 8
CUT_S = float(os.environ.get("CUT_S", "12"))
BOUNDS = {"drain_ms": 5000, "config_apply_ms": 5000, "stability_window_ms": 5000}
APPLY_S = BOUNDS["config_apply_ms"] / 1000


async def case(trouble, fleets):
    fleet = Fleet(
        edges=["edge-1", "edge-2", "edge-3", "edge-4"],
        sides={"side-1": "desk", "side-2": "desk", "side-3": "desk"},
        seeds=["edge-2", "edge-3", "edge-4"],
        extra_bounds=BOUNDS,
        rates={"edge-1": LINK_BYTES_PER_S},
    )
    fleets.append(fleet)
    await fleet.start_stand_ins()
    idle = [route_entry(f"r-{n:07x}", f"127.98.{n // 200}.{n % 200 + 1}", 8443, "desk") for n in range(ROUTES)]
    kept = route_entry("kept", HOST, 443, "desk")
    first = [kept, route_entry("dropped", HOST, 1001, "desk")]
    fleet.configure(first, services=["desk"])
    for machine in fleet.machines.values():
        machine.start()
    if not await fleet.wait(lambda: len(fleet.rotation) == 4, 15):
        return 2, "not all edge machines became ready"
    # Set-up, also without the disruption: edge-1 starts anew while all seeds serve, so that it connects
    # to those two of them that it prefers. All machines are in touch again before the seeds are cut off.
    node = fleet.machines["edge-1"]
    node.send(signal.SIGTERM)
    while node.process.poll() is None:
        await asyncio.sleep(0.02)
    node.start()
    await asyncio.sleep(3)
    for number in range(3):
        fleet.configure([*first, *idle[: ROUTES * (number + 1) // 3]], services=["desk"])
        await asyncio.sleep(2)
    size = len(fleet.store.items["op/config"]["value"])
    fleet.record(f"op/config has {size * 3 // 4} bytes, {size} as base64")
    linked = fleet.machines["edge-1"].linked_peers()
    cut = [seed for (name, seed), (address, _) in fleet.seed_proxies.items() if name == "edge-1" and address in linked]
    if len(cut) != 2:
        return 2, f"edge-1 is connected to {cut}"
    if trouble:
        for name in cut:
            fleet.cut(name, is_cut=True)

        async def heal():
            await asyncio.sleep(CUT_S)
            for name in cut:
                fleet.cut(name, is_cut=False)

        fleet.tasks.append(asyncio.create_task(heal()))
    await asyncio.sleep(0.1)
    new = [kept, route_entry("added", HOST, 1002, "desk"), *idle]
    acknowledged = fleet.configure(new, services=["desk"])
    probes = []
    while time.monotonic() < acknowledged + 14:
        for port in (443, 1001, 1002):
            probes.append(asyncio.create_task(fleet.client.request(HOST, port, node="edge-1")))
        await asyncio.sleep(0.2)
    attempts = [await probe for probe in probes]
    late = [one for one in attempts if one.sent > acknowledged + APPLY_S]
    refused = [one for one in late if one.name.endswith(":1002") and one.outcome == "reset by the system"]
    taken = {name for backend in fleet.backends.values() for _, name in backend.taken}
    dropped = [one for one in late if one.name.endswith(":1001") and one.name in taken]
    latest = max((one.sent - acknowledged for one in refused + dropped), default=0.0)
    text = (
        f"of {len(late)} requests sent through edge-1 more than {APPLY_S:g} s after the acknowledgement,"
        f" {len(refused)} for the added route were refused and {len(dropped)} for the dropped route were"
        f" run; the last was sent {latest:.2f} s after it"
    )
    return int(bool(refused or dropped)), text


play(case, HERE)
