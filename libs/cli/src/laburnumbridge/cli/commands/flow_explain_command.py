"""``laburnumbridge flow explain``."""

from __future__ import annotations

from typing import TYPE_CHECKING

import typer
from rich.table import Table

from laburnumbridge.cli.commands.command import Command
from laburnumbridge.cli.errors import FlowNotLoggedError
from laburnumbridge.cli.flow_explanation import explain_flow
from laburnumbridge.cli.input_file import read_input
from laburnumbridge.cli.output import format_time
from laburnumbridge.cli.output import make_console
from laburnumbridge.cli.output import to_json

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from laburnumbridge.cli.flow_explanation import LoggedDecision


class FlowExplainCommand(Command):
    """Merges the decisions about one flow from the logs of several processes."""

    def __init__(self, *, flow: str, logs: Sequence[Path], as_json: bool) -> None:
        self._flow = flow
        self._logs = logs
        self._as_json = as_json

    def run(self) -> None:
        """Print the decisions; raises FlowNotLoggedError."""
        lines = [line for log in self._logs for line in read_input(log).splitlines()]
        decisions = explain_flow(self._flow, lines)
        if not decisions:
            raise FlowNotLoggedError(flow=self._flow, logs=len(self._logs))
        if self._as_json:
            typer.echo(to_json(decisions))
        else:
            make_console().print(build_flow_table(self._flow, decisions))


def build_flow_table(flow: str, decisions: Sequence[LoggedDecision]) -> Table:
    """Return the decisions as a table, oldest first."""
    table = Table(title=f"Decisions about {flow}", title_justify="left")
    for column in ("time (UTC)", "process", "event", "outcome", "inputs"):
        table.add_column(column, overflow="fold")
    for decision in decisions:
        inputs = ", ".join(
            f"{name} {value}" for name, value in decision.fields.items() if name != "flow"
        )
        table.add_row(
            format_time(decision.at),
            decision.process,
            f"{decision.number} {decision.event}",
            decision.outcome,
            inputs,
        )
    return table
