"""Selection of the agent, and so of the upstream, for each new connection."""

from __future__ import annotations

from laburnumbridge.placement.actions import ForwardHandshake
from laburnumbridge.placement.actions import KeepHandshake
from laburnumbridge.placement.actions import PlacementAction
from laburnumbridge.placement.actions import RequestReconnect
from laburnumbridge.placement.events import BusySlotsChanged
from laburnumbridge.placement.events import DrainStarted
from laburnumbridge.placement.events import FlowClosed
from laburnumbridge.placement.events import FlowOpened
from laburnumbridge.placement.events import HandshakeArrived
from laburnumbridge.placement.events import LoadReport
from laburnumbridge.placement.events import PlacementEvent
from laburnumbridge.placement.events import SiblingChanged
from laburnumbridge.placement.events import SiblingReported
from laburnumbridge.placement.events import SiblingState
from laburnumbridge.placement.events import Tick
from laburnumbridge.placement.events import UpstreamStartedCold
from laburnumbridge.placement.placement import Placement
from laburnumbridge.placement.placement_settings import PlacementSettings

__all__ = [
    "BusySlotsChanged",
    "DrainStarted",
    "FlowClosed",
    "FlowOpened",
    "ForwardHandshake",
    "HandshakeArrived",
    "KeepHandshake",
    "LoadReport",
    "Placement",
    "PlacementAction",
    "PlacementEvent",
    "PlacementSettings",
    "RequestReconnect",
    "SiblingChanged",
    "SiblingReported",
    "SiblingState",
    "Tick",
    "UpstreamStartedCold",
]
