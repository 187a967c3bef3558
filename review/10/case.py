"""Two services are configured whose names have the same CRC-32."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from fleet import Fleet  # noqa: E402
from fleet import run_case  # noqa: E402

FIRST_SERVICE = "bume57c"
COLLIDING_SERVICE = "niki49e"  # the CRC-32 of both is the same
OTHER_SERVICE = "niki48e"
REQUESTS = 40
PAUSE_S = 0.05


async def play(fleet: Fleet, services: tuple[str, str]) -> int:
    """Return the number of requests that a service without a route to it has run, or -1."""
    first_route = (f"{fleet.prefix}.240", 443)
    second_route = (f"{fleet.prefix}.241", 8_443)
    service_by_route = {first_route: services[0], second_route: services[1]}
    await fleet.configure(service_by_route, services=services)
    await fleet.start()
    await fleet.wait_ready()
    await asyncio.sleep(1.0)
    service_by_attempt: dict[str, str] = {}
    served = 0
    for number in range(REQUESTS):
        for route, service in service_by_route.items():
            attempt = fleet.clients.new_attempt()
            service_by_attempt[attempt] = service
            flow = await fleet.clients.open(route)
            if flow.how:
                fleet.record("not opened", attempt=attempt, how=flow.how)
                continue
            _, answer = await fleet.clients.request(flow, f"/read-{number}", attempt=attempt)
            fleet.clients.finish(flow)
            served += answer.startswith("200 ")
            fleet.record("answer", attempt=attempt, route=route, how=answer)
        await asyncio.sleep(PAUSE_S)
    wrong = 0
    for backend in fleet.backends.values():
        for _, attempt, _ in backend.runs:
            if service_by_attempt[attempt] != backend.service:
                wrong += 1
                fleet.record(
                    "run by another service",
                    attempt=attempt,
                    routed_to=service_by_attempt[attempt],
                    run_by=backend.service,
                    backend=backend.name,
                )
    fleet.record("requests", served=served)
    return wrong if served else -1


async def main() -> int:
    """Return the exit status."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    services = (FIRST_SERVICE, COLLIDING_SERVICE if has_trouble else OTHER_SERVICE)
    fleet = Fleet(folder=HERE, balancers=2, backends=dict.fromkeys(services, 2), seeds=2)
    try:
        wrong = await asyncio.wait_for(play(fleet, services), 60)
        fleet.record("result", has_trouble=has_trouble, wrong=wrong)
    except (TimeoutError, OSError) as error:
        fleet.record("could not run", error=repr(error))
        return 2
    finally:
        await fleet.close()
    return 2 if wrong < 0 else int(wrong > 0)


if __name__ == "__main__":
    sys.exit(run_case(main))
