"""``laburnumbridge check``."""

from __future__ import annotations

from typing import TYPE_CHECKING

import typer

from laburnumbridge.cli.commands.command import Command
from laburnumbridge.cli.errors import ChecksFailedError
from laburnumbridge.cli.errors import MissingOptionError
from laburnumbridge.cli.file_checks import FileChecks
from laburnumbridge.cli.input_file import read_input
from laburnumbridge.cli.output import to_json
from laburnumbridge.lists import ClientAccountList
from laburnumbridge.lists import PlanList
from laburnumbridge.lists import ServiceList
from laburnumbridge.lists import VmList

if TYPE_CHECKING:
    from pathlib import Path


class CheckCommand(Command):
    """Validates lists and settings before they are published."""

    def __init__(
        self,
        *,
        services: Path,
        client_accounts: Path,
        plans: Path,
        vms: Path | None = None,
        settings: Path | None = None,
        role: str | None = None,
        as_json: bool = False,
    ) -> None:
        self._services = services
        self._client_accounts = client_accounts
        self._plans = plans
        self._vms = vms
        self._settings = settings
        self._role = role
        self._as_json = as_json

    def run(self) -> None:
        """Print every finding; raises ChecksFailedError where one is an error."""
        checks = self._check()
        if self._as_json:
            typer.echo(_render_json(checks))
        else:
            typer.echo(_render_text(checks))
        if checks.errors:
            raise ChecksFailedError(errors=checks.errors)

    def _check(self) -> FileChecks:
        if self._settings is not None and self._role is None:
            raise MissingOptionError(
                option="--role", purpose="it names the role of the process that --settings is for"
            )
        checks = FileChecks()
        services = checks.parse("services", self._services, read_input(self._services), ServiceList)
        client_accounts = checks.parse(
            "guests", self._client_accounts, read_input(self._client_accounts), ClientAccountList
        )
        plans = checks.parse("plans", self._plans, read_input(self._plans), PlanList)
        vms = None
        if self._vms is not None:
            vms = checks.parse("vms", self._vms, read_input(self._vms), VmList)
        checks.compare(services=services, client_accounts=client_accounts, plans=plans, vms=vms)
        if self._settings is not None and self._role is not None:
            checks.read_settings(file=self._settings, role=self._role, services=services, vms=vms)
        return checks


def _render_json(checks: FileChecks) -> str:
    return to_json(
        {"errors": checks.errors, "warnings": checks.warnings, "findings": checks.findings}
    )


def _render_text(checks: FileChecks) -> str:
    lines = [
        f"{finding.severity.value}: {finding.path}: {finding.message} ({finding.file})"
        for finding in checks.findings
    ]
    lines.append(f"{checks.errors} errors, {checks.warnings} warnings")
    return "\n".join(lines)
