"""Clients, and the routers that hand their packets to the nodes in rotation."""

from __future__ import annotations

import asyncio
import itertools
import random
import zlib

from review.standins.packets import MODULUS
from review.standins.packets import RST
from review.standins.packets import SYN
from review.standins.packets import Packet
from review.standins.packets import distance
from review.standins.stream import End

COPIES_S = (0.0, 0.2, 0.6)
OPENING_LIMIT_S = 1.4
RESET_WINDOW = 76_800
PROBE_S = 0.5
MISSES = 2


class Router:
    """Probes ``/readyz`` twice a second; hashes flows over the nodes in rotation by ``mod``."""

    def __init__(self, *, nodes: list[str], ready_port: int, packet_port: int, record) -> None:
        self._nodes, self._ready_port, self._packet_port = nodes, ready_port, packet_port
        self._record = record
        self._misses = dict.fromkeys(nodes, MISSES)
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._probe(node)) for node in self._nodes]

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()

    @property
    def rotation(self) -> list[str]:
        return [node for node in self._nodes if self._misses[node] < MISSES]

    def node(self, flow: bytes) -> tuple[str, int]:
        nodes = self.rotation
        if 2 * len(nodes) < len(self._nodes):
            nodes = self._nodes
        return nodes[zlib.crc32(flow) % len(nodes)], self._packet_port

    async def _probe(self, node: str) -> None:
        while True:
            was_in = self._misses[node] < MISSES
            try:
                is_ready = await asyncio.wait_for(self._call(node), PROBE_S)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                is_ready = False
            self._misses[node] = 0 if is_ready else self._misses[node] + 1
            if was_in != (self._misses[node] < MISSES):
                self._record("rotation", node, "out" if was_in else "in")
            await asyncio.sleep(PROBE_S)

    async def _call(self, node: str) -> bool:
        reader, writer = await asyncio.open_connection(node, self._ready_port)
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            return head.split(b" ", 2)[1] == b"200"
        finally:
            writer.close()


class Clients(asyncio.DatagramProtocol):
    """All flows of one client address."""

    def __init__(self, *, address: tuple[str, int], router: Router, record) -> None:
        self.address, self._router, self._record = address, router, record
        self._ports = itertools.count(20_000)
        self._ids = itertools.count(1)
        self.flows: dict[int, ClientFlow] = {}

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.address
        )

    def close(self) -> None:
        for flow in list(self.flows.values()):
            flow.close()
        self._transport.close()

    def open(self, host: str, port: int) -> ClientFlow:
        flow = ClientFlow(clients=self, port=next(self._ports), service=(host, port))
        self.flows[flow.port] = flow
        flow.start()
        return flow

    def next_id(self) -> str:
        return f"a{next(self._ids)}"

    def send(self, packet: Packet) -> None:
        raw = packet.encode()
        self._transport.sendto(raw, self._router.node(raw[8:20]))

    def datagram_received(self, raw: bytes, _sender) -> None:
        packet = Packet.decode(raw)
        flow = self.flows.get(packet.dport)
        if flow is not None:
            flow.receive(packet)


class ClientFlow:
    """A flow; ``outcome`` is None until it ends. Requests go one after the other."""

    def __init__(self, *, clients: Clients, port: int, service: tuple[str, int]) -> None:
        self._clients, self.port, self.service = clients, port, service
        self._first_seq = random.getrandbits(32)
        self._end: End | None = None
        self._timers: list[asyncio.TimerHandle] = []
        self._received = bytearray()
        self.opened_at: float | None = None
        self.sent_at = 0.0
        self.outcome: str | None = None
        self.ended = asyncio.Event()
        self.changed = asyncio.Event()
        self.answers: list[tuple[str, str, str]] = []  # request id, service, backend

    @property
    def is_open(self) -> bool:
        return self._end is not None and self.outcome is None

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.sent_at = loop.time()
        self._clients._record("opening-sent", self.port, *self.service)
        for number, delay_s in enumerate(COPIES_S):
            self._timers.append(loop.call_later(delay_s, self._send_opening, number))
        self._timers.append(loop.call_later(OPENING_LIMIT_S, self._end_flow, "never opened"))

    def _send_opening(self, number: int) -> None:
        self._clients.send(
            Packet(
                flags=SYN,
                src=self._clients.address[0],
                sport=self.port,
                dst=self.service[0],
                dport=self.service[1],
                seq=self._first_seq,
                ack=number,
            )
        )

    def _cancel_timers(self) -> None:
        for timer in self._timers:
            timer.cancel()

    def receive(self, packet: Packet) -> None:
        if packet.flags & RST:
            self._on_reset(packet)
            return
        if not packet.is_genuine:
            self._clients._record("forged-at-client", self.port)
            return
        if self.outcome is not None:
            return
        if packet.flags & SYN:
            if self._end is None:
                self._open(packet)
            return
        if self._end is not None:
            self._end.receive(packet)

    def _on_reset(self, packet: Packet) -> None:
        is_own = packet.sum != 0 and packet.is_genuine
        state = "open" if self.is_open else ("over" if self.outcome else "opening")
        in_window = self._end is None or (
            distance(self._end.ack, packet.seq) <= RESET_WINDOW
            or distance(packet.seq, self._end.ack) <= RESET_WINDOW
        )
        sender = "backend" if is_own else "system"
        self._clients._record(
            "reset-at-client", self.port, sender, state, "in window" if in_window else "no window"
        )
        if self.outcome is None and in_window:
            self._end_flow(f"reset by {sender} while {state}")

    def _open(self, packet: Packet) -> None:
        self._cancel_timers()
        self.opened_at = asyncio.get_running_loop().time()
        self._clients._record("opened-at-client", self.port)
        self._end = End(
            address=(self._clients.address[0], self.port),
            peer=self.service,
            seq=(self._first_seq + 1) % MODULUS,
            ack=(packet.seq + 1) % MODULUS,
            send=self._clients.send,
            on_data=self._on_data,
            on_end=self._end_flow,
        )
        self.changed.set()
        self._end.send_ack()

    def request(self, *, body: bytes = b"", method: str = "POST") -> str:
        request_id = self._clients.next_id()
        self._clients._record("request-sent", self.port, request_id)
        self._end.write(
            f"{method} /work HTTP/1.1\r\nHost: desk\r\nX-Attempt-Id: {request_id}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        return request_id

    def finish(self) -> None:
        if self._end is not None:
            self._end.finish()

    def _on_data(self, data: bytes) -> None:
        self._received += data
        while b"\r\n\r\n" in self._received:
            head, _, rest = bytes(self._received).partition(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
            if len(rest) < length:
                return
            self._received = bytearray(rest[length:])
            service, backend, request_id = rest[:length][: length // 8].decode().split("/")
            self.answers.append((request_id, service, backend))
            self._clients._record("answer", self.port, request_id, service, backend)
            self.changed.set()

    def _end_flow(self, reason: str) -> None:
        if self.outcome is None:
            self.outcome = reason
            self._clients._record("flow-ended", self.port, reason)
            self.close()
            self.ended.set()
            self.changed.set()

    def close(self) -> None:
        self._cancel_timers()
        if self._end is not None:
            self._end.close()

    async def wait(self, condition, timeout_s: float) -> bool:
        """Wait until ``condition()`` holds or the flow ends; return whether it holds."""
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        while not condition():
            left_s = until - loop.time()
            if left_s <= 0 or self.outcome is not None:
                return condition()
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                pass
        return True
