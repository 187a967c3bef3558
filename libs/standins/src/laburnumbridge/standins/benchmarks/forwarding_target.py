"""Processes that the forwarding benchmark measures: a bare relay, the balancer, a generator."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Annotated

import typer
import uvloop

from laburnumbridge.core import AgentNumber
from laburnumbridge.core import Incarnation
from laburnumbridge.core import ServiceNumber
from laburnumbridge.routing import AgentRoute
from laburnumbridge.routing import AgentState
from laburnumbridge.routing import Router
from laburnumbridge.routing import RoutingToken
from laburnumbridge.routing import TokenCodec
from laburnumbridge.runtime.forwarding_path.balancer_forwarder import BalancerForwarder
from laburnumbridge.standins.benchmarks.flow_balancer_target import make_flow_packets
from laburnumbridge.standins.benchmarks.flow_balancer_target import serve_flow_balancer
from laburnumbridge.wire import Encapsulation
from laburnumbridge.wire import Endpoint

KEY = bytes(range(16))
SERVICE = ServiceNumber(1)
FLOWS = 1000
PACKET_BYTES = 1200

_SOCKETS = 50
_BUFFER_BYTES = 4 * 1024 * 1024

application = typer.Typer()


def make_codec() -> TokenCodec:
    """Return the codec that all processes of the benchmark share."""
    return TokenCodec(keys_by_number={1: KEY}, current_number=1)


def make_packets(agents: int) -> list[bytes]:
    """Return one short-header packet for each of FLOWS flows over ``agents`` agents."""
    codec = make_codec()
    tokens = [
        RoutingToken(
            agent_number=AgentNumber(flow % agents + 1),
            incarnation=Incarnation(1),
            service_number=SERVICE,
            nonce=flow,
        )
        for flow in range(FLOWS)
    ]
    return [(b"\x40" + codec.encode(token)).ljust(PACKET_BYTES, b"p") for token in tokens]


def make_router(agents: int) -> Router:
    """Return a router with ``agents`` live agents of one service."""
    router = Router(codec=make_codec())
    routes = [
        AgentRoute(agent_number=AgentNumber(n + 1), service_number=SERVICE, state=AgentState.LIVE)
        for n in range(agents)
    ]
    router.set_routes(routes=routes, services=[SERVICE])
    return router


@application.command()
def relay(listen: str, target: str) -> None:
    """Forward datagrams one by one with blocking sockets: the baseline."""
    source = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    source.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
    source.bind(tuple(Endpoint.parse(listen)))
    out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    destination = tuple(Endpoint.parse(target))
    while True:
        data, _ = source.recvfrom(2048)
        out.sendto(data, destination)


@application.command()
def balancer(listen: str, target: str) -> None:
    """Forward datagrams by their tokens to agents that are all at one address."""
    asyncio.Runner(loop_factory=uvloop.new_event_loop).run(_serve(listen, target))


async def _serve(listen: str, target: str) -> None:
    agents = 100
    address = Endpoint.parse(listen)
    forwarder = BalancerForwarder(
        router=make_router(agents),
        encapsulation=Encapsulation(link_key=KEY),
        address=Endpoint(address.host, 0),
        address_by_service={SERVICE: address},
    )
    forwarder.set_agents({AgentNumber(n + 1): Endpoint.parse(target) for n in range(agents)})
    forwarder.start()
    await asyncio.Event().wait()


@application.command("flow-balancer")
def flow_balancer(listen: str, target: str) -> None:
    """Forward packets of flows whose agents are recorded; all agents are at one address."""
    serve_flow_balancer(
        listen=listen, target=target, packets=[packet for _, packet in make_flow_packets()]
    )


@application.command()
def generate(
    target: str,
    seconds: float,
    flows: Annotated[bool, typer.Option(help="Packets of flows, not of QUIC.")] = False,
) -> None:
    """Send packets as fast as one thread can, for a bounded time."""
    destination = tuple(Endpoint.parse(target))
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(_SOCKETS)]
    packets = [packet for _, packet in make_flow_packets()] if flows else make_packets(100)
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for index, packet in enumerate(packets):
            sockets[index % _SOCKETS].sendto(packet, destination)


if __name__ == "__main__":
    application()
