"""Client packets at one agent, whose socket, event loop and connections are fakes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from types import SimpleNamespace
from typing import TYPE_CHECKING

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from laburnumbridge.core import AgentNumber
from laburnumbridge.core import Incarnation
from laburnumbridge.core import ServiceNumber
from laburnumbridge.routing import TokenCodec
from laburnumbridge.runtime.client_connections import flow_endpoint
from laburnumbridge.runtime.client_connections.connection_id_issuer import ConnectionIdIssuer
from laburnumbridge.runtime.client_connections.flow_mover import FlowMover
from laburnumbridge.runtime.forwarding_path.return_path import ReturnPath
from laburnumbridge.wire import Encapsulation
from laburnumbridge.wire import Endpoint
from laburnumbridge.wire import Frame
from laburnumbridge.wire import FrameKind

if TYPE_CHECKING:
    from collections.abc import Callable

DESK, STORE = ServiceNumber(1), ServiceNumber(2)
CODEC = TokenCodec(keys_by_number={1: bytes(16)}, current_number=1)
ENCAPSULATION = Encapsulation(link_key=bytes(16))
CLIENT = Endpoint("203.0.113.9", 5000)
BALANCERS = [Endpoint(f"198.51.100.{n}", 4433) for n in (21, 22, 23)]
RESET_KEY = "reset_sent"


class FakeSocket:
    """Records the endpoints to which datagrams are sent."""

    def __init__(
        self, *, address: Endpoint, on_datagram: Callable[[bytes, tuple[str, int]], None]
    ) -> None:
        self.on_datagram = on_datagram
        self.sent: list[Endpoint] = []

    def send(self, data: bytes, endpoint: Endpoint) -> None:
        self.sent.append(endpoint)


class RecordingPolicy(flow_endpoint.HandshakePolicy):
    """Forwards every handshake, so that none needs a QUIC connection."""

    def __init__(self) -> None:
        self.handshake_count = 0

    def choose(self, flow_key: bytes, *, handed_off: bool, now: float) -> Endpoint | None:
        self.handshake_count += 1
        return BALANCERS[0]

    def opened(self, now: float) -> None:
        """Does nothing, because no flow opens in these steps."""

    def closed(self, now: float) -> None:
        """Does nothing, because no flow closes in these steps."""


@dataclass
class FakeConnection:
    """An open flow; ``closed`` is True after the agent closed it."""

    opened: bool = True
    going_away: bool = False
    open_requests: int = 1
    closed: bool = False

    def go_away(self) -> None:
        self.going_away = True

    def close(self) -> None:
        self.closed = True


class AgentWorld:
    """One agent: its endpoint, its open flows and its return path to a client."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 50.0
        loop = SimpleNamespace(time=lambda: self.now)
        monkeypatch.setattr(asyncio, "get_running_loop", lambda: loop)
        monkeypatch.setattr(flow_endpoint, "UdpSocket", FakeSocket)
        self.policy = RecordingPolicy()
        self.endpoint = self._endpoint(agent=4, service=STORE, incarnation=1_001)
        self.connections: list[FakeConnection] = []
        self.return_path: ReturnPath | None = None
        self.return_path_socket = FakeSocket(address=BALANCERS[0], on_datagram=lambda *_: None)

    @property
    def socket(self) -> FakeSocket:
        fake = self.endpoint._socket
        assert isinstance(fake, FakeSocket)
        return fake

    def receive(self, datagram: bytes, service: ServiceNumber) -> None:
        frame = Frame(FrameKind.TO_AGENT, service, CLIENT, datagram, None)
        self.socket.on_datagram(ENCAPSULATION.encode(frame), tuple(BALANCERS[0]))

    def _endpoint(
        self, *, agent: int, service: ServiceNumber, incarnation: int
    ) -> flow_endpoint.FlowEndpoint:
        return flow_endpoint.FlowEndpoint(
            address=Endpoint("198.51.100.4", 4433),
            encapsulation=ENCAPSULATION,
            issuer=make_issuer(agent, service, incarnation),
            quic_configuration=SimpleNamespace(supported_versions=[1]),  # type: ignore[arg-type]
            handler=None,  # type: ignore[arg-type]
            policy=self.policy,
            list_balancers=lambda: BALANCERS,
            recorder=None,  # type: ignore[arg-type]
        )


