"""Ten minutes of fleet changes: what breaks for clients and how much memory processes gain."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

import typer

from laburnumbridge.standins.client_fleet import ClientFleet
from laburnumbridge.standins.harness import Harness

STEP_S = 15.0
SAMPLE_S = 30.0
FABRIC_DETECTION_S = 1.0

_PAGE_KB = 4


class Soak:
    """Changes the fleet at intervals while clients keep flows open and send requests."""

    def __init__(self, *, harness: Harness, flows: int) -> None:
        self._harness = harness
        self._fleet = ClientFleet(
            harness=harness, service="workshop-desk", flows=flows, requests_per_s=20
        )
        self._rss_kb: dict[str, list[int]] = {}
        self._absent: tuple[str, ...] = ()

    async def run(self, seconds: float) -> dict[str, object]:
        """Run for ``seconds`` and return the figures."""
        await self._harness.start()
        await self._fleet.start()
        sampler = asyncio.create_task(self._sample())
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        round_number = 0
        while loop.time() < until:
            await self._change(round_number)
            round_number += 1
            await asyncio.sleep(STEP_S)
        sampler.cancel()
        imbalance = round(self._fleet.outcomes.imbalance, 3)
        await self._fleet.close()
        return {**await self._figures(seconds, round_number), "imbalance_at_end": imbalance}

    async def _change(self, number: int) -> None:
        """Kill or restart a balancer, or publish the plans and drain an upstream, or restart it."""
        match number % 4:
            case 0:
                await self._kill_balancer(f"balancer-{number // 4 % 3 + 1}")
            case 1:
                await self._restart_balancers()
            case 2:
                await self._harness.publish("plans")
                await self._set_state("workshop-desk-2", "leaving")
            case _:
                await self._set_state("workshop-desk-2", "live")

    async def _kill_balancer(self, name: str) -> None:
        self._harness.signal(name, signal.SIGKILL)
        self._absent = (name,)
        await asyncio.sleep(FABRIC_DETECTION_S)
        await self._harness.publish_balancers(without=self._absent)
        await self._harness.publish_vms(without=self._absent)

    async def _restart_balancers(self) -> None:
        for name in self._absent:
            machine = self._harness.machines_by_name[name]
            self._harness.start_machine(machine)
            await self._harness.wait_ready(machine)
        self._absent = ()
        await self._harness.publish_balancers()
        await self._harness.publish_vms()

    async def _set_state(self, name: str, state: str) -> None:
        machine = self._harness.machines_by_name[name]
        if state == "live":
            # A returning VM is a new one: its agent starts again with a new incarnation.
            self._harness.signal(name, signal.SIGTERM)
            for process in machine.processes:
                await asyncio.to_thread(process.wait)
            machine.state = state
            self._harness.start_machine(machine)
            await self._harness.wait_ready(machine)
        machine.state = state
        await self._harness.publish_vms(without=self._absent)

    async def _sample(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_S)
            for name, machine in self._harness.machines_by_name.items():
                process = machine.processes[-1]
                statm = Path(f"/proc/{process.pid}/statm")
                if process.poll() is None and statm.exists():
                    resident = int(statm.read_text().split()[1]) * _PAGE_KB
                    self._rss_kb.setdefault(name, []).append(resident)

    async def _figures(self, seconds: float, changes: int) -> dict[str, object]:
        runs: Counter[str] = Counter()
        for name, machine in self._harness.machines_by_name.items():
            if machine.service == "workshop-desk":
                runs.update(await self._harness.upstream_runs(name))
        outcomes = self._fleet.outcomes
        steady = ("workshop-desk-1", "workshop-desk-5")
        return {
            "seconds": seconds,
            "changes": changes,
            "flows_opened": outcomes.opened,
            "flows_broken": outcomes.broken,
            "break_reasons": dict(outcomes.break_reasons),
            "flows_moved": outcomes.moved,
            "wrong_service": outcomes.wrong_service,
            "readings_sent": outcomes.readings_sent,
            "readings_answered": outcomes.readings_answered,
            "requests_run": outcomes.requests_run,
            "requests_unknown": outcomes.requests_unknown,
            "answers_cut": outcomes.requests_cut,
            "refused": dict(outcomes.refused_by_reason),
            "requests_doubled": sum(count > 1 for count in runs.values()),
            "rss_kb": {name: self._rss_kb.get(name, []) for name in steady},
            "rss_slope_kb_per_minute": {
                name: round(_slope(self._rss_kb.get(name, [])) * 60 / SAMPLE_S, 1)
                for name in steady
            },
        }


def _slope(samples: list[int]) -> float:
    """Return the least-squares growth per sample in KB, without the first (warm-up) sample.

    Returns 0 if fewer than two samples are left.
    """
    settled = samples[1:]
    if len(settled) < 2:
        return 0.0
    middle = (len(settled) - 1) / 2
    mean = sum(settled) / len(settled)
    top = sum((x - middle) * (y - mean) for x, y in enumerate(settled))
    return top / sum((x - middle) ** 2 for x in range(len(settled)))


async def soak(seconds: float, flows: int) -> dict[str, object]:
    """Run the soak in a temporary folder and return its figures."""
    with tempfile.TemporaryDirectory() as folder:
        harness = Harness(folder=Path(folder))
        try:
            return await Soak(harness=harness, flows=flows).run(seconds)
        finally:
            await harness.close()


def main(output: Path, seconds: float = 600.0, flows: int = 200) -> None:
    """Write the figures as JSON; the exit status is 0 if no flow broke and no request ran twice."""
    figures = asyncio.run(soak(seconds, flows))
    output.write_text(json.dumps(figures, indent=2) + "\n")
    typer.echo(output.read_text())
    sys.exit(1 if figures["flows_broken"] or figures["requests_doubled"] else 0)


if __name__ == "__main__":
    typer.run(main)
