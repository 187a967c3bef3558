"""``laburnumbridge explain``."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import TYPE_CHECKING

import typer
from rich.table import Table

from laburnumbridge.cli.commands.command import Command
from laburnumbridge.cli.errors import NoDecisionsError
from laburnumbridge.cli.explanation import ExplanationBuilder
from laburnumbridge.cli.output import format_time
from laburnumbridge.cli.output import make_console
from laburnumbridge.cli.output import to_json
from laburnumbridge.cli.unresponsive_process import UnresponsiveProcess
from laburnumbridge.cli.unresponsive_process import build_unresponsive_table
from laburnumbridge.cli.unresponsive_process import require_answer

if TYPE_CHECKING:
    from laburnumbridge.cli.explanation import Explanation
    from laburnumbridge.cli.fleet import FleetOpener
    from laburnumbridge.telemetry import SubjectKind


class ExplainCommand(Command):
    """Shows the decisions about a subject in order, with their causes."""

    def __init__(
        self,
        *,
        opener: FleetOpener,
        kind: SubjectKind,
        identifier: str,
        limit: int,
        as_json: bool = False,
    ) -> None:
        self._opener = opener
        self._kind = kind
        self._identifier = identifier
        self._limit = limit
        self._as_json = as_json

    def run(self) -> None:
        """Print the decisions; raises NoAnswerError or NoDecisionsError."""
        explanation = asyncio.run(self._read())
        if self._as_json:
            typer.echo(to_json(explanation))
        else:
            self._print(explanation)
        require_answer(answered=explanation.answered, unresponsive=explanation.silent)
        if not explanation.decisions:
            raise NoDecisionsError(
                subject=explanation.subject, unresponsive=len(explanation.silent)
            )

    async def _read(self) -> Explanation:
        subject = f"{self._kind.value} {self._identifier}"
        builder = ExplanationBuilder(subject=subject, limit=self._limit)
        async with self._opener.open() as fleet:
            found = fleet.reader.explain(
                fleet.processes, kind=self._kind, identifier=self._identifier
            )
            async with aclosing(found) as replies:
                async for reply in replies:
                    if reply.content is None:
                        builder.add_unresponsive(UnresponsiveProcess.from_reply(reply))
                    else:
                        builder.add(reply.content)
        return builder.build()

    def _print(self, explanation: Explanation) -> None:
        console = make_console()
        if explanation.decisions:
            console.print(build_decision_table(explanation))
        if explanation.silent:
            console.print(build_unresponsive_table(explanation.silent))


def build_decision_table(explanation: Explanation) -> Table:
    """Return a table of the decisions, oldest first."""
    omitted = f", {explanation.omitted} older ones left out" if explanation.omitted else ""
    table = Table(title=f"Decisions about {explanation.subject}{omitted}", title_justify="left")
    for column in ("time (UTC)", "process", "event", "cause", "about"):
        table.add_column(column, overflow="fold")
    for item in explanation.decisions:
        decision = item.decision
        about = ", ".join(f"{kind} {name}" for kind, name in sorted(decision.subjects.items()))
        table.add_row(
            format_time(decision.at),
            item.process,
            f"{decision.number} {decision.event}",
            decision.cause,
            about,
        )
    return table
