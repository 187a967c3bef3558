"""A service leaves the configuration, its route stays, and the machines are restarted in turn."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from fleet import Fleet  # noqa: E402
from fleet import run_case  # noqa: E402

FLOWS = 60
IDLE_TIMEOUT_S = 15.0
FLOW_MAX_S = 60.0
PAUSE_S = 13.0  # below the idle time-out
ROLL_GAP_S = 1.0
RESTART_S = 0.4
GRACE_S = 6.0


async def roll(fleet: Fleet, name: str) -> None:
    """Stop a machine's process with SIGTERM and start it again."""
    machine = fleet.machines[name]
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    fleet.record("SIGTERM", machine=name)
    machine.signal(signal.SIGTERM)
    while machine.is_running and loop.time() < began_at + GRACE_S:
        await asyncio.sleep(0.02)
    machine.end()
    await asyncio.sleep(RESTART_S)
    machine.start()
    fleet.record("started again", machine=name)
    await asyncio.sleep(max(began_at + ROLL_GAP_S - loop.time(), 0.0))


async def play(fleet: Fleet, *, has_trouble: bool) -> int:
    """Return the number of open flows that the system has reset, or -1."""
    route = (f"{fleet.prefix}.240", 443)
    loop = asyncio.get_running_loop()
    await fleet.configure({route: "desk"})
    await fleet.start()
    await fleet.wait_ready()
    flows = []
    for _ in range(FLOWS):
        flow = await fleet.clients.open(route)
        flows.append(flow)
        await fleet.clients.request(flow, "/first")
    await asyncio.sleep(2.0)
    # The route moves in both cases. With trouble the version doesn't list its old service.
    services = ("archive",) if has_trouble else ("desk", "archive")
    await fleet.configure({route: "archive"}, services=services)
    await asyncio.sleep(2.0)
    last_used: dict[int, float] = {}
    for flow in flows:
        _, answer = await fleet.clients.request(flow, "/second")
        last_used[flow.key[1]] = loop.time()
        if not answer.startswith("200 "):
            fleet.record("no service before the restarts", flow=flow.key, answer=answer)
            return -1
    paused_at = loop.time()
    agents = [name for name, machine in fleet.machines.items() if machine.role == "agent"]
    for name in (*agents, *fleet.balancer_names):
        await roll(fleet, name)
    await fleet.wait_ready()
    await asyncio.sleep(max(paused_at + PAUSE_S - loop.time(), 0.0))
    answers = await asyncio.gather(*(fleet.clients.request(flow, "/third") for flow in flows))
    wrong = 0
    for flow, (attempt, answer) in zip(flows, answers, strict=True):
        fleet.record("third request", flow=flow.key, attempt=attempt, how=answer)
        if flow.how != "reset by system" or flow.opened_at is None:
            continue
        holders = [
            backend
            for backend in fleet.backends.values()
            if backend.is_running and backend.holds(flow.key)
        ]
        idle_s = flow.ended_at - last_used[flow.key[1]]
        age_s = flow.ended_at - flow.opened_at
        if holders and idle_s < IDLE_TIMEOUT_S and age_s < FLOW_MAX_S:
            wrong += 1
            fleet.record(
                "open flow reset by the system",
                flow=flow.key,
                held_by=holders[0].name,
                idle_s=round(idle_s, 3),
                age_s=round(age_s, 3),
            )
    if not any(answer.startswith("200 ") for _, answer in answers):
        fleet.record("no flow was served after the restarts")
    return wrong


async def main() -> int:
    """Return the exit status."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = Fleet(folder=HERE, balancers=2, backends={"desk": 4, "archive": 2}, seeds=2)
    try:
        wrong = await asyncio.wait_for(play(fleet, has_trouble=has_trouble), 100)
        fleet.record("result", has_trouble=has_trouble, wrong=wrong)
    except (TimeoutError, OSError) as error:
        fleet.record("could not run", error=repr(error))
        return 2
    finally:
        await fleet.close()
    return 2 if wrong < 0 else int(wrong > 0)


if __name__ == "__main__":
    sys.exit(run_case(main))
