"""``laburnumbridge agent``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.cli.commands.command import Command
from laburnumbridge.runtime import AgentProcess
from laburnumbridge.runtime import run
from laburnumbridge.settings import AgentSettings
from laburnumbridge.settings import load_settings

if TYPE_CHECKING:
    from pathlib import Path


class AgentCommand(Command):
    """Runs an agent."""

    def __init__(self, *, settings: Path) -> None:
        self._settings = settings

    def run(self) -> None:
        """Run the agent until it receives a signal."""
        run(AgentProcess(settings=load_settings(self._settings, AgentSettings)))
