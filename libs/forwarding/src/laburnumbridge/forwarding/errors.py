"""Errors of the forwarding library."""

from __future__ import annotations

from laburnumbridge.core import InvalidInputError
from laburnumbridge.core import UnavailableError


class InvalidSettingsError(InvalidInputError):
    """The settings are invalid; ``field`` is the setting at fault, or the file or its format."""

    def __init__(self, *, path: str, field: str, reason: str) -> None:
        super().__init__(f"settings {path}: {field}: {reason}")
        self.path = path
        self.field = field
        self.reason = reason


class SocketUnavailableError(UnavailableError):
    """A socket of the settings can't be bound."""

    def __init__(self, *, endpoint: str, reason: str) -> None:
        super().__init__(f"can't listen on {endpoint}: {reason}; is another process using it?")
        self.endpoint = endpoint
        self.reason = reason


class MalformedFlowError(InvalidInputError):
    """The text isn't the id of a flow."""

    def __init__(self, *, text: str, reason: str) -> None:
        super().__init__(f"flow {text!r}: {reason}; use CLIENT:PORT>SERVICE:PORT")
        self.text = text
        self.reason = reason


class UnknownRoleError(InvalidInputError):
    """The command names a role that doesn't exist."""

    def __init__(self, *, role: str, roles: tuple[str, ...]) -> None:
        super().__init__(f"role {role!r} doesn't exist; use one of {', '.join(roles)}")
        self.role = role
        self.roles = roles


class UnexpectedAnswerError(UnavailableError):
    """An answer of the platform caused an unexpected error, which is logged by itself."""

    def __init__(self, *, status: int, size: int) -> None:
        super().__init__(
            f"an answer of the platform with status {status} and {size} bytes "
            "caused an internal error"
        )
        self.status = status
        self.size = size
