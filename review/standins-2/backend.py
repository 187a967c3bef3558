"""A backend: flows over UDP, health checks over TCP, its entry in the store."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import packets

if TYPE_CHECKING:
    from collections.abc import Callable

    from store import Store

HALF_OPEN_S = 3.0
FIRST_RETRANSMISSION_S = 0.2
MAX_RETRANSMISSION_S = 1.6
MAX_RETRANSMISSIONS = 8
HEARTBEAT_S = 1.2
Key = tuple[str, int, str, int]


@dataclass(kw_only=True)
class _Flow:
    key: Key
    first: int
    received: int
    opened_at: float | None = None
    created_at: float = 0.0
    request: bytes = b""
    sent: int = 0
    acked: int = 0
    out: bytes = b""
    finishing: bool = False
    fin_sent: bool = False
    client_finished: bool = False
    retransmissions: int = 0
    timer: asyncio.TimerHandle | None = None
    early: dict[int, bytes] = field(default_factory=dict)


class Backend(asyncio.DatagramProtocol):
    """Serves requests in slots. ``record`` notes what it sees."""

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        address: str,
        port: int,
        outbound: tuple[str, int],
        slots: int,
        work_s: float,
        store: Store,
        record: Callable[..., None],
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.port = port
        self._outbound = outbound
        self.slots = slots
        self.work_s = work_s
        self._store = store
        self._record = record
        self.state = "ready"
        self.born_ms = 0
        self._sequence = 0
        self.is_running = False
        self._flows: dict[Key, _Flow] = {}
        self._ended: dict[Key, tuple[int, int]] = {}
        self._busy = 0
        self._queue: list[tuple[Key, bytes]] = []
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self.bounces: list[tuple[float, Key, int]] = []
        self.openings: list[tuple[float, Key]] = []
        self.runs: list[tuple[float, str, str]] = []

    @property
    def entry(self) -> dict[str, Any]:
        """The entry as the backend writes it."""
        return {
            "service": self.service,
            "address": f"{self.address}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "seq": self._sequence,
            "born": self.born_ms,
        }

    async def start(self) -> None:
        """Listen, and register in the store."""
        loop = asyncio.get_running_loop()
        self.born_ms = int(time.time() * 1_000)
        self.is_running = True
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.port)
        )
        self._transport = transport
        self._server = await asyncio.start_server(self._health, self.address, self.port)
        self._tasks.append(asyncio.create_task(self._heartbeats()))

    async def write_entry(self) -> float:
        """Write the entry now; return the time of the store's acknowledgement."""
        self._sequence += 1
        return await self._store.put_entry(f"servers/{self.name}", self.entry)

    async def drain(self) -> float:
        """Report ``draining``; return when the store has acknowledged that."""
        self.state = "draining"
        return await self.write_entry()

    async def close(self) -> None:
        """End, as a crashed process does."""
        self.is_running = False
        for task in self._tasks:
            task.cancel()
        for flow in self._flows.values():
            if flow.timer:
                flow.timer.cancel()
        if self._transport:
            self._transport.close()
        if self._server:
            self._server.close()

    def holds(self, key: Key) -> bool:
        """Return whether a flow is open here."""
        flow = self._flows.get(key)
        return flow is not None and flow.opened_at is not None

    async def _heartbeats(self) -> None:
        while True:
            await self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def _health(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def datagram_received(self, data: bytes, _addr: tuple[str, int]) -> None:
        """Handle a packet from the process beside it."""
        packet = packets.decode(data)
        if packet is None:
            return
        now = asyncio.get_running_loop().time()
        if not packet.sum_is_valid:
            self._record("forged packet", backend=self.name, flags=packet.flags)
            return
        key = (*packet.source, *packet.destination)
        flow = self._flows.get(key)
        if packet.has(packets.SYN):
            self._on_opening(key, flow, packet, now)
        elif flow is None:
            self._on_unknown(key, packet, data, now)
        else:
            self._on_packet(flow, packet, data, now)

    def _on_opening(self, key: Key, flow: _Flow | None, packet: packets.Packet, now: float) -> None:
        if flow is not None and flow.opened_at is None and now - flow.created_at > HALF_OPEN_S:
            flow = None
        if flow is None:
            flow = _Flow(
                key=key,
                first=random.getrandbits(32),
                received=(packet.sequence + 1) % packets.MODULUS,
                created_at=now,
            )
            self._flows[key] = flow
            self.openings.append((now, key))
            self._record("opening", backend=self.name, flow=key, copy=packet.acknowledged)
        self._send(flow, packets.SYN | packets.ACK, flow.first, b"")

    def _on_unknown(self, key: Key, packet: packets.Packet, data: bytes, now: float) -> None:
        ended = self._ended.get(key)
        if ended is None:
            self.bounces.append((now, key, packet.flags))
            self._record("bounced", backend=self.name, flow=key, flags=packet.flags)
            assert self._transport is not None
            self._transport.sendto(packets.bounced(data), self._outbound)
            return
        sequence, received = ended
        stub = _Flow(key=key, first=0, received=received)
        if packet.has(packets.FIN):
            stub.received = (packet.end + 1) % packets.MODULUS
            self._send(stub, packets.ACK, sequence, b"")
        elif packet.data:
            self._send(stub, packets.RST, sequence, b"")

    def _on_packet(self, flow: _Flow, packet: packets.Packet, data: bytes, now: float) -> None:
        base = (flow.first + 1) % packets.MODULUS
        acked = packets.distance(base, packet.acknowledged)
        if acked > max(flow.sent, 0) + flow.fin_sent:
            if flow.opened_at is None:
                # The client has chosen another backend's answer.
                self.bounces.append((now, flow.key, packet.flags))
                assert self._transport is not None
                self._transport.sendto(packets.bounced(data), self._outbound)
            return
        if flow.opened_at is None:
            flow.opened_at = now
            self._record("open", backend=self.name, flow=flow.key)
        if packet.has(packets.RST):
            self._drop(flow)
            return
        if acked > flow.acked:
            flow.acked = acked
            flow.retransmissions = 0
        if packet.data:
            self._on_data(flow, packet)
        if packet.has(packets.FIN) and packet.end == flow.received:
            flow.received = (flow.received + 1) % packets.MODULUS
            flow.client_finished = True
            flow.finishing = True
            self._send(flow, packets.ACK, self._next(flow), b"")
        self._pump(flow)
        if flow.client_finished and flow.fin_sent and flow.acked > flow.sent:
            self._drop(flow)

    def _on_data(self, flow: _Flow, packet: packets.Packet) -> None:
        if packet.sequence == flow.received:
            flow.received = packet.end
            flow.request += packet.data
            while flow.received in flow.early:
                part = flow.early.pop(flow.received)
                flow.received = (flow.received + len(part)) % packets.MODULUS
                flow.request += part
        elif packets.distance(flow.received, packet.sequence) < 100_000:
            flow.early[packet.sequence] = packet.data
        self._send(flow, packets.ACK, self._next(flow), b"")
        while b"\r\n\r\n" in flow.request:
            head, _, rest = flow.request.partition(b"\r\n\r\n")
            length = 0
            for line in head.split(b"\r\n")[1:]:
                name, _, value = line.partition(b":")
                if name.lower() == b"content-length":
                    length = int(value)
            if len(rest) < length:
                return
            flow.request = rest[length:]
            self._queue.append((flow.key, head))
            self._run_queue()

    def _run_queue(self) -> None:
        while self._queue and self._busy < self.slots:
            key, head = self._queue.pop(0)
            self._busy += 1
            now = asyncio.get_running_loop().time()
            attempt = ""
            for line in head.split(b"\r\n")[1:]:
                if line.lower().startswith(b"x-attempt-id:"):
                    attempt = line.partition(b":")[2].strip().decode()
            path = head.split(b" ", 2)[1].decode()
            self.runs.append((now, attempt, path))
            self._record("run", backend=self.name, service=self.service, attempt=attempt, path=path)
            asyncio.get_running_loop().call_later(self.work_s, self._finish, key, attempt)

    def _finish(self, key: Key, attempt: str) -> None:
        self._busy -= 1
        if not self.is_running:
            return
        flow = self._flows.get(key)
        if flow is not None:
            body = f"answer of {self.name} to {attempt}\n".encode()
            close = self.state == "draining"
            flow.out += (
                f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
                f"X-Backend-Signature: {self.name}/{attempt}\r\n"
                + ("Connection: close\r\n" if close else "")
                + "\r\n"
            ).encode() + body
            flow.finishing = flow.finishing or close
            self._pump(flow)
        self._run_queue()

    def _next(self, flow: _Flow) -> int:
        return (flow.first + 1 + flow.sent + flow.fin_sent) % packets.MODULUS

    def _pump(self, flow: _Flow) -> None:
        while flow.sent < len(flow.out) and flow.sent - flow.acked < 16 * packets.MAX_DATA_BYTES:
            part = flow.out[flow.sent : flow.sent + packets.MAX_DATA_BYTES]
            sequence = (flow.first + 1 + flow.sent) % packets.MODULUS
            flow.sent += len(part)
            self._send(flow, packets.ACK, sequence, part)
        is_idle = not any(key == flow.key for key, _ in self._queue)
        if flow.finishing and not flow.fin_sent and flow.sent == len(flow.out) and is_idle:
            sequence = (flow.first + 1 + flow.sent) % packets.MODULUS
            self._send(flow, packets.FIN | packets.ACK, sequence, b"")
            flow.fin_sent = True
        self._schedule(flow)

    def _schedule(self, flow: _Flow) -> None:
        if flow.timer:
            flow.timer.cancel()
            flow.timer = None
        if flow.acked < flow.sent + flow.fin_sent:
            delay_s = min(FIRST_RETRANSMISSION_S * 2**flow.retransmissions, MAX_RETRANSMISSION_S)
            flow.timer = asyncio.get_running_loop().call_later(delay_s, self._retransmit, flow)

    def _retransmit(self, flow: _Flow) -> None:
        if self._flows.get(flow.key) is not flow or not self.is_running:
            return
        flow.retransmissions += 1
        if flow.retransmissions > MAX_RETRANSMISSIONS:
            self._drop(flow)
            return
        start = flow.acked
        if start < flow.sent:
            part = flow.out[start : start + packets.MAX_DATA_BYTES]
            sequence = (flow.first + 1 + start) % packets.MODULUS
            self._send(flow, packets.ACK, sequence, part)
        elif flow.fin_sent:
            sequence = (flow.first + 1 + flow.sent) % packets.MODULUS
            self._send(flow, packets.FIN | packets.ACK, sequence, b"")
        self._schedule(flow)

    def _drop(self, flow: _Flow) -> None:
        if flow.timer:
            flow.timer.cancel()
        self._flows.pop(flow.key, None)
        self._ended[flow.key] = (self._next(flow), flow.received)

    def _send(self, flow: _Flow, flags: int, sequence: int, data: bytes) -> None:
        client, client_port, address, port = flow.key
        assert self._transport is not None
        self._transport.sendto(
            packets.encode(
                packets.Packet(
                    flags=flags,
                    source=(address, port),
                    destination=(client, client_port),
                    sequence=sequence,
                    acknowledged=flow.received,
                    data=data,
                )
            ),
            self._outbound,
        )
