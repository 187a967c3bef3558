"""What a detector is told."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.core import ProcessId
    from laburnumbridge.membership.member import Member
    from laburnumbridge.membership.messages import Message


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; expected every `TICK_INTERVAL_S`."""


@dataclass(frozen=True, slots=True)
class ListReceived:
    """The platform's list of VMs, in full."""

    version: int
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A control datagram has arrived and its seal is valid."""

    source: ProcessId
    message: Message


@dataclass(frozen=True, slots=True)
class PortClosed:
    """The VM of an agent has answered a forwarded datagram with "port closed"."""

    process_id: ProcessId


@dataclass(frozen=True, slots=True)
class ForwardingTimedOut:
    """An agent has not answered forwarded datagrams for a while; weak evidence."""

    process_id: ProcessId


@dataclass(frozen=True, slots=True)
class LeaveAnnounced:
    """This process is about to stop."""


@dataclass(frozen=True, slots=True)
class InterestChanged:
    """The processes besides its siblings that an agent depends on, such as lease holders."""

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
