"""Events that a detector handles."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.core import ProcessId
    from laburnumbridge.membership.member import Member
    from laburnumbridge.membership.messages import Message


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic timer; expected every `TICK_INTERVAL_S`."""


@dataclass(frozen=True, slots=True)
class ListReceived:
    """The platform's list of VMs, in full."""

    version: int
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """An authenticated control datagram has arrived."""

    source: ProcessId
    message: Message


@dataclass(frozen=True, slots=True)
class PortClosed:
    """The VM of an agent has answered a forwarded datagram with "port closed"."""

    process_id: ProcessId


@dataclass(frozen=True, slots=True)
class ForwardingTimedOut:
    """An agent hasn't answered forwarded datagrams for some time.

    This is weak evidence: it causes a probe, but no suspicion.
    """

    process_id: ProcessId


@dataclass(frozen=True, slots=True)
class LeaveAnnounced:
    """This process is about to stop."""


@dataclass(frozen=True, slots=True)
class InterestChanged:
    """The processes other than its siblings that an agent depends on, such as lease holders."""

    process_ids: tuple[ProcessId, ...]


Event = (
    Tick
    | ListReceived
    | MessageReceived
    | PortClosed
    | ForwardingTimedOut
    | LeaveAnnounced
    | InterestChanged
)
