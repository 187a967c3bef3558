"""Processor time and memory of real processes without clients."""

from __future__ import annotations

import asyncio
import os
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING
from typing import ClassVar

from laburnumbridge.cli.benchmark import Benchmark
from laburnumbridge.standins.harness import Harness

if TYPE_CHECKING:
    from collections.abc import Mapping

    from laburnumbridge.cli.benchmark import Figure

SETTLE_S = 5.0
WINDOW_S = 20.0

# Fields of /proc/<pid>/stat, counted after the command's name: user and system time in ticks.
_USER_TIME = 11
_SYSTEM_TIME = 12


class IdleFleetBenchmark(Benchmark):
    """Runs the fleet of one user on loopback: 3 balancers, 11 agents and their upstreams."""

    name: ClassVar[str] = "idle_fleet"

    def run(self) -> Mapping[str, Figure]:
        """Measure processor time and resident memory by role, as means over the processes."""
        return {"idle_fleet": asyncio.run(self._measure())}

    async def _measure(self) -> dict[str, Figure]:
        with tempfile.TemporaryDirectory() as folder:
            harness = Harness(folder=Path(folder))
            try:
                await harness.start()
                await asyncio.sleep(SETTLE_S)
                before = _processor_s(harness)
                await asyncio.sleep(WINDOW_S)
                after = _processor_s(harness)
                figures: dict[str, Figure] = {}
                for role in ("balancer", "agent"):
                    names = [m.name for m in harness.machines_by_name.values() if m.role == role]
                    spent = [(after[name] - before[name]) / WINDOW_S * 100 for name in names]
                    resident = [_resident_mb(_pid(harness, name)) for name in names]
                    figures[f"{role}_cpu_pct"] = round(sum(spent) / len(spent), 2)
                    figures[f"{role}_resident_mb"] = round(sum(resident) / len(resident), 1)
                return figures
            finally:
                await harness.close()


def _pid(harness: Harness, name: str) -> int:
    return harness.machines_by_name[name].processes[-1].pid


def _processor_s(harness: Harness) -> dict[str, float]:
    return {name: _spent_s(_pid(harness, name)) for name in harness.machines_by_name}


def _spent_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    ticks = int(fields[_USER_TIME]) + int(fields[_SYSTEM_TIME])
    return ticks / os.sysconf("SC_CLK_TCK")


def _resident_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6
