"""``laburnumbridge balancer``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.cli.commands.command import Command
from laburnumbridge.runtime import BalancerProcess
from laburnumbridge.runtime import run
from laburnumbridge.settings import BalancerSettings
from laburnumbridge.settings import load_settings

if TYPE_CHECKING:
    from pathlib import Path


class BalancerCommand(Command):
    """Runs a balancer."""

    def __init__(self, *, settings: Path) -> None:
        self._settings = settings

    def run(self) -> None:
        """Run the balancer until it receives a signal."""
        run(BalancerProcess(settings=load_settings(self._settings, BalancerSettings)))