def make_issuer(agent: int, service: ServiceNumber, incarnation: int) -> ConnectionIdIssuer:
    """Return the issuer of an agent's connection IDs."""
    return ConnectionIdIssuer(
        codec=CODEC,
        agent_number=AgentNumber(agent),
        incarnation=Incarnation(incarnation),
        service_number=service,
    )


@pytest.fixture
def agent_world(monkeypatch: pytest.MonkeyPatch) -> AgentWorld:
    return AgentWorld(monkeypatch)


@given("an agent of the service store at an address that the service desk had before")
def agent_at_reused_address(agent_world: AgentWorld) -> None:
    assert agent_world.policy.handshake_count == 0


@when("a balancer with an outdated list sends it the first packet of a client of desk")
def outdated_initial(agent_world: AgentWorld) -> None:
    header = b"\xc0\x00\x00\x00\x01\x08" + bytes(8) + b"\x00\x00\x44\x00"
    agent_world.receive(header.ljust(1200, b"\0"), DESK)


@when(parsers.parse("a balancer sends it a packet of a stream of {owner}"))
def stream_packet(agent_world: AgentWorld, owner: str) -> None:
    issuer = {
        "another agent": make_issuer(3, STORE, 1_000),
        "the previous process at its address": make_issuer(4, STORE, 1_000),
    }[owner]
    packet = b"\x40" + issuer.issue().connection_id + bytes(40)
    agent_world.receive(packet, STORE)


@then("the agent drops it without a reply or a new handshake")
def packet_dropped(agent_world: AgentWorld) -> None:
    assert agent_world.socket.sent == []
    assert agent_world.policy.handshake_count == 0
    assert sum(agent_world.endpoint.dropped.values()) == 1


@then("the agent sends the client a stateless reset at once")
def agent_resets(agent_world: AgentWorld) -> None:
    assert agent_world.endpoint.dropped[RESET_KEY] == 1
    assert agent_world.socket.sent == [BALANCERS[0]]


@given(parsers.parse("an agent with {count:d} open flows"))
def open_flows(agent_world: AgentWorld, count: int) -> None:
    agent_world.connections = [FakeConnection(open_requests=n % 3) for n in range(count)]


@when(parsers.parse("it drains for {seconds:d} seconds"))
def drains(agent_world: AgentWorld, seconds: int) -> None:
    mover = FlowMover(flows=SimpleNamespace(connections=agent_world.connections))  # type: ignore[arg-type]
    mover.start_drain()
    for _ in range(seconds):
        mover._step()


@then("every client has been notified to open a new connection")
def all_notified(agent_world: AgentWorld) -> None:
    assert all(connection.going_away for connection in agent_world.connections)


@then("the agent has closed no flow")
def none_closed(agent_world: AgentWorld) -> None:
    assert not any(connection.closed for connection in agent_world.connections)


@given("a stream whose packets came through one balancer")
def stream_through_balancer(agent_world: AgentWorld) -> None:
    agent_world.return_path = ReturnPath(
        socket=agent_world.return_path_socket,  # type: ignore[arg-type]
        encapsulation=ENCAPSULATION,
        service_number=DESK,
        client=CLIENT,
        balancer=BALANCERS[0],
        list_balancers=lambda: BALANCERS,
        now=agent_world.now,
    )


@when(
    parsers.parse(
        "that balancer becomes unresponsive and the agent sends a reading each second for {n:d} s"
    )
)
def balancer_unresponsive(agent_world: AgentWorld, n: int) -> None:
    assert agent_world.return_path is not None
    for _ in range(n):
        agent_world.now += 1.01
        agent_world.return_path.sendto(b"reading")


@then("the readings go through the other balancers")
def other_balancers(agent_world: AgentWorld) -> None:
    assert set(agent_world.return_path_socket.sent) >= set(BALANCERS[1:])
    assert agent_world.return_path_socket.sent.count(BALANCERS[0]) <= 1
