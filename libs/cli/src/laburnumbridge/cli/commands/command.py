"""Base of the commands."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod


class Command(ABC):
    """A verb of the command line; the constructor takes its arguments."""

    @abstractmethod
    def run(self) -> None:
        """Do the work; raises LaburnumbridgeError."""
