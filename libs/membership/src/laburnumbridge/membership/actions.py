"""What a detector asks its driver to do, and what it reports."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.core import Incarnation
    from laburnumbridge.core import ProcessId
    from laburnumbridge.membership.liveness_version import LivenessVersion
    from laburnumbridge.membership.member import MemberState
    from laburnumbridge.membership.messages import Message


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a control datagram."""

    destination: ProcessId
    message: Message


@dataclass(frozen=True, slots=True)
class StateChanged:
    """The state or the incarnation of a process has changed."""

    process_id: ProcessId
    state: MemberState
    incarnation: Incarnation | None


@dataclass(frozen=True, slots=True)
class SuspicionRefuted:
    """This process was suspected or declared dead and has refuted it with ``life``."""

    life: LivenessVersion


@dataclass(frozen=True, slots=True)
class Superseded:
    """A newer process runs under the identifier of this one."""

    life: LivenessVersion


@dataclass(frozen=True, slots=True)
class ViewExpired:
    """The clock jumped by ``gap_s``; decisions on the view must wait for `ViewRefreshed`."""

    gap_s: float


@dataclass(frozen=True, slots=True)
class ViewRefreshed:
    """Fresh answers have arrived since the view expired."""


@dataclass(frozen=True, slots=True)
class PanicChanged:
    """The observer has begun, or ceased, to hold its own view at fault."""

    active: bool


Action = (
    SendMessage
    | StateChanged
    | SuspicionRefuted
    | Superseded
    | ViewExpired
    | ViewRefreshed
    | PanicChanged
)
