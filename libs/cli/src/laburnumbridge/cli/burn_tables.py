"""Terminal tables of the burn report."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.cli.status_tables import format_ratio
from laburnumbridge.cli.status_tables import new_table
from laburnumbridge.cli.unresponsive_process import build_unresponsive_table
from laburnumbridge.telemetry import WINDOW_MINUTES

if TYPE_CHECKING:
    from collections.abc import Iterator

    from rich.table import Table

    from laburnumbridge.cli.burn_figures import BurnFigures

_MINUTES_PER_HOUR = 60


def format_window(minutes: int) -> str:
    """Return the length of a window in hours, or in minutes if it isn't whole hours."""
    if minutes % _MINUTES_PER_HOUR == 0:
        return f"{minutes // _MINUTES_PER_HOUR} h"
    return f"{minutes} min"


def build_burn_tables(figures: BurnFigures) -> Iterator[Table]:
    """Yield the tables in display order; optional tables without rows are left out."""
    yield _burn(figures)
    if figures.latencies:
        yield _latencies(figures)
    if figures.services:
        yield _imbalance(figures)
    yield _counts(figures)
    if figures.silent:
        yield build_unresponsive_table(figures.silent)


def _burn(figures: BurnFigures) -> Table:
    windows = [format_window(minutes) for minutes in WINDOW_MINUTES]
    numbers = ("target", "requests", "bad", "budget left", *windows)
    table = new_table(
        f"Burn rates: {figures.answered} processes answered, {len(figures.silent)} did not",
        ("service", "plan", "objective", *numbers, "alerts"),
        numbers=numbers,
    )
    for line in figures.lines:
        table.add_row(
            line.service,
            line.plan,
            line.objective,
            f"{line.target:.2%}",
            str(line.total),
            str(line.bad),
            f"{line.budget_left:.1%}",
            *(f"{line.burn_by_window[minutes]:.2f}" for minutes in WINDOW_MINUTES),
            ", ".join(line.alerts),
        )
    return table


def _latencies(figures: BurnFigures) -> Table:
    numbers = ("requests", "p50 ms", "p99 ms")
    table = new_table("Latency", ("service", "plan", *numbers), numbers=numbers)
    for line in figures.latencies:
        cells = (str(line.requests), f"{line.p50_ms:.1f}", f"{line.p99_ms:.1f}")
        table.add_row(line.service, line.plan, *cells)
    return table


def _imbalance(figures: BurnFigures) -> Table:
    numbers = ("open flows", "imbalance", "slot imbalance")
    table = new_table("Imbalance", ("service", *numbers), numbers=numbers)
    for load in figures.services:
        ratios = (format_ratio(load.flow_imbalance), format_ratio(load.slot_imbalance))
        table.add_row(load.service, str(load.open_flows), *ratios)
    return table


def _counts(figures: BurnFigures) -> Table:
    table = new_table("Since the processes started", ("what", "count"), numbers=("count",))
    for domain, count in figures.broken_flows_by_domain.items():
        table.add_row(f"broken flows in {domain}", str(count))
    for reason, count in figures.refusals_by_reason.items():
        table.add_row(f"refused: {reason}", str(count))
    for service in figures.unlisted_services:
        table.add_row(f"{service}: not listed, default objectives", "")
    return table
