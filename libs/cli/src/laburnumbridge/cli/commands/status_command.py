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
from laburnumbridge.cli.status_tables import build_status_tables
from laburnumbridge.cli.unresponsive_process import UnresponsiveProcess
from laburnumbridge.cli.unresponsive_process import require_answer

if TYPE_CHECKING:
    from laburnumbridge.cli.fleet import FleetOpener
    from laburnumbridge.cli.fleet_status import FleetStatus


class StatusCommand(Command):
    """Shows a summary of the fleet."""

    def __init__(self, *, opener: FleetOpener, as_json: bool = False) -> None:
        self._opener = opener
        self._as_json = as_json

    def run(self) -> None:
        """Query every listed process and print the status; raises NoAnswerError."""
        status = asyncio.run(self._read())
        if self._as_json:
            typer.echo(to_json(status))
        else:
            console = make_console()
            for table in build_status_tables(status):
                console.print(table)
        require_answer(answered=status.answered, unresponsive=status.silent)

    async def _read(self) -> FleetStatus:
        builder = FleetStatusBuilder()
        async with (
            self._opener.open() as fleet,
            aclosing(fleet.reader.status(fleet.processes)) as replies,
        ):
            async for reply in replies:
                if reply.content is None:
                    builder.add_unresponsive(UnresponsiveProcess.from_reply(reply))
                else:
                    builder.add(reply.content)
        return builder.build()
