"""Writes docs/CAPACITY.md from the figures of the benchmarks."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path  # noqa: TC003, typer reads annotations at run time
from typing import Any

import typer

BALANCERS = 780
AGENTS = 8_500
ADDRESSES = 2_900
OPEN_FLOWS = 4_800_000
NEW_FLOWS_S = 32_000
CHANGES_A_DAY = 4_000
CPU_BUDGET_PCT = 1.4
MEMORY_BUDGET_MB = 32.0
BYTES_BUDGET_S = 27_000.0
PLATFORM_READS_S = 2_000.0
IN_FORCE_S = 15.0

_DAY_S = 86_400
# A flow that sends one reading a second causes two datagrams a second at the balancers: one in
# each direction.
_DATAGRAMS_A_FLOW_S = 2

_HEAD = """# Capacity

What each role needs at the size to design for: 780 balancers before 8,500 upstreams behind 2,900
addresses, 4.8 million open flows, 32,000 new ones a second, 2 regions with 5 failure domains, 4,000
configuration changes a day. For control a node may spend 1.4 % of a core, 32 MB and 27 KB/s.

This page is written by `make capacity` from `build/bench.json`, which `make bench` measures on one
machine with up to 200 instances of the state machines. "Carried" figures follow the measured slope
or count to the full size; nothing was run at that size. Memory is what control adds. A ratio above
1 is over budget.

