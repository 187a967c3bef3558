"""``laburnumbridge status``."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import TYPE_CHECKING

import typer

from laburnumbridge.cli.commands.command import Command
from laburnumbridge.cli.fleet_status import FleetStatusBuilder
from laburnumbridge.cli.output import make_console
from laburnumbridge.cli.output import to_json
from laburnumbridge.cli.silent_process import SilentProcess
from laburnumbridge.cli.silent_process import require_answer
from laburnumbridge.cli.status_tables import build_status_tables

if TYPE_CHECKING:
    from laburnumbridge.cli.fleet import FleetOpener
    from laburnumbridge.cli.fleet_status import FleetStatus


class StatusCommand(Command):
    """Shows the fleet at a glance."""

    def __init__(self, *, opener: FleetOpener, as_json: bool = False) -> None:
        self._opener = opener
        self._as_json = as_json

    def run(self) -> None:
        """Ask every listed process and print the status; raises NoAnswerError."""
        status = asyncio.run(self._read())
        if self._as_json:
            typer.echo(to_json(status))
        else:
            console = make_console()
            for table in build_status_tables(status):
                console.print(table)
        require_answer(answered=status.answered, silent=status.silent)

    async def _read(self) -> FleetStatus:
        builder = FleetStatusBuilder()
        async with (
            self._opener.open() as fleet,
            aclosing(fleet.reader.status(fleet.processes)) as replies,
        ):
            async for reply in replies:
                if reply.content is None:
                    builder.add_silent(SilentProcess.of(reply))
                else:
                    builder.add(reply.content)
        return builder.build()
