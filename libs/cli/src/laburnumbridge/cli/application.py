"""The ``laburnumbridge`` command: one verb per command class."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import typer

from laburnumbridge.cli.commands.agent_command import AgentCommand
from laburnumbridge.cli.commands.balancer_command import BalancerCommand
from laburnumbridge.cli.commands.bench_command import BenchCommand
from laburnumbridge.core import LaburnumbridgeError

application = typer.Typer(
    name="laburnumbridge",
    help="A layer-4 load balancer for QUIC and HTTP/3.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)

SettingsFile = Annotated[Path, typer.Argument(help="JSON file with the settings of the process.")]


@application.command()
def balancer(settings: SettingsFile) -> None:
    """Run the balancer of an entry VM until it gets SIGTERM or Ctrl-C."""
    BalancerCommand(settings=settings).run()


@application.command()
def agent(settings: SettingsFile) -> None:
    """Run the agent beside an upstream until it gets SIGTERM or Ctrl-C."""
    AgentCommand(settings=settings).run()


@application.command()
def bench(
    output: Annotated[
        Path, typer.Option(help="JSON file that the figures are merged into.")
    ] = Path("build/bench.json"),
    only: Annotated[
        list[str] | None, typer.Option(help="Run this benchmark only; may be repeated.")
    ] = None,
) -> None:
    """Measure on this machine and write the figures as JSON."""
    BenchCommand(output=output, only=only or []).run()


def main() -> None:
    """Run the command; errors are one line on standard error with their own exit status."""
    try:
        application()
    except LaburnumbridgeError as error:
        typer.echo(f"error: {error}", err=True)
        sys.exit(error.exit_code)
