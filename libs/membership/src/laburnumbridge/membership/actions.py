"""Actions that a detector requests of its driver, and changes that it reports."""

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
    """The state or the incarnation of a process has changed.

    ``incarnation`` is None without a record about the process.
    """

    process_id: ProcessId
    state: MemberState
    incarnation: Incarnation | None


@dataclass(frozen=True, slots=True)
class SuspicionRefuted:
    """This process has refuted a claim that it is suspect or dead; ``life`` is its new version."""

    life: LivenessVersion


@dataclass(frozen=True, slots=True)
class Superseded:
    """A process with a newer incarnation uses the identifier of this one."""

    life: LivenessVersion


@dataclass(frozen=True, slots=True)
class ViewExpired:
    """This process handled no event for ``gap_s`` seconds.

    Decisions based on the view must wait for `ViewRefreshed`.
    """

    gap_s: float


@dataclass(frozen=True, slots=True)
class ViewRefreshed:
    """Enough processes have answered since the view expired."""


@dataclass(frozen=True, slots=True)
class PanicChanged:
    """The observer entered or left panic mode, in which it assumes its own view to be wrong."""

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
