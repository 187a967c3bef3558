"""Events that `Placement` handles; times are monotonic seconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from laburnumbridge.core import AgentNumber


class SiblingState(StrEnum):
    """State of an agent of the same service, as membership reports it."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, kw_only=True, slots=True)
class HandshakeArrived:
    """The first packet of a connection, or a repeat of it with the same ``key``."""

    key: bytes
    was_forwarded: bool = False


@dataclass(frozen=True, slots=True)
class FlowOpened:
    """One more flow is open at this agent."""


@dataclass(frozen=True, slots=True)
class FlowClosed:
    """One flow of this agent ended."""


@dataclass(frozen=True, slots=True)
class BusySlotsChanged:
    """The number of busy slots of this agent's upstream changed."""

    busy_slots: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """The load that an agent reports to its siblings; ``busy_slots`` is a mean over seconds."""

    open_flows: int
    connections: int
    busy_slots: float
    slots: int
    slow_start_share: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class SiblingReported:
    """A load report that was ``age_s`` old on arrival; ignored before any `SiblingChanged`."""

    agent_number: AgentNumber
    report: LoadReport
    age_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class SiblingChanged:
    """Membership reports a new state of a sibling."""

    agent_number: AgentNumber
    state: SiblingState


@dataclass(frozen=True, slots=True)
class UpstreamStartedCold:
    """This agent's upstream has just started."""


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """This agent's upstream drains: new connections are forwarded while a sibling is live."""


@dataclass(frozen=True, slots=True)
class Tick:
    """The time returned by `Placement.next_deadline` has arrived."""


PlacementEvent = (
    HandshakeArrived
    | FlowOpened
    | FlowClosed
    | BusySlotsChanged
    | SiblingReported
    | SiblingChanged
    | UpstreamStartedCold
    | DrainStarted
    | Tick
)
