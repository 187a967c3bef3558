"""Actions that `Admission` returns to its driver."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.admission.events import ConnectionId
    from laburnumbridge.core import Refusal
    from laburnumbridge.core import RequestId


@dataclass(frozen=True, slots=True)
class AcceptConnection:
    """Complete the handshake."""

    connection_id: ConnectionId


@dataclass(frozen=True, slots=True)
class RefuseConnection:
    """Close the connection with the refusal; no request has run on it."""

    connection_id: ConnectionId
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Send the request to the upstream."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Answer with the refusal; the request was not run."""

    request_id: RequestId
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class ExpireRequest:
    """Answer with the refusal `deadline_expired`; the request was not run."""

    request_id: RequestId
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class AbortRequest:
    """Cancel a started request whose deadline has passed.

    It may have run, so the answer must not report it as not run.
    """

    request_id: RequestId


AdmissionAction = (
    AcceptConnection
    | RefuseConnection
    | StartRequest
    | RefuseRequest
    | ExpireRequest
    | AbortRequest
)