"""


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """One resource that a role needs; ``budget`` is None if the requirements set none."""

    need: str
    points: str
    carried: float
    unit: str
    budget: float | None
    mechanism: str

    def render(self) -> str:
        """Return the row as Markdown."""
        budget = "–" if self.budget is None else f"{self.budget:g} {self.unit}"
        ratio = "–" if self.budget is None else f"{self.carried / self.budget:.2f}"
        carried = (
            f"{self.carried:,.3g} {self.unit}"
            if self.carried < 1000
            else (f"{self.carried:,.0f} {self.unit}")
        )
        cells = (self.need, self.points, carried, budget, ratio, self.mechanism)
        return f"| {' | '.join(cells)} |"


def fit_line(points: dict[str, float]) -> tuple[float, float]:
    """Return intercept and slope of the least-squares line through values by size."""
    sizes = [float(size) for size in points]
    values = list(points.values())
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    rise = sum((s - mean_size) * (v - mean_value) for s, v in zip(sizes, values, strict=True))
    return mean_value - rise / spread * mean_size, rise / spread


def _extrapolate(points: dict[str, float], size: float) -> float:
    intercept, rise = fit_line(points)
    return intercept + rise * size


def _format_points(points: dict[str, float]) -> str:
    ordered = sorted((int(size), value) for size, value in points.items())
    return ", ".join(f"{value:g} at {size:,}" for size, value in ordered)


class CapacityPage:
    """Builds the page from the merged figures of all benchmarks."""

    def __init__(self, *, figures: dict[str, Any]) -> None:
        self._figures = figures
        self._capacity = figures["capacity"]
        self._configuration = figures["configuration"]
        self._largest = self._configuration[-1]

    def render(self) -> str:
        """Return the page as Markdown."""
        parts = [_HEAD]
        for title, rows in (
            ("Balancer (one of 780)", self._balancer()),
            ("Agent (one of 8,500)", self._agent()),
            ("Watcher and relay", self._watcher()),
            ("Plan holder", self._holder()),
            ("Traffic of clients", self._traffic()),
        ):
            parts.append(f"## {title}\n\n")
            parts.append("| Need | Measured | Carried | Budget | Ratio | Carried by |\n")
            parts.append("|---|---|---|---|---|---|\n")
            parts.extend(row.render() + "\n" for row in rows)
            parts.append("\n")
        parts.append(self._notes())
        return "".join(parts)

    def _control_rows(self, role: str) -> list[Row]:
        figures = self._figures
        sizes = figures["membership"]["sizes_10_50_200"]
        bytes_points = [row[role]["bytes_s"] for row in sizes]
        membership_s = figures["control_bytes_s"][role]
        relay_s = float(self._largest["burst_relay_bytes_s_max"])
        return [
            Row(
                need="bytes a second, probes and gossip",
                points=" / ".join(f"{value:g}" for value in bytes_points) + " at 10 / 50 / 200",
                carried=membership_s,
                unit="B/s",
                budget=BYTES_BUDGET_S,
                mechanism="each process probes a handful; only exceptions spread, on a budget",
            ),
            Row(
                need="bytes a second, relay of lists, burst of 50 changes in 10 s",
                points=" / ".join(
                    f"{row['burst_relay_bytes_s_max']:g}" for row in self._configuration
                )
                + " at 10 / 50 / 200 (busiest process)",
                carried=relay_s,
                unit="B/s",
                budget=BYTES_BUDGET_S,
                mechanism="deltas down a tree of fan-out 8 in each failure domain",
            ),
            self._processor_row(role),
            Row(
                need="processor, whole process without clients, at today's 14 processes",
                points="real processes on loopback, 20 s",
                carried=float(self._figures["idle_fleet"][f"{role}_cpu_pct"]),
                unit="%",
                budget=CPU_BUDGET_PCT,
                mechanism="includes event loop, gRPC, long polls and load reports to 6 siblings",
            ),
            Row(
                need="memory, view of 9,280 processes",
                points="measured at full size",
                carried=figures["control_memory_mb"][role],
                unit="MB",
                budget=MEMORY_BUDGET_MB,
                mechanism="the platform's list and one record for each exception",
            ),
        ]

    def _processor_row(self, role: str) -> Row:
        detector = self._figures["control_cpu_pct"][role]
        messages = self._figures["membership"]["carried_to_full_size_by_slope"][role]["messages_s"]
        message_us = self._capacity["control_message_us"]
        wire = messages * message_us / 1e6 * 100
        change_us = self._largest["cpu_us_per_change_and_node"]
        changes = change_us * CHANGES_A_DAY / _DAY_S / 1e6 * 100
        return Row(
            need="processor, control",
            points=(
                f"detector {detector:g} %, {messages:g} messages/s of {message_us:g} us, "
                f"{change_us:g} us a change of a list"
            ),
            carried=detector + wire + changes,
            unit="%",
            budget=CPU_BUDGET_PCT,
            mechanism="probes over sealed UDP; a change is parsed once a process",
        )

    def _balancer(self) -> list[Row]:
        tables = self._capacity["routing_table_mb_by_addresses"]
        rows = self._control_rows("balancer")
        rows.append(
            Row(
                need="memory, routing table",
                points=_format_points(tables) + " addresses (MB)",
                carried=_extrapolate(tables, ADDRESSES),
                unit="MB",
                budget=MEMORY_BUDGET_MB,
                mechanism="one Maglev table a service; no state a flow",
            )
        )
        rows.append(
            Row(
                need="processor time of one change of membership",
                points="measured at 2,900 addresses",
                carried=self._capacity["routing_table_change_ms"],
                unit="ms",
                budget=None,
                mechanism="only the changed service's table is built again",
            )
        )
        return rows

    def _agent(self) -> list[Row]:
        flows = OPEN_FLOWS / AGENTS
        points = self._capacity["agent_flow_mb_by_flows"]
        rows = self._control_rows("agent")
        rows.append(
            Row(
                need=f"memory of {flows:.0f} open flows (clients' traffic, not control)",
                points=_format_points(points) + " flows (MB)",
                carried=_extrapolate(points, flows),
                unit="MB",
                budget=None,
                mechanism="QUIC ends beside the upstream, so flows spread with the upstreams",
            )
        )
        return rows

    def _watcher(self) -> list[Row]:
        reads = {str(row["instances"]): row["steady_reads_s"] for row in self._configuration}
        return [
            Row(
                need="platform reads a second, all processes, steady",
                points=_format_points(reads) + " processes",
                carried=self._largest["steady_reads_s"],
                unit="/s",
                budget=PLATFORM_READS_S,
                mechanism="3 watchers a failure domain; grows with domains, not with processes",
            ),
            Row(
                need="platform reads a second, all processes, everything restarts",
                points="simulated start of 9,280 processes, platform down",
                carried=float(self._figures["platform_reads_s_max"]),
                unit="/s",
                budget=PLATFORM_READS_S,
                mechanism="jitter sized by the fleet",
            ),
            Row(
                need="a change in force in the last process, with faults",
                points=" / ".join(f"{row['all_s_max']:g}" for row in self._configuration)
                + " at 10 / 50 / 200",
                carried=float(self._figures["config_p99_9280_s"]),
                unit="s",
                budget=IN_FORCE_S,
                mechanism="digests and deltas; the carried figure is a p99 on a logarithmic line",
            ),
        ]

    def _holder(self) -> list[Row]:
        busy = self._figures["limits"]["rate steady 50"]["leases"]
        messages = busy["messages_per_agent_per_s"]
        return [
            Row(
                need="bytes a second, one plan asked for by 50 agents up to 1.25 of its limit",
                points=f"{busy['bytes_per_agent_per_s']:g} B/s an agent, bodies only",
                carried=50.0 * busy["bytes_per_agent_per_s"],
                unit="B/s",
                budget=BYTES_BUDGET_S,
                mechanism="agents without demand for a plan hold and send nothing",
            ),
            Row(
                need="processor, one plan asked for by 50 agents",
                points=f"{messages:g} messages/s an agent, both directions",
                carried=50 * messages * self._capacity["control_message_us"] / 1e6 * 100,
                unit="%",
                budget=CPU_BUDGET_PCT,
                mechanism="plans spread over the agents by rendezvous hashing",
            ),
        ]

    def _traffic(self) -> list[Row]:
        datagrams_s = OPEN_FLOWS * _DATAGRAMS_A_FLOW_S / BALANCERS
        balancer_pps = float(self._figures["balancer_pps"])
        handshakes = NEW_FLOWS_S / AGENTS * self._figures["handshake_server_ms"] / 1000 * 100
        return [
            Row(
                need="datagrams a second of a balancer, a reading a second a flow",
                points=f"{balancer_pps:,.0f} datagrams/s on one core",
                carried=datagrams_s,
                unit="/s",
                budget=balancer_pps,
                mechanism="the token routes each packet; decisions cached by holder",
            ),
            Row(
                need="processor of an agent for handshakes",
                points=f"{self._figures['handshake_server_ms']:g} ms a handshake",
                carried=handshakes,
                unit="%",
                budget=None,
                mechanism="TLS ends at the agents",
            ),
        ]

    def _notes(self) -> str:
        capacity = self._capacity
        return (
            "## Besides\n\n"
            f"- The interpreter alone takes {capacity['interpreter_mb']:g} MB, with the product's "
            f"libraries {capacity['interpreter_and_libraries_mb']:g} MB. Control adds the figures "
            "above. The sum of a process is above 32 MB if the libraries count.\n"
            f"- A death is confirmed at the last process after "
            f"{self._figures['membership']['detect_s_p99_full_size_extrapolated']:g} s (p99, "
            "carried).\n"
            f"- With reads by every process itself, a restart of {BALANCERS + AGENTS:,} would cost "
            f"{(BALANCERS + AGENTS) * 4:,} reads at once.\n"
            "- The plan holder's rows rise with the agents that ask for one plan above its limit. "
            "Grants for several reports in one message, fewer renewals above the limit, or a "
            "holder in each failure domain under the plan's holder would lower them.\n"
            "- A whole agent without clients spends mostly timers of 50 ms (probes, requests) and "
            "load reports; at the full size it has 2 siblings, not 6. Longer ticks while nothing "
            "is pending would lower it.\n"
            "- Not measured: any fleet above 200 instances over sockets, a cut of a whole hour, a "
            "balancer under the full rate of 2,900 addresses.\n"
        )


def main(figures: Path, page: Path) -> None:
    """Read the figures and write the page."""
    page.write_text(CapacityPage(figures=json.loads(figures.read_text())).render())


if __name__ == "__main__":
    typer.run(main)
