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
from laburnumbridge.flows import SearchOrder
from laburnumbridge.flows import SearchStep
from laburnumbridge.flows.peer_datagrams import SearchStage

if TYPE_CHECKING:
    from collections.abc import Mapping

    from laburnumbridge.cli.benchmark import Figure

SIZES = (10, 100, 1_000)
FLOWS = 200
SERVICE_PERCENT = 80
"""Agents of the service of the route, of all agents, as on the users' deployments."""
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
        return {
            "flow_search_hops": self._hops_by_size(has_records=True, is_moved=False),
            "flow_search_hops_without_records": self._hops_by_size(
                has_records=False, is_moved=False
            ),
            "flow_search_hops_moved_route": self._hops_by_size(has_records=True, is_moved=True),
            "flow_search_hops_moved_route_without_records": self._hops_by_size(
                has_records=False, is_moved=True
            ),
            "flow_table_bytes": self._table_bytes(),
            "flow_directory_bytes": self._directory_bytes(),
            "forward_process_mb": round(self._process_kb() / 1024, 1),
        }

    @classmethod
    def _hops_by_size(cls, *, has_records: bool, is_moved: bool) -> dict[str, Figure]:
        """Return the median and the 99th percentile of the hops, by number of agents."""
        figures: dict[str, Figure] = {}
        for size in SIZES:
            agents = [f"10.{number >> 8}.{number & 255}.1" for number in range(size)]
            hops = sorted(
                cls._hops(agents, number, has_records=has_records, is_moved=is_moved)
                for number in range(FLOWS)
            )
            figures[str(size)] = [hops[FLOWS // 2], hops[FLOWS * 99 // 100]]
        return figures

    @staticmethod
    def _hops(agents: list[str], number: int, *, has_records: bool, is_moved: bool) -> int:
        """Return the hops to the agent of a flow, of another service if its route has moved."""
        flow = FlowKey(number.to_bytes(12, "big"))
        service = agents[: len(agents) * SERVICE_PERCENT // 100]
        holders = agents[len(service) :] if is_moved else service
        holder = holders[(number * 7919) % len(holders)]
        order = SearchOrder(
            agents=AgentRanking(agents=agents), service_agents=AgentRanking(agents=service)
        )
        step = order.first_step(flow)
        hops = 1
        while step is not None and step.agent != holder:
            hops += 1
            if has_records and step.stage is SearchStage.DIRECTORY:
                step = SearchStep(agent=holder, stage=SearchStage.RECORDED)
            else:
                step = order.next_step(flow, agent=step.agent, stage=step.stage)
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
