"""Hops of a search for a flow, and memory of flows and processes."""

from __future__ import annotations

import subprocess
import sys
import tracemalloc
from typing import TYPE_CHECKING
from typing import ClassVar

from laburnumbridge.cli.benchmark import Benchmark
from laburnumbridge.flows import AgentRanking
from laburnumbridge.flows import ExpiringMap
from laburnumbridge.flows import FlowKey
from laburnumbridge.flows import FlowTracker
from laburnumbridge.flows import OutlierDetector

if TYPE_CHECKING:
    from collections.abc import Mapping

    from laburnumbridge.cli.benchmark import Figure

SIZES = (10, 100, 1_000)
FLOWS = 200
DIRECTORY_NODES = 2
TABLE_FLOWS = 20_000

_RESIDENT = (
    "import laburnumbridge.forwarding;"
    "print([line for line in open('/proc/self/status') if 'VmHWM' in line][0].split()[1])"
)


class FlowSearchBenchmark(Benchmark):
    """Searches after a full reshuffle of the balancers, with and without directory nodes."""

    name: ClassVar[str] = "flow_search"

    def run(self) -> Mapping[str, Figure]:
        """Measure hops at several sizes, bytes a flow and the memory of a process."""
        with_records: dict[str, Figure] = {}
        walks: dict[str, Figure] = {}
        for size in SIZES:
            agents = [f"10.{number >> 8}.{number & 255}.1" for number in range(size)]
            hops = sorted(self._hops(agents, number, DIRECTORY_NODES) for number in range(FLOWS))
            with_records[str(size)] = [hops[FLOWS // 2], hops[FLOWS * 99 // 100]]
            hops_without_records = sorted(self._hops(agents, number, 0) for number in range(FLOWS))
            walks[str(size)] = [
                hops_without_records[FLOWS // 2],
                hops_without_records[FLOWS * 99 // 100],
            ]
        return {
            "flow_search_hops": with_records,
            "flow_search_hops_without_records": walks,
            "flow_table_bytes": self._table_bytes(),
            "flow_directory_bytes": self._directory_bytes(),
            "forward_process_mb": round(self._process_kb() / 1024, 1),
        }

    @staticmethod
    def _hops(agents: list[str], number: int, directory_nodes: int) -> int:
        flow = FlowKey(number.to_bytes(12, "big"))
        ranking = AgentRanking(agents=agents)
        holder = agents[(number * 7919) % len(agents)]
        directory_agents = set(ranking.directory_nodes(flow, directory_nodes))
        agent = ranking.first(flow)
        hops = 1
        while agent is not None and agent != holder:
            hops += 1
            agent = holder if agent in directory_agents else ranking.next_after(flow, agent)
        return hops

    @staticmethod
    def _table_bytes() -> int:
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        table: ExpiringMap[FlowKey, str] = ExpiringMap(ttl_s=30.0, limit=TABLE_FLOWS)
        for number in range(TABLE_FLOWS):
            table.put(FlowKey(number.to_bytes(12, "big")), "10.0.0.1", float(number))
        used = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        return used // TABLE_FLOWS

    @staticmethod
    def _directory_bytes() -> int:
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        directory = FlowTracker(
            limit=TABLE_FLOWS, idle_s=15.0, max_age_s=60.0, outlier_detector=OutlierDetector()
        )
        for number in range(TABLE_FLOWS):
            directory.track_opening(FlowKey(number.to_bytes(12, "big")), float(number))
        used = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        return used // TABLE_FLOWS

    @staticmethod
    def _process_kb() -> int:
        process = subprocess.run(
            [sys.executable, "-c", _RESIDENT], capture_output=True, text=True, check=True
        )
        return int(process.stdout)
