"""The ``laburnumbridge`` command: one verb per command class."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated
from typing import Literal

import typer
from typer.exceptions import TyperException

from laburnumbridge.cli import options  # noqa: TC001, typer reads annotations at run time
from laburnumbridge.cli.commands.agent_command import AgentCommand
from laburnumbridge.cli.commands.balancer_command import BalancerCommand
from laburnumbridge.cli.commands.bench_command import BenchCommand
from laburnumbridge.cli.commands.check_command import CheckCommand
from laburnumbridge.cli.commands.explain_command import ExplainCommand
from laburnumbridge.cli.commands.flow_check_command import FlowCheckCommand
from laburnumbridge.cli.commands.flow_explain_command import FlowExplainCommand
from laburnumbridge.cli.commands.flow_place_command import FlowPlaceCommand
from laburnumbridge.cli.commands.flow_status_command import FlowStatusCommand
from laburnumbridge.cli.commands.report_burn_command import ReportBurnCommand
from laburnumbridge.cli.commands.report_burn_command import ReportFormat
from laburnumbridge.cli.commands.status_command import StatusCommand
from laburnumbridge.cli.exit_status import ExitStatus
from laburnumbridge.cli.fleet import FleetOptions
from laburnumbridge.cli.fleet import GrpcFleetOpener
from laburnumbridge.core import LaburnumbridgeError
from laburnumbridge.runtime.fleet_reader import TIMEOUT_S
from laburnumbridge.telemetry import SubjectKind  # noqa: TC001, see above

DEFAULT_DECISION_LIMIT = 200

# Plain help has the same layout in every terminal, pipe and test.
application = typer.Typer(
    name="laburnumbridge",
    help="A layer-4 load balancer for QUIC and HTTP/3.",
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)
report = typer.Typer(help="Reports over the whole fleet.", rich_markup_mode=None)
application.add_typer(report, name="report")
flow = typer.Typer(
    help="Processes that forward flows without terminating them.", rich_markup_mode=None
)
application.add_typer(flow, name="flow")


@application.command()
def balancer(settings: options.SettingsFile) -> None:
    """Run the balancer of an entry VM until SIGTERM or Ctrl-C."""
    BalancerCommand(settings=settings).run()


@application.command()
def agent(settings: options.SettingsFile) -> None:
    """Run the agent beside an upstream until SIGTERM or Ctrl-C."""
    AgentCommand(settings=settings).run()


@application.command()
def check(
    services: Annotated[Path, typer.Option(help="JSON file with the services.")],
    guests: Annotated[Path, typer.Option(help="JSON file with the client accounts.")],
    plans: Annotated[Path, typer.Option(help="JSON file with the plans.")],
    vms: options.VmsFile = None,
    settings: Annotated[
        Path | None, typer.Option(help="JSON file with the settings of a process.")
    ] = None,
    role: Annotated[
        Literal["balancer", "agent"] | None,
        typer.Option(help="Role of the process that --settings is for."),
    ] = None,
    as_json: options.Json = False,
) -> None:
    """Check lists and settings, and limits against the capacity of the VMs."""
    CheckCommand(
        services=services,
        client_accounts=guests,
        plans=plans,
        vms=vms,
        settings=settings,
        role=role,
        as_json=as_json,
    ).run()


@application.command()
def status(
    platform: options.Platform = None,
    vms: options.VmsFile = None,
    tls_certificate: options.TlsCertificate = None,
    tls_key: options.TlsKey = None,
    tls_authority: options.TlsAuthority = None,
    timeout: options.Timeout = TIMEOUT_S,
    as_json: options.Json = False,
) -> None:
    """Show processes, versions in force, views, flows, imbalance and refusals."""
    fleet = FleetOptions(
        platform=platform,
        vms=vms,
        tls_certificate=tls_certificate,
        tls_key=tls_key,
        tls_authority=tls_authority,
        timeout_s=timeout,
    )
    StatusCommand(opener=GrpcFleetOpener(options=fleet), as_json=as_json).run()


@application.command()
def explain(
    kind: Annotated[SubjectKind, typer.Argument(help="Type of the subject.")],
    identifier: Annotated[
        str, typer.Argument(help="Request, flow (hex), upstream, plan, or version (list@number).")
    ],
    platform: options.Platform = None,
    vms: options.VmsFile = None,
    tls_certificate: options.TlsCertificate = None,
    tls_key: options.TlsKey = None,
    tls_authority: options.TlsAuthority = None,
    timeout: options.Timeout = TIMEOUT_S,
    limit: Annotated[int, typer.Option(help="Show the newest decisions only.", min=1)] = (
        DEFAULT_DECISION_LIMIT
    ),
    as_json: options.Json = False,
) -> None:
    """Show the decisions about a subject in order, with their causes."""
    fleet = FleetOptions(
        platform=platform,
        vms=vms,
        tls_certificate=tls_certificate,
        tls_key=tls_key,
        tls_authority=tls_authority,
        timeout_s=timeout,
    )
    ExplainCommand(
        opener=GrpcFleetOpener(options=fleet),
        kind=kind,
        identifier=identifier,
        limit=limit,
        as_json=as_json,
    ).run()


@report.command()
def burn(
    platform: options.Platform = None,
    vms: options.VmsFile = None,
    services: Annotated[
        Path | None, typer.Option(help="JSON file with the services and their objectives.")
    ] = None,
    tls_certificate: options.TlsCertificate = None,
    tls_key: options.TlsKey = None,
    tls_authority: options.TlsAuthority = None,
    timeout: options.Timeout = TIMEOUT_S,
    report_format: Annotated[
        ReportFormat, typer.Option("--format", help="Format of the report.")
    ] = ReportFormat.TABLE,
    html: Annotated[
        Path | None, typer.Option(help="Write a page with charts to this file as well.")
    ] = None,
) -> None:
    """Show how fast the error budgets burn, by service and plan."""
    fleet = FleetOptions(
        platform=platform,
        vms=vms,
        services=services,
        tls_certificate=tls_certificate,
        tls_key=tls_key,
        tls_authority=tls_authority,
        timeout_s=timeout,
    )
    opener = GrpcFleetOpener(options=fleet)
    ReportBurnCommand(opener=opener, report_format=report_format, html=html).run()


@flow.command("explain")
def explain_flow(
    flow_id: Annotated[
        str, typer.Argument(metavar="FLOW", help="The flow, as CLIENT:PORT>SERVICE:PORT.")
    ],
    log: Annotated[list[Path], typer.Option(help="Standard output of a process; may be repeated.")],
    as_json: options.Json = False,
) -> None:
    """Merge the decisions about one flow from the logs of several processes."""
    FlowExplainCommand(flow=flow_id, logs=log, as_json=as_json).run()


@flow.command("place")
def place_flow(
    settings: Annotated[
        Path, typer.Argument(metavar="SETTINGS", help="Settings file of a running balancer.")
    ],
    flow_id: Annotated[
        str, typer.Argument(metavar="FLOW", help="The flow, as CLIENT:PORT>SERVICE:PORT.")
    ],
    as_json: options.Json = False,
) -> None:
    """Show where a balancer would send an opening packet now, and why, without sending it."""
    FlowPlaceCommand(settings=settings, flow=flow_id, as_json=as_json).run()


@flow.command("status")
def show_flow_status(
    settings: Annotated[
        list[Path], typer.Argument(metavar="SETTINGS...", help="Settings files of the processes.")
    ],
    as_json: options.Json = False,
) -> None:
    """Show readiness, age of the view, flows, resets and drops of running processes."""
    FlowStatusCommand(settings=settings, as_json=as_json).run()


@flow.command("check")
def check_flow_settings(settings: options.SettingsFile) -> None:
    """Check the settings of a process that forwards flows."""
    FlowCheckCommand(settings=settings).run()


@application.command()
def bench(
    output: Annotated[Path, typer.Option(help="JSON file to merge the figures into.")] = Path(
        "build/bench.json"
    ),
    only: Annotated[
        list[str] | None, typer.Option(help="Run this benchmark only; may be repeated.")
    ] = None,
) -> None:
    """Run benchmarks on this machine and write the figures as JSON."""
    BenchCommand(output=output, only=only or []).run()


def run(arguments: list[str]) -> int:
    """Run a command line and return its exit status; an error is one line on standard error."""
    try:
        # Typer returns the status of Ctrl-C and of --help, and None otherwise.
        return application(args=arguments, prog_name="laburnumbridge", standalone_mode=False) or 0
    except LaburnumbridgeError as error:
        _print_error(str(error))
        return error.exit_code
    except TyperException as error:
        context = getattr(error, "ctx", None)
        command = context.command_path if context else "laburnumbridge"
        _print_error(f"{error.format_message().rstrip('.')}; see '{command} --help'")
        return ExitStatus.INVALID_INPUT
    except (KeyboardInterrupt, typer.Abort):
        return ExitStatus.INTERRUPTED


def main() -> None:
    """Run the command."""
    sys.exit(run(sys.argv[1:]))


def _print_error(message: str) -> None:
    typer.echo(f"error: {' '.join(message.split())}", err=True)
