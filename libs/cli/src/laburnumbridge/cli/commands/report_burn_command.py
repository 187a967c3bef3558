"""``laburnumbridge report burn``."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from enum import StrEnum
from typing import TYPE_CHECKING

import typer

from laburnumbridge.cli.burn_figures import BurnFiguresBuilder
from laburnumbridge.cli.burn_page import render_burn_page
from laburnumbridge.cli.burn_tables import build_burn_tables
from laburnumbridge.cli.commands.command import Command
from laburnumbridge.cli.errors import FileNotWritableError
from laburnumbridge.cli.output import make_console
from laburnumbridge.cli.output import to_json
from laburnumbridge.cli.unresponsive_process import UnresponsiveProcess
from laburnumbridge.cli.unresponsive_process import require_answer

if TYPE_CHECKING:
    from pathlib import Path

    from laburnumbridge.cli.burn_figures import BurnFigures
    from laburnumbridge.cli.fleet import FleetOpener


class ReportFormat(StrEnum):
    """Format of the report on standard output."""

    TABLE = "table"
    JSON = "json"


class ReportBurnCommand(Command):
    """Reports how fast the error budgets burn."""

    def __init__(
        self,
        *,
        opener: FleetOpener,
        report_format: ReportFormat = ReportFormat.TABLE,
        html: Path | None = None,
    ) -> None:
        self._opener = opener
        self._format = report_format
        self._html = html

    def run(self) -> None:
        """Print the report and write the page; raises NoAnswerError, FileNotWritableError."""
        figures = asyncio.run(self._read())
        if self._format is ReportFormat.JSON:
            typer.echo(to_json(figures))
        else:
            console = make_console()
            for table in build_burn_tables(figures):
                console.print(table)
        require_answer(answered=figures.answered, unresponsive=figures.silent)
        if self._html is not None:
            self._write(self._html, render_burn_page(figures))

    async def _read(self) -> BurnFigures:
        async with self._opener.open(with_services=True) as fleet:
            builder = BurnFiguresBuilder(services=fleet.services)
            async with aclosing(fleet.reader.metrics(fleet.processes)) as replies:
                async for reply in replies:
                    if reply.content is None:
                        builder.add_unresponsive(UnresponsiveProcess.from_reply(reply))
                    else:
                        builder.add(reply.content)
        return builder.build()

    def _write(self, path: Path, page: str) -> None:
        try:
            path.write_text(page, encoding="utf-8")
        except OSError as error:
            reason = error.strerror or type(error).__name__
            raise FileNotWritableError(path=path, reason=reason) from error
