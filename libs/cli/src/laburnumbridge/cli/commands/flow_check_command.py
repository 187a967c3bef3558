"""``laburnumbridge flow check``."""

from __future__ import annotations

from typing import TYPE_CHECKING

import typer

from laburnumbridge.cli.commands.command import Command
from laburnumbridge.forwarding.forwarding_settings import load_forwarding_settings

if TYPE_CHECKING:
    from pathlib import Path


class FlowCheckCommand(Command):
    """Validates the settings of a process that forwards flows."""

    def __init__(self, *, settings: Path) -> None:
        self._settings = settings

    def run(self) -> None:
        """Print the role and the name of the process; raises InvalidSettingsError."""
        settings = load_forwarding_settings(self._settings)
        role = "balancer" if settings.upstream is None else "agent"
        typer.echo(f"settings of {role} {settings.process} are valid")
