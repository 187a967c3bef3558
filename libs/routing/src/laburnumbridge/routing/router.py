"""The routing decision of a balancer."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from laburnumbridge.core import ServiceNumber
from laburnumbridge.core import hash64
from laburnumbridge.routing.agent_route import AgentState
from laburnumbridge.routing.maglev_table import MaglevTable
from laburnumbridge.routing.packet_header import MIN_INITIAL_DATAGRAM_BYTES
from laburnumbridge.routing.packet_header import parse_packet_header
from laburnumbridge.routing.route_decision import Drop
from laburnumbridge.routing.route_decision import DropReason
from laburnumbridge.routing.route_decision import RouteToAgent
from laburnumbridge.routing.route_decision import SendStatelessReset
from laburnumbridge.routing.token_codec import CONNECTION_ID_BYTES
from laburnumbridge.routing.token_codec import HOLDER_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterable

    from laburnumbridge.core import AgentNumber
    from laburnumbridge.routing.agent_route import AgentRoute
    from laburnumbridge.routing.route_decision import RouteDecision
    from laburnumbridge.routing.routing_token import RoutingToken
    from laburnumbridge.routing.token_codec import TokenCodec

# A balancer sees the packets of all flows of the fleet, so decisions are cached by the holder in
# the token: there are only as many holders as agents. A second cache by connection ID saves the
# decryption while the fleet has few flows.
HOLDER_CACHE_ENTRIES = 20_000
FLOW_CACHE_ENTRIES = 50_000

_SHORT_HEADER_MIN = 0x40
_SHORT_HEADER_END = 0x80

_MALFORMED = Drop(DropReason.MALFORMED)
_UNKNOWN_SERVICE = Drop(DropReason.UNKNOWN_SERVICE)
_SHORT_INITIAL = Drop(DropReason.SHORT_INITIAL)
_UNKNOWN_TOKEN = Drop(DropReason.UNKNOWN_TOKEN)
_WRONG_SERVICE = Drop(DropReason.WRONG_SERVICE)
_NO_AGENT = Drop(DropReason.NO_AGENT)
_AGENT_GONE = Drop(DropReason.AGENT_GONE)


class Router:
    """Chooses the route of a datagram from the datagram and the table of agents alone.

    It keeps no state per flow: the caches can be cleared at any time without an effect on any
    decision.
    """

    def __init__(self, *, codec: TokenCodec) -> None:
        self._codec = codec
        self._routes_by_number: dict[AgentNumber, AgentRoute] = {}
        self._table_by_service: dict[ServiceNumber, MaglevTable] = {}
        self._services: set[ServiceNumber] = set()
        self._decision_by_holder: dict[tuple[int, bytes], RouteDecision] = {}
        self._decision_by_flow: dict[tuple[int, bytes], RouteDecision] = {}

    def set_codec(self, codec: TokenCodec) -> None:
        """Replace the keys, after a rotation."""
        self._codec = codec
        self._clear_decisions()

    def set_routes(
        self, *, routes: Iterable[AgentRoute], services: Iterable[ServiceNumber]
    ) -> None:
        """Replace the agents; the lookup tables of unchanged services are kept."""
        self._routes_by_number = {route.agent_number: route for route in routes}
        self._services = set(services)
        live: dict[ServiceNumber, list[int]] = defaultdict(list)
        suspect: dict[ServiceNumber, list[int]] = defaultdict(list)
        for route in self._routes_by_number.values():
            if route.state is AgentState.LIVE:
                live[route.service_number].append(route.agent_number)
            elif route.state is AgentState.SUSPECT:
                suspect[route.service_number].append(route.agent_number)
        tables = {}
        for service in self._services:
            # If every agent is suspect, the fault is more likely at the observer.
            members = tuple(sorted(live[service] or suspect[service]))
            if not members:
                continue
            cached = self._table_by_service.get(service)
            unchanged = cached is not None and cached.members == members
            tables[service] = cached if unchanged and cached else MaglevTable(members=members)
        self._table_by_service = tables
        self._clear_decisions()

    def route(self, datagram: bytes, service_number: ServiceNumber) -> RouteDecision:
        """Decide on one datagram that arrived at the address of ``service_number``."""
        if datagram and _SHORT_HEADER_MIN <= datagram[0] < _SHORT_HEADER_END:
            flow = (service_number, datagram[1 : 1 + CONNECTION_ID_BYTES])
            cached = self._decision_by_flow.get(flow)
            return cached if cached is not None else self._route_short(*flow)
        return self._route_long(datagram, service_number)

    def route_new(self, flow_key: bytes, service_number: ServiceNumber) -> RouteDecision:
        """Choose the agent that takes a new flow, by any stable key of the flow."""
        table = self._table_by_service.get(service_number)
        if table is None:
            return _NO_AGENT
        return RouteToAgent(table.lookup(hash64(flow_key)))  # type: ignore[arg-type]

    def route_token(self, token: RoutingToken, service_number: ServiceNumber) -> RouteDecision:
        """Route a flow by its token."""
        if token.service_number != service_number:
            return _WRONG_SERVICE
        route = self._routes_by_number.get(token.agent_number)
        # The list lags, so an agent that isn't in it may well be alive: the flow isn't reset.
        if route is None:
            return _NO_AGENT
        if route.service_number != service_number or route.state is AgentState.GONE:
            return _AGENT_GONE
        if route.incarnation is not None and route.incarnation > token.incarnation:
            return _AGENT_GONE
        return RouteToAgent(token.agent_number)

    def _route_short(self, service_number: ServiceNumber, connection_id: bytes) -> RouteDecision:
        """Route a short header, and cache the decision if its token is authentic."""
        block = self._codec.open(connection_id)
        if block is None:
            is_short = len(connection_id) < CONNECTION_ID_BYTES
            return _MALFORMED if is_short else _UNKNOWN_TOKEN
        key = (service_number, block[:HOLDER_BYTES])
        decision = self._decision_by_holder.get(key)
        if decision is None:
            decision = self._decide_by_holder(connection_id, service_number)
            _cache_decision(self._decision_by_holder, HOLDER_CACHE_ENTRIES, key, decision)
        if decision is _AGENT_GONE:
            decision = SendStatelessReset(self._codec.reset_token(connection_id))
        flow = (service_number, connection_id)
        _cache_decision(self._decision_by_flow, FLOW_CACHE_ENTRIES, flow, decision)
        return decision

    def _decide_by_holder(
        self, connection_id: bytes, service_number: ServiceNumber
    ) -> RouteDecision:
        token = self._codec.decode(connection_id)
        if service_number not in self._services:
            return _UNKNOWN_SERVICE
        return _UNKNOWN_TOKEN if token is None else self.route_token(token, service_number)

    def _route_long(self, datagram: bytes, service_number: ServiceNumber) -> RouteDecision:
        header = parse_packet_header(datagram, short_id_bytes=CONNECTION_ID_BYTES)
        if header is None:
            return _MALFORMED
        if service_number not in self._services:
            return _UNKNOWN_SERVICE
        token = self._codec.decode(header.destination_id)
        if token is None:
            if not header.may_open:
                return _UNKNOWN_TOKEN
            if len(datagram) < MIN_INITIAL_DATAGRAM_BYTES:
                return _SHORT_INITIAL
            return self.route_new(header.destination_id, service_number)
        return self.route_token(token, service_number)

    def _clear_decisions(self) -> None:
        self._decision_by_holder.clear()
        self._decision_by_flow.clear()


def _cache_decision(
    cache: dict[tuple[int, bytes], RouteDecision],
    limit: int,
    key: tuple[int, bytes],
    decision: RouteDecision,
) -> None:
    if len(cache) >= limit:
        cache.clear()
    cache[key] = decision
