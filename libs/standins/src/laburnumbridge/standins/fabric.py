"""Stand-in for the fabric: sends each packet to a balancer chosen at random.

For each client it opens one socket, so that balancers see one source address per client and
answers return to that client. ``PUT /operator/balancers`` replaces the balancers of each service
and ``PUT /operator/faults`` sets ``{"cut": [balancer, ...], "loss": fraction}``; with
``"silence": true`` it drops all later packets of the present clients, in both directions.
"""

from __future__ import annotations

import asyncio
import json
import random
from pathlib import Path  # noqa: TC003, typer reads annotations at run time

import typer
import uvloop
from aiohttp import web

from laburnumbridge.runtime.forwarding_path.udp_socket import UdpSocket
from laburnumbridge.wire import Endpoint

MAX_CLIENTS = 5000


class ClientPort:
    """The socket that exchanges packets with the balancers for one client."""

    def __init__(self, *, fabric: FabricStandIn, entry: ServiceEntry, client: Endpoint) -> None:
        self._fabric = fabric
        self._entry = entry
        self._client = client
        self.drops_packets = False
        host = entry.address.host
        self.socket = UdpSocket(address=Endpoint(host, 0), on_datagram=self._on_answer)

    def _on_answer(self, data: bytes, _address: tuple[str, int]) -> None:
        if not self.drops_packets and not self._fabric.draw_loss():
            self._entry.socket.send(data, self._client)


class ServiceEntry:
    """The address of a service as clients see it."""

    def __init__(self, *, fabric: FabricStandIn, service: str, address: Endpoint) -> None:
        self._fabric = fabric
        self._service = service
        self._port_by_client: dict[tuple[str, int], ClientPort] = {}
        self.address = address
        self.socket = UdpSocket(address=address, on_datagram=self._on_datagram)

    def _on_datagram(self, data: bytes, client: tuple[str, int]) -> None:
        port = self._port_by_client.get(client)
        if port is None:
            if len(self._port_by_client) >= MAX_CLIENTS:
                return
            port = ClientPort(fabric=self._fabric, entry=self, client=Endpoint(*client))
            port.socket.start()
            self._port_by_client[client] = port
        balancer = self._fabric.choose(self._service)
        if balancer is not None and not port.drops_packets:
            port.socket.send(data, balancer)

    def drop_present_clients(self) -> None:
        """Drop all later packets of the present clients; new clients aren't affected."""
        for port in self._port_by_client.values():
            port.drops_packets = True


class FabricStandIn:
    """Spreads datagrams over the balancers at random, from a seed."""

    def __init__(self, *, seed: int) -> None:
        self._random = random.Random(seed)
        self._loss = 0.0
        self._cut: set[str] = set()
        self._balancers_by_service: dict[str, dict[str, Endpoint]] = {}
        self._entries: list[ServiceEntry] = []

    def draw_loss(self) -> bool:
        """Draw whether a datagram, in either direction, is lost."""
        return self._random.random() < self._loss

    def choose(self, service: str) -> Endpoint | None:
        """Return the balancer for a datagram, or None.

        None means that the service has no balancer, the datagram is lost, or the balancer is cut.
        """
        balancers = self._balancers_by_service.get(service, {})
        if not balancers or self.draw_loss():
            return None
        name = self._random.choice(list(balancers))
        return None if name in self._cut else balancers[name]

    def set_balancers(self, addresses: dict[str, dict[str, str]]) -> None:
        """Replace the balancers: service name to balancer name to address."""
        self._balancers_by_service = {
            service: {name: Endpoint.parse(address) for name, address in balancers.items()}
            for service, balancers in addresses.items()
        }

    def start(self, entries: dict[str, str]) -> None:
        """Bind the address of each service."""
        for service, address in entries.items():
            entry = ServiceEntry(fabric=self, service=service, address=Endpoint.parse(address))
            entry.socket.start()
            self._entries.append(entry)

    def application(self) -> web.Application:
        """Return the HTTP application of the harness."""
        application = web.Application()
        application.add_routes(
            [
                web.put("/operator/balancers", self._put_balancers),
                web.put("/operator/faults", self._put_faults),
            ]
        )
        return application

    async def _put_balancers(self, request: web.Request) -> web.Response:
        self.set_balancers(await request.json())
        return web.Response()

    async def _put_faults(self, request: web.Request) -> web.Response:
        faults = await request.json()
        self._cut = set(faults.get("cut", []))
        self._loss = float(faults.get("loss", 0.0))
        if faults.get("silence"):
            for entry in self._entries:
                entry.drop_present_clients()
        return web.Response()


async def serve(host: str, port: int, entries: Path, seed: int) -> None:
    """Serve until cancelled."""
    fabric = FabricStandIn(seed=seed)
    fabric.start(json.loads(entries.read_bytes()))
    runner = web.AppRunner(fabric.application(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    await asyncio.Event().wait()


def main(host: str, port: int, entries: Path, seed: int = 1) -> None:
    """Serve the addresses in a JSON file (service name to address)."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(host, port, entries, seed))


if __name__ == "__main__":
    typer.run(main)
