from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from laburnumbridge.core import AgentNumber
from laburnumbridge.core import Incarnation
from laburnumbridge.core import ServiceNumber
from laburnumbridge.routing import AgentRoute
from laburnumbridge.routing import AgentState
from laburnumbridge.routing import Drop
from laburnumbridge.routing import DropReason
from laburnumbridge.routing import Router
from laburnumbridge.routing import RouteToAgent
from laburnumbridge.routing import RoutingToken
from laburnumbridge.routing import SendStatelessReset
from laburnumbridge.routing import TokenCodec

KEY = bytes(range(16))
DESK = ServiceNumber(1)
STORE = ServiceNumber(2)
CODEC = TokenCodec(keys_by_number={1: KEY}, current_number=1)


def make_route(
    agent: int,
    service: ServiceNumber = DESK,
    state: AgentState = AgentState.LIVE,
    incarnation: int | None = None,
) -> AgentRoute:
    return AgentRoute(
        agent_number=AgentNumber(agent),
        service_number=service,
        state=state,
        incarnation=None if incarnation is None else Incarnation(incarnation),
    )


def make_router(*routes: AgentRoute) -> Router:
    router = Router(codec=CODEC)
    router.set_routes(routes=routes, services=[DESK, STORE])
    return router


def make_id(agent: int, service: ServiceNumber = DESK, incarnation: int = 7) -> bytes:
    return CODEC.encode(
        RoutingToken(
            agent_number=AgentNumber(agent),
            incarnation=Incarnation(incarnation),
            service_number=service,
            nonce=1,
        )
    )


def make_short(connection_id: bytes) -> bytes:
    return b"\x40" + connection_id + b"payload"


def make_initial(connection_id: bytes, size: int = 1200) -> bytes:
    head = b"\xc0\x00\x00\x00\x01" + bytes([len(connection_id)]) + connection_id
    return head.ljust(size, b"\0")


class TestOpenFlows:
    def test_balancers_with_different_views_route_a_token_to_the_same_agent(self) -> None:
        # Guards against a flow that moves to another agent when the balancers' views differ.
        packet = make_short(make_id(3))
        first = make_router(make_route(3))
        second = make_router(*(make_route(n) for n in range(1, 9)))
        assert (
            first.route(packet, DESK) == second.route(packet, DESK) == RouteToAgent(AgentNumber(3))
        )

    def test_a_leaving_or_suspect_agent_keeps_its_flows(self) -> None:
        for state in (AgentState.LEAVING, AgentState.SUSPECT):
            router = make_router(make_route(3, state=state), make_route(4))
            assert router.route(make_short(make_id(3)), DESK) == RouteToAgent(AgentNumber(3))

    def test_a_flow_of_an_unlisted_agent_is_not_reset(self) -> None:
        # Guards against a balancer with an outdated list that resets the flows of a new agent.
        decision = make_router(make_route(4)).route(make_short(make_id(3)), DESK)
        assert decision == Drop(DropReason.NO_AGENT)

    def test_a_gone_agent_or_a_newer_incarnation_resets_the_flow(self) -> None:
        connection_id = make_id(3, incarnation=7)
        expected = SendStatelessReset(CODEC.reset_token(connection_id))
        for route in (
            make_route(3, state=AgentState.GONE),
            make_route(3, incarnation=8),
            make_route(3, service=STORE),
        ):
            assert make_router(route).route(make_short(connection_id), DESK) == expected

    def test_a_change_of_the_table_applies_at_once(self) -> None:
        # Guards against cached decisions that stay after a change of the table.
        router = make_router(make_route(3))
        packet = make_short(make_id(3))
        assert isinstance(router.route(packet, DESK), RouteToAgent)
        router.set_routes(routes=[make_route(3, state=AgentState.GONE)], services=[DESK])
        assert isinstance(router.route(packet, DESK), SendStatelessReset)

    def test_a_token_of_another_service_is_dropped(self) -> None:
        # Guards against a packet that is delivered to another service than its flow's.
        router = make_router(make_route(3), make_route(4, service=STORE))
        packet = make_short(make_id(3))
        assert router.route(packet, STORE) == Drop(DropReason.WRONG_SERVICE)
        assert router.route(make_initial(make_id(3)), STORE) == Drop(DropReason.WRONG_SERVICE)


class TestNewFlows:
    def test_only_live_agents_of_the_service_get_new_flows(self) -> None:
        router = make_router(
            make_route(1),
            make_route(2, state=AgentState.LEAVING),
            make_route(3, state=AgentState.SUSPECT),
            make_route(4, state=AgentState.GONE),
            make_route(5, service=STORE),
        )
        for number in range(200):
            decision = router.route(make_initial(number.to_bytes(8, "big")), DESK)
            assert decision == RouteToAgent(AgentNumber(1))

    def test_suspect_agents_get_new_flows_if_no_agent_is_live(self) -> None:
        router = make_router(make_route(3, state=AgentState.SUSPECT))
        assert router.route(make_initial(b"12345678"), DESK) == RouteToAgent(AgentNumber(3))

    def test_losing_one_agent_moves_few_new_flows_of_the_others(self) -> None:
        before = make_router(*(make_route(n) for n in range(1, 8)))
        after = make_router(*(make_route(n) for n in range(1, 7)))
        keys = [number.to_bytes(8, "big") for number in range(5000)]
        pairs = [(before.route_new(key, DESK), after.route_new(key, DESK)) for key in keys]
        kept = [a == b for a, b in pairs if a != RouteToAgent(AgentNumber(7))]
        assert sum(kept) / len(kept) > 0.9

    def test_a_short_initial_and_an_unknown_service_are_dropped(self) -> None:
        router = make_router(make_route(1))
        short = make_initial(b"12345678", size=300)
        assert router.route(short, DESK) == Drop(DropReason.SHORT_INITIAL)
        unknown = router.route(make_initial(b"12345678"), ServiceNumber(9))
        assert unknown == Drop(DropReason.UNKNOWN_SERVICE)


class TestBadInput:
    @given(st.binary(max_size=1500))
    @settings(derandomize=True, deadline=None, max_examples=500)
    def test_random_packets_never_raise_and_never_carry_a_token(self, datagram: bytes) -> None:
        decision = make_router(make_route(1)).route(datagram, DESK)
        is_new_flow = len(datagram) >= 1200 and bool(datagram[0] & 0x80)
        assert isinstance(decision, Drop) or is_new_flow

    @given(st.integers(0, 30))
    @settings(derandomize=True, deadline=None)
    def test_truncated_packets_are_dropped(self, length: int) -> None:
        packet = make_short(make_id(1))[: min(length, 17)]
        assert make_router(make_route(1)).route(packet, DESK) == Drop(DropReason.MALFORMED)
        initial = make_initial(b"12345678")[: min(length, 13)]
        assert isinstance(make_router(make_route(1)).route(initial, DESK), Drop)
