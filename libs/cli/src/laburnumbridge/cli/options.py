"""Options that several commands share."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

SettingsFile = Annotated[Path, typer.Argument(help="JSON file with the settings of the process.")]
Platform = Annotated[
    str | None,
    typer.Option(
        help="URL of the platform, which lists the VMs.", envvar="LABURNUMBRIDGE_PLATFORM"
    ),
]
VmsFile = Annotated[Path | None, typer.Option("--vms", help="JSON file with the list of VMs.")]
TlsCertificate = Annotated[
    Path | None,
    typer.Option(help="PEM certificate of the operator.", envvar="LABURNUMBRIDGE_TLS_CERTIFICATE"),
]
TlsKey = Annotated[
    Path | None,
    typer.Option(help="PEM private key of the operator.", envvar="LABURNUMBRIDGE_TLS_KEY"),
]
TlsAuthority = Annotated[
    Path | None,
    typer.Option(help="PEM file of the fleet's authority.", envvar="LABURNUMBRIDGE_TLS_AUTHORITY"),
]
Timeout = Annotated[float, typer.Option(help="Seconds to wait for one process.", min=0.1, max=60)]
Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]
