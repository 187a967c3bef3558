"""Demonstration: the whole system on loopback addresses, under planned and unplanned changes."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

import typer
from rich.console import Console
from rich.live import Live
from rich.table import Table

from laburnumbridge.standins.client_fleet import ClientFleet
from laburnumbridge.standins.harness import Harness

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

REFRESH_S = 0.5
FREEZE_S = 5.0
FABRIC_DETECTION_S = 1.0
SETTLE_S = 3.0


class Demonstration:
    """Runs clients against the harness while the fleet changes."""

    def __init__(self, *, harness: Harness, flows: int, console: Console) -> None:
        self._harness = harness
        self._console = console
        self._desk = ClientFleet(
            harness=harness, service="workshop-desk", flows=flows, requests_per_s=20
        )
        self._store = ClientFleet(
            harness=harness, service="certificate-store", flows=flows // 4, requests_per_s=10
        )
        self._step = "starting"

    async def run(self) -> bool:
        """Return True if no flow broke, no answer was cut and none came from the wrong service."""
        await self._harness.start()
        with Live(self._table(), console=self._console, refresh_per_second=4) as live:
            refresh = asyncio.create_task(self._refresh(live))
            try:
                self._step = "opening flows"
                await asyncio.gather(self._desk.start(), self._store.start())
                for name, step in self._steps():
                    self._step = name
                    await step()
                    await asyncio.sleep(SETTLE_S)
                self._step = "done"
                live.update(self._table())
            finally:
                refresh.cancel()
                await asyncio.gather(self._desk.close(), self._store.close())
        return self._summarise()

    def _steps(self) -> list[tuple[str, Callable[[], Awaitable[None]]]]:
        return [
            ("balancer-1 killed", self._kill_balancer),
            ("balancer-2 frozen for 5 s", self._freeze_balancer),
            ("balancer-4 added", self._add_balancer),
            ("platform down for 5 s", self._stop_platform),
            ("workshop-desk-3 leaving", self._drain_upstream),
        ]

    async def _kill_balancer(self) -> None:
        self._harness.signal("balancer-1", signal.SIGKILL)
        await asyncio.sleep(FABRIC_DETECTION_S)
        await self._harness.publish_balancers(without=("balancer-1",))
        await self._harness.publish_vms(without=("balancer-1",))

    async def _freeze_balancer(self) -> None:
        self._harness.signal("balancer-2", signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        self._harness.signal("balancer-2", signal.SIGCONT)

    async def _add_balancer(self) -> None:
        machine = self._harness.add_balancer()
        self._harness.start_machine(machine)
        await self._harness.wait_ready(machine)
        await self._harness.publish_balancers(without=("balancer-1",))
        await self._harness.publish_vms(without=("balancer-1",))

    async def _stop_platform(self) -> None:
        await self._harness.set_platform_faults(down=True)
        await asyncio.sleep(FREEZE_S)
        await self._harness.set_platform_faults()

    async def _drain_upstream(self) -> None:
        self._harness.machines_by_name["workshop-desk-3"].state = "leaving"
        await self._harness.publish_vms(without=("balancer-1",))

    async def _refresh(self, live: Live) -> None:
        while True:
            live.update(self._table())
            await asyncio.sleep(REFRESH_S)

    def _table(self) -> Table:
        table = Table(title=f"laburnumbridge: {self._step}")
        for column in ("figure", "workshop-desk", "certificate-store"):
            table.add_column(column)
        desk, store = self._desk.outcomes, self._store.outcomes
        for name, attribute in (
            ("flows opened", "opened"),
            ("flows broken", "broken"),
            ("flows moved on request", "moved"),
            ("wrong service", "wrong_service"),
            ("readings sent", "readings_sent"),
            ("readings answered", "readings_answered"),
            ("requests run", "requests_run"),
            ("answers cut", "requests_cut"),
            ("outcome unknown", "requests_unknown"),
        ):
            table.add_row(name, str(getattr(desk, attribute)), str(getattr(store, attribute)))
        refused = [
            ", ".join(f"{n} {r}" for r, n in s.refused_by_reason.items()) for s in (desk, store)
        ]
        table.add_row("requests refused", *(text or "0" for text in refused))
        table.add_row("imbalance (max/mean)", f"{desk.imbalance:.2f}", f"{store.imbalance:.2f}")
        return table

    def _summarise(self) -> bool:
        outcomes = (self._desk.outcomes, self._store.outcomes)
        broken = sum(s.broken + s.wrong_service + s.requests_cut for s in outcomes)
        for client_outcomes in outcomes:
            for reason, count in client_outcomes.break_reasons.items():
                self._console.print(f"broken: {count} x {reason}")
        result = "nothing broke" if not broken else f"{broken} faults"
        opened = sum(s.opened for s in outcomes)
        run = sum(s.requests_run for s in outcomes)
        self._console.print(f"{opened} flows opened, {run} requests run: {result}")
        return not broken


async def demonstrate(flows: int) -> bool:
    """Run the demonstration in a temporary folder and return whether nothing broke."""
    with tempfile.TemporaryDirectory() as folder:
        harness = Harness(folder=Path(folder))
        try:
            return await Demonstration(harness=harness, flows=flows, console=Console()).run()
        finally:
            await harness.close()


def main(flows: int = 200) -> None:
    """Run the demonstration; the exit status is 0 only if nothing broke."""
    sys.exit(0 if asyncio.run(demonstrate(flows)) else 1)


if __name__ == "__main__":
    typer.run(main)
