"""Errors of the stand-ins."""

from __future__ import annotations

from laburnumbridge.core import LaburnumbridgeError


class FlowBrokenError(LaburnumbridgeError):
    """A client's flow has ended without the client's doing."""

    def __init__(self, *, reason: str) -> None:
        super().__init__(f"flow broken: {reason}")
        self.reason = reason


class AnswerCutError(LaburnumbridgeError):
    """An answer ended before it was whole; the client can tell."""

    def __init__(self, *, error_code: int) -> None:
        super().__init__(f"answer cut with code {error_code:#x}")
        self.error_code = error_code


class ProcessNotReadyError(LaburnumbridgeError):
    """A process of the harness didn't become ready, or ended early."""

    def __init__(self, *, name: str, reason: str) -> None:
        super().__init__(f"{name} is not ready: {reason}")
        self.name = name
        self.reason = reason


class NoFreeNetworkError(LaburnumbridgeError):
    """Other processes use every part of the loopback network that was tried."""

    def __init__(self, *, tried: int) -> None:
        super().__init__(f"no free loopback network among {tried}")
        self.tried = tried
