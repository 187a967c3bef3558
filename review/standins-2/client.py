"""Clients, and the routers that forward their packets to balancers."""

from __future__ import annotations

import asyncio
import contextlib
import random
import zlib
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import packets

if TYPE_CHECKING:
    from collections.abc import Callable

COPIES_AFTER_S = (0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
RESET_WINDOW = 76_800
PROBE_INTERVAL_S = 0.5
MISSES = 2


class Routers:
    """Select a ready balancer for each flow by ``mod``; readiness is checked twice a second."""

    def __init__(self, *, balancers: list[tuple[str, int]], ready_port: int) -> None:
        self.balancers = balancers
        self._ready_port = ready_port
        self.rotation: list[tuple[str, int]] = []
        self._misses = dict.fromkeys(balancers, MISSES)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Begin the checks."""
        for balancer in self.balancers:
            self._tasks.append(asyncio.create_task(self._check(balancer)))

    async def close(self) -> None:
        """End the checks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _check(self, balancer: tuple[str, int]) -> None:
        while True:
            is_ready = False
            with contextlib.suppress(OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                is_ready = await asyncio.wait_for(self._get(balancer[0]), PROBE_INTERVAL_S)
            self._misses[balancer] = 0 if is_ready else self._misses[balancer] + 1
            self.rotation = [one for one in self.balancers if self._misses[one] < MISSES]
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _get(self, address: str) -> bool:
        reader, writer = await asyncio.open_connection(address, self._ready_port)
        try:
            writer.write(f"GET /readyz HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
            head = await reader.readuntil(b"\r\n\r\n")
            return head.startswith(b"HTTP/1.1 200")
        finally:
            writer.close()

    def select(self, key: tuple[str, int, str, int]) -> tuple[str, int]:
        """Return the balancer for a flow."""
        nodes = self.rotation
        if 2 * len(nodes) < len(self.balancers):
            nodes = self.balancers
        return nodes[zlib.crc32(repr(key).encode()) % len(nodes)]


@dataclass(kw_only=True)
class Flow:
    """The client's end of a flow."""

    key: tuple[str, int, str, int]
    first: int
    opened: asyncio.Event = field(default_factory=asyncio.Event)
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    how: str = ""
    ended_at: float = 0.0
    opened_at: float | None = None
    sent: int = 0
    acked: int = 0
    out: bytes = b""
    received: int = 0
    data: bytes = b""
    backend_first: int | None = None
    fin_sent: bool = False
    arrived: asyncio.Event = field(default_factory=asyncio.Event)
    balancers: list[tuple[str, int]] = field(default_factory=list)


class Clients(asyncio.DatagramProtocol):
    """All clients of one address."""

    def __init__(
        self,
        *,
        address: str,
        port: int,
        routers: Routers,
        record: Callable[..., None],
    ) -> None:
        self.address = address
        self.port = port
        self._routers = routers
        self._record = record
        self._next_port = 20_000
        self._flows: dict[tuple[str, int, str, int], Flow] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._attempts = 0

    async def start(self) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.port)
        )

    async def close(self) -> None:
        """Close the socket."""
        if self._transport:
            self._transport.close()

    def new_attempt(self) -> str:
        """Return the id of the next attempt."""
        self._attempts += 1
        return f"a-{self._attempts}"

    async def open(self, route: tuple[str, int]) -> Flow:
        """Open a flow; ``how`` is empty if it is open."""
        self._next_port += 1
        key = (self.address, self._next_port, *route)
        flow = Flow(key=key, first=random.getrandbits(32))
        self._flows[key] = flow
        started = asyncio.get_running_loop().time()
        self._send(flow, packets.SYN, flow.first, b"", acknowledged=0)
        for copy, after_s in enumerate((*COPIES_AFTER_S, OPENING_TIMEOUT_S), start=1):
            left_s = started + after_s - asyncio.get_running_loop().time()
            if await self._wait_opened(flow, left_s):
                return flow
            if after_s < OPENING_TIMEOUT_S:
                self._send(flow, packets.SYN, flow.first, b"", acknowledged=copy)
        self._end(flow, "unanswered")
        return flow

    @staticmethod
    async def _wait_opened(flow: Flow, left_s: float) -> bool:
        waiting = [
            asyncio.create_task(flow.opened.wait()),
            asyncio.create_task(flow.ended.wait()),
        ]
        done, pending = await asyncio.wait(
            waiting, timeout=max(left_s, 0.0), return_when=asyncio.FIRST_COMPLETED
        )
        for task in pending:
            task.cancel()
        return bool(done)

    async def request(
        self, flow: Flow, path: str, *, attempt: str = "", deadline_s: float = 3.0
    ) -> tuple[str, str]:
        """Send one request on an open flow; return its attempt id and how it ended."""
        attempt = attempt or self.new_attempt()
        self._record("sent", attempt=attempt, path=path, flow=flow.key)
        how = await self._exchange(flow, path, attempt, deadline_s)
        self._record("answered", attempt=attempt, how=how)
        return attempt, how

    async def _exchange(self, flow: Flow, path: str, attempt: str, deadline_s: float) -> str:
        flow.data = b""
        text = f"GET {path} HTTP/1.1\r\nHost: service\r\nX-Attempt-Id: {attempt}\r\n\r\n"
        flow.out += text.encode()
        deadline = asyncio.get_running_loop().time() + deadline_s
        interval_s = 0.2
        self._transmit(flow)
        resend_at = asyncio.get_running_loop().time() + interval_s
        while not flow.how:
            now = asyncio.get_running_loop().time()
            answer = self._complete(flow)
            if answer is not None:
                return answer
            if now >= deadline:
                return "deadline"
            flow.arrived.clear()
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(
                    flow.arrived.wait(), max(min(resend_at, deadline) - now, 0.001)
                )
            if asyncio.get_running_loop().time() >= resend_at and flow.acked < len(flow.out):
                interval_s = min(interval_s * 2, 1.6)
                resend_at = asyncio.get_running_loop().time() + interval_s
                flow.sent = flow.acked
                self._transmit(flow)
            elif asyncio.get_running_loop().time() >= resend_at:
                resend_at = asyncio.get_running_loop().time() + interval_s
        answer = self._complete(flow)
        return answer if answer is not None else flow.how

    @staticmethod
    def _complete(flow: Flow) -> str | None:
        head, separator, body = flow.data.partition(b"\r\n\r\n")
        if not separator:
            return None
        for line in head.split(b"\r\n")[1:]:
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length" and len(body) >= int(value):
                return head.split(b" ", 2)[1].decode() + " " + body.decode().strip()
        return None

    def finish(self, flow: Flow) -> None:
        """Send the final packet."""
        if flow.how or flow.fin_sent:
            return
        flow.fin_sent = True
        sequence = (flow.first + 1 + len(flow.out)) % packets.MODULUS
        self._send(flow, packets.FIN | packets.ACK, sequence, b"")

    def _transmit(self, flow: Flow) -> None:
        while flow.sent < len(flow.out):
            part = flow.out[flow.sent : flow.sent + packets.MAX_DATA_BYTES]
            sequence = (flow.first + 1 + flow.sent) % packets.MODULUS
            flow.sent += len(part)
            self._send(flow, packets.ACK, sequence, part)

    def _end(self, flow: Flow, how: str) -> None:
        if not flow.how:
            flow.how = how
            flow.ended_at = asyncio.get_running_loop().time()
            flow.ended.set()
            flow.arrived.set()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a packet for a client."""
        packet = packets.decode(data)
        if packet is None:
            self._record("client got no packet", sender=addr)
            return
        key = (*packet.destination, *packet.source)
        flow = self._flows.get(key)
        if flow is None or flow.how:
            return
        if packet.has(packets.RST):
            self._on_reset(flow, packet, addr)
            return
        if not packet.sum_is_valid:
            self._record("client got a forged packet", flow=key, flags=packet.flags)
            return
        if packet.has(packets.SYN):
            if flow.backend_first is None:
                flow.backend_first = packet.sequence
                flow.received = (packet.sequence + 1) % packets.MODULUS
                flow.opened_at = asyncio.get_running_loop().time()
                self._send(flow, packets.ACK, (flow.first + 1) % packets.MODULUS, b"")
                flow.opened.set()
            return
        self._on_packet(flow, packet)

    def _on_reset(self, flow: Flow, packet: packets.Packet, addr: tuple[str, int]) -> None:
        by = "backend" if packet.sum_is_valid else "system"
        is_open = flow.opened_at is not None
        offset = packets.distance(packet.sequence, flow.received)
        is_near = min(offset, packets.MODULUS - offset) <= RESET_WINDOW
        self._record(
            "reset", flow=flow.key, by=by, sender=addr[0], is_open=is_open, is_near=is_near
        )
        if is_near or not is_open:
            self._end(flow, f"reset by {by}")

    def _on_packet(self, flow: Flow, packet: packets.Packet) -> None:
        if flow.backend_first is None:
            return
        acked = packets.distance((flow.first + 1) % packets.MODULUS, packet.acknowledged)
        if acked <= len(flow.out) + 1:
            flow.acked = max(flow.acked, min(acked, len(flow.out)))
        next_sequence = (flow.first + 1 + flow.sent + flow.fin_sent) % packets.MODULUS
        if packet.data:
            if packet.sequence == flow.received:
                flow.received = packet.end
                flow.data += packet.data
                flow.arrived.set()
            self._send(flow, packets.ACK, next_sequence, b"")
        if packet.has(packets.FIN) and packet.end == flow.received:
            flow.received = (flow.received + 1) % packets.MODULUS
            self._send(flow, packets.ACK, next_sequence, b"")
            self.finish(flow)
            flow.arrived.set()
            self._end(flow, "closed")

    def _send(
        self,
        flow: Flow,
        flags: int,
        sequence: int,
        data: bytes,
        *,
        acknowledged: int | None = None,
    ) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        balancer = self._routers.select(flow.key)
        if not flow.balancers or flow.balancers[-1] != balancer:
            flow.balancers.append(balancer)
        self._transport.sendto(
            packets.encode(
                packets.Packet(
                    flags=flags,
                    source=(flow.key[0], flow.key[1]),
                    destination=(flow.key[2], flow.key[3]),
                    sequence=sequence,
                    acknowledged=flow.received if acknowledged is None else acknowledged,
                    data=data,
                )
            ),
            balancer,
        )
