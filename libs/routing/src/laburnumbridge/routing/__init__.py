"""Routing tokens, packet headers and the routing decision."""

from __future__ import annotations

from laburnumbridge.routing.agent_route import AgentRoute
from laburnumbridge.routing.agent_route import AgentState
from laburnumbridge.routing.maglev_table import MaglevTable
from laburnumbridge.routing.packet_header import parse_packet_header
from laburnumbridge.routing.route_decision import Drop
from laburnumbridge.routing.route_decision import DropReason
from laburnumbridge.routing.route_decision import RouteDecision
from laburnumbridge.routing.route_decision import RouteToAgent
from laburnumbridge.routing.route_decision import SendStatelessReset
from laburnumbridge.routing.router import Router
from laburnumbridge.routing.routing_token import RoutingToken
from laburnumbridge.routing.token_codec import CONNECTION_ID_BYTES
from laburnumbridge.routing.token_codec import TokenCodec

__all__ = [
    "CONNECTION_ID_BYTES",
    "AgentRoute",
    "AgentState",
    "Drop",
    "DropReason",
    "MaglevTable",
    "RouteDecision",
    "RouteToAgent",
    "Router",
    "RoutingToken",
    "SendStatelessReset",
    "TokenCodec",
    "parse_packet_header",
]
