"""Errors of the runtime library."""

from __future__ import annotations

from laburnumbridge.core import InvalidInputError
from laburnumbridge.core import UnavailableError


class PlatformUnavailableError(UnavailableError):
    """The platform's service is unavailable or responds with an error."""

    def __init__(self, *, url: str, reason: str) -> None:
        super().__init__(f"the platform at {url} can't be read: {reason}")
        self.url = url
        self.reason = reason


class AddressInUseError(UnavailableError):
    """A local address can't be bound."""

    def __init__(self, *, address: str, reason: str) -> None:
        super().__init__(
            f"can't listen on {address}: {reason}; check that no other process uses the address"
        )
        self.address = address
        self.reason = reason


class UpstreamNotReachedError(UnavailableError):
    """No connection to the upstream was established, so nothing ran there."""

    def __init__(self, *, url: str, reason: str) -> None:
        super().__init__(f"upstream {url} can't be reached: {reason}")
        self.url = url
        self.reason = reason


class UpstreamLostError(UnavailableError):
    """The connection to the upstream was lost when bytes may have been sent."""

    def __init__(self, *, url: str, reason: str) -> None:
        super().__init__(f"the connection to upstream {url} was lost: {reason}")
        self.url = url
        self.reason = reason


class ClientAbortedError(UnavailableError):
    """The client has closed the stream or the connection."""

    def __init__(self) -> None:
        super().__init__("the client closed the stream or the connection")


class UnknownServiceError(InvalidInputError):
    """The settings name a service that the platform doesn't publish."""

    def __init__(self, *, service: str) -> None:
        step = "correct the settings, or publish it"
        super().__init__(f"service {service!r} is not in the list of services; {step}")
        self.service = service


class SiblingNotReachedError(UnavailableError):
    """The request was never sent to the sibling."""

    def __init__(self, *, sibling: str, reason: str) -> None:
        super().__init__(f"agent {sibling} can't be reached: {reason}")
        self.sibling = sibling
        self.reason = reason


class SiblingLostError(UnavailableError):
    """The connection to the sibling was lost when the request may have arrived."""

    def __init__(self, *, sibling: str, reason: str) -> None:
        super().__init__(f"the connection to agent {sibling} was lost: {reason}")
        self.sibling = sibling
        self.reason = reason
