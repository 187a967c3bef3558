"""Tables of the fleet's status."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from rich.table import Table

from laburnumbridge.cli.unresponsive_process import build_unresponsive_table

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from rich.console import JustifyMethod

    from laburnumbridge.cli.fleet_status import FleetStatus

_DIGEST_LENGTH = 12
# While a change spreads, a large fleet has hundreds of views for a short time.
_MAX_VIEWS = 10


def build_status_tables(status: FleetStatus) -> Iterator[Table]:
    """Yield the tables in display order; optional tables without rows are left out."""
    yield _processes(status)
    if status.versions:
        yield _versions(status)
    if status.views:
        yield _views(status)
    if status.services:
        yield _services(status)
    yield _refusals(status)
    if status.silent:
        yield build_unresponsive_table(status.silent)


def new_table(title: str, columns: Sequence[str], *, numbers: Sequence[str] = ()) -> Table:
    """Return an empty table; columns in ``numbers`` are aligned to the right."""
    table = Table(title=title, title_justify="left")
    for column in columns:
        justify: JustifyMethod = "right" if column in numbers else "left"
        table.add_column(column, justify=justify, overflow="fold")
    return table


def format_ratio(value: float | None) -> str:
    """Return a ratio with three decimals, or a dash if it is None."""
    return "–" if value is None else f"{value:.3f}"


def _processes(status: FleetStatus) -> Table:
    table = new_table(
        f"Processes: {status.answered} answered, {len(status.silent)} did not",
        ("role", "region", "failure domain", "processes"),
        numbers=("processes",),
    )
    for group in status.processes:
        table.add_row(group.role, group.region, group.failure_domain, str(group.processes))
    return table


def _versions(status: FleetStatus) -> Table:
    groups_by_list = Counter(group.name for group in status.versions)
    different = [name for name, groups in groups_by_list.items() if groups > 1]
    table = new_table(
        f"Versions in force: {', '.join(different) or 'none'} different between processes",
        ("list", "version", "digest", "processes", "such as"),
        numbers=("version", "processes"),
    )
    for group in status.versions:
        table.add_row(
            group.name,
            str(group.version),
            group.digest[:_DIGEST_LENGTH],
            str(group.processes),
            ", ".join(group.examples),
        )
    return table


def _views(status: FleetStatus) -> Table:
    differences = len(status.views) - 1
    title = (
        "Views of the membership: all equal"
        if not differences
        else (f"Views of the membership: {len(status.views)} different ones")
    )
    table = new_table(title, ("digest", "processes", "states", "such as"), numbers=("processes",))
    for group in status.views[:_MAX_VIEWS]:
        states = ", ".join(f"{count} {state}" for state, count in group.count_by_state.items())
        digest = group.digest[:_DIGEST_LENGTH]
        table.add_row(digest, str(group.processes), states, ", ".join(group.examples))
    if len(status.views) > _MAX_VIEWS:
        rest = status.views[_MAX_VIEWS:]
        processes = sum(group.processes for group in rest)
        table.add_row(f"{len(rest)} more", str(processes), "use --json for all of them", "")
    return table


def _services(status: FleetStatus) -> Table:
    numbers = ("accepting", "open flows", "imbalance", "busy slots", "slot imbalance")
    table = new_table("Services", ("service", *numbers), numbers=numbers)
    for load in status.services:
        table.add_row(
            load.service,
            f"{load.accepting} of {load.upstreams}",
            str(load.open_flows),
            format_ratio(load.flow_imbalance),
            str(load.busy_slots),
            format_ratio(load.slot_imbalance),
        )
    return table


def _refusals(status: FleetStatus) -> Table:
    table = new_table("Since the processes started", ("what", "count"), numbers=("count",))
    table.add_row("broken flows", str(status.broken_flows))
    for reason, count in status.refusals_by_reason.items():
        table.add_row(f"refused: {reason}", str(count))
    return table
