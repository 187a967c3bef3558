"""Errors of the stand-ins."""

from __future__ import annotations

from laburnumbridge.core import LaburnumbridgeError


class FlowBrokenError(LaburnumbridgeError):
    """A client's flow ended, and the client didn't close it."""

    def __init__(self, *, reason: str) -> None:
        super().__init__(f"flow broken: {reason}")
        self.reason = reason


class TruncatedAnswerError(LaburnumbridgeError):
    """An answer ended early, with an error code that the client receives."""

    def __init__(self, *, error_code: int) -> None:
        super().__init__(f"answer truncated with code {error_code:#x}")
        self.error_code = error_code


class ProcessNotReadyError(LaburnumbridgeError):
    """A process of the harness didn't become ready in time, or ended before."""

    def __init__(self, *, name: str, reason: str) -> None:
        super().__init__(f"{name} is not ready: {reason}")
        self.name = name
        self.reason = reason


class NoFreeNetworkError(LaburnumbridgeError):
    """Other processes use each of the ``tried`` parts of the loopback network."""

    def __init__(self, *, tried: int) -> None:
        super().__init__(f"no free loopback network among {tried}")
        self.tried = tried
