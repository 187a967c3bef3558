"""Errors of the command line; each message names the thing, the reason and the next step."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.core import InvalidInputError
from laburnumbridge.core import LaburnumbridgeError
from laburnumbridge.core import UnavailableError

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path


class UnknownBenchmarkError(InvalidInputError):
    """No installed library registers a benchmark of this name."""

    def __init__(self, *, name: str, available: Sequence[str]) -> None:
        super().__init__(
            f"there is no benchmark {name!r}; available: {', '.join(available) or 'none'}"
        )
        self.name = name
        self.available = tuple(available)


class FileNotReadableError(InvalidInputError):
    """A file that an option names is missing or can't be read."""

    def __init__(self, *, path: Path, reason: str) -> None:
        super().__init__(f"can't read {path}: {reason}; check the path and its mode")
        self.path = path
        self.reason = reason


class FileNotWritableError(InvalidInputError):
    """A file that an option names can't be written."""

    def __init__(self, *, path: Path, reason: str) -> None:
        super().__init__(f"can't write {path}: {reason}; choose another path")
        self.path = path
        self.reason = reason


class MissingOptionError(InvalidInputError):
    """An option is missing that the other options make necessary."""

    def __init__(self, *, option: str, purpose: str) -> None:
        super().__init__(f"{option} is missing: {purpose}; add it and run the command again")
        self.option = option


class ChecksFailedError(InvalidInputError):
    """The lists or the settings have errors."""

    def __init__(self, *, errors: int) -> None:
        noun = "error" if errors == 1 else "errors"
        super().__init__(f"the files have {errors} {noun}; correct them and run check again")
        self.errors = errors


class ListNotUsableError(InvalidInputError):
    """A list that a command needs is not valid."""

    def __init__(self, *, origin: str, reason: str) -> None:
        super().__init__(f"{origin}: {reason}; run check to list its faults")
        self.origin = origin
        self.reason = reason


class TlsFilesNotUsableError(InvalidInputError):
    """The PEM files of the operator can't be read or don't match one another."""

    def __init__(self, *, reason: str) -> None:
        super().__init__(f"{reason}; check --tls-certificate, --tls-key and --tls-authority")
        self.reason = reason


class PlatformReadError(UnavailableError):
    """A list can't be read from the platform."""

    def __init__(self, *, reason: str) -> None:
        super().__init__(f"{reason}; check --platform, or name the files with --vms and --services")
        self.reason = reason


class NoProcessesError(InvalidInputError):
    """The list of VMs is empty."""

    def __init__(self, *, origin: str) -> None:
        super().__init__(f"the VM list of {origin} is empty; check that it is the right one")
        self.origin = origin


class NoAnswerError(UnavailableError):
    """None of the processes answered."""

    def __init__(self, *, processes: int, first_reason: str) -> None:
        super().__init__(
            f"none of {processes} processes answered; first failure: {first_reason}; check the "
            "control addresses and the TLS files"
        )
        self.processes = processes
        self.first_reason = first_reason


class NoDecisionsError(LaburnumbridgeError):
    """No process that answered has a decision about the subject in memory."""

    def __init__(self, *, subject: str, unresponsive: int) -> None:
        note = f" ({unresponsive} did not answer)" if unresponsive else ""
        super().__init__(
            f"no process has decisions about {subject}{note}; check the identifier; decisions are "
            "kept in memory for a limited time"
        )
        self.subject = subject
        self.unresponsive = unresponsive


class NotABalancerError(InvalidInputError):
    """The settings are those of an agent."""

    def __init__(self, *, process: str) -> None:
        super().__init__(f"{process} is an agent; name the settings file of a balancer")
        self.process = process


class PlacementQueryRejectedError(InvalidInputError):
    """A balancer found the query malformed; ``reason`` is its answer."""

    def __init__(self, *, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class NoPlacementAnswerError(UnavailableError):
    """A balancer can't tell where it would send an opening packet."""

    def __init__(self, *, process: str, reason: str) -> None:
        super().__init__(f"{process} gave no placement: {reason}; see 'flow status'")
        self.process = process
        self.reason = reason


class FlowNotLoggedError(LaburnumbridgeError):
    """No line of the given logs names the flow."""

    def __init__(self, *, flow: str, logs: int) -> None:
        super().__init__(
            f"no line of {logs} logs names flow {flow!r}; its id is "
            "CLIENT:PORT>SERVICE:PORT, and the logs of all balancers and agents are needed"
        )
        self.flow = flow
        self.logs = logs
