"""``laburnumbridge flow status``."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import typer
from rich.table import Table

from laburnumbridge.cli.commands.command import Command
from laburnumbridge.cli.forwarding_status import read_forwarding_status
from laburnumbridge.cli.output import make_console
from laburnumbridge.cli.output import to_json
from laburnumbridge.forwarding.forwarding_settings import load_forwarding_settings

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from laburnumbridge.cli.forwarding_status import ForwardingStatus


class FlowStatusCommand(Command):
    """Shows the status of running processes that forward flows."""

    def __init__(self, *, settings: Sequence[Path], as_json: bool) -> None:
        self._settings = settings
        self._as_json = as_json

    def run(self) -> None:
        """Print a line for each settings file.

        Raises InvalidSettingsError before it queries any process.
        """
        loaded = [load_forwarding_settings(path) for path in self._settings]
        statuses = [read_forwarding_status(settings) for settings in loaded]
        if self._as_json:
            typer.echo(to_json(statuses))
        else:
            console = make_console()
            console.print(build_status_table(statuses))
            for line in describe_evacuations(statuses):
                console.print(line, markup=False)


def describe_evacuations(statuses: Sequence[ForwardingStatus]) -> list[str]:
    """Return a line for each evacuated failure domain, with the number of processes that know."""
    count_by_domain = Counter(domain for status in statuses for domain in status.evacuated)
    return [
        f"Evacuated: {domain} (in the view of {count} of {len(statuses)} processes)"
        for domain, count in sorted(count_by_domain.items())
    ]


def build_status_table(statuses: Sequence[ForwardingStatus]) -> Table:
    """Return the processes as a table, in the order of their settings files."""
    table = Table()
    for column in ("process", "role", "readiness"):
        table.add_column(column, overflow="fold")
    for column in ("view age s", "flows", "busy", "arriving", "resets", "drops"):
        table.add_column(column, justify="right")
    for status in statuses:
        figures = (
            status.view_age_s,
            status.flows,
            status.busy,
            status.arriving,
            status.resets,
            status.drops,
        )
        table.add_row(
            status.process,
            status.role,
            status.readiness,
            *("-" if figure is None else f"{figure:g}" for figure in figures),
        )
    return table
