"""A backend: flows over packets, requests on a number of slots, its entry in the store."""

from __future__ import annotations

import asyncio
import json
import random
import time

from review.standins.packets import ACK
from review.standins.packets import BOUNCED
from review.standins.packets import FIN
from review.standins.packets import MODULUS
from review.standins.packets import RST
from review.standins.packets import SYN
from review.standins.packets import Packet
from review.standins.packets import bounced
from review.standins.stream import End

HEARTBEAT_S = 1.2
MAX_CONNECTIONS = 2_000
QUEUE = 20


class Backend(asyncio.DatagramProtocol):
    def __init__(
        self, *, name, service, address, output, zone, store, record, slots=4, work_s=0.05
    ) -> None:
        self.name, self.service, self.address = name, service, address
        self._output, self._zone, self._store, self._record = output, zone, store, record
        self._slots, self._work_s = slots, work_s
        self._busy = 0
        self._waiting: list[tuple[_Flow, str]] = []
        self.flows: dict[tuple[str, int], _Flow] = {}
        self.ended: dict[tuple[str, int], float] = {}
        self.is_draining = False
        self._seq = 0
        self._born = int(time.time() * 1000)
        # Time, flow and whether it is open here, of each packet but the opening ones.
        self.arrivals: list[tuple[float, tuple[str, int], bool]] = []

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.address
        )
        self._server = await asyncio.start_server(self._health, *self.address)
        self._record("backend-start", self.name, self.service, self.address[0])
        self.publish()
        self._task = loop.create_task(self._beat())

    def close(self) -> None:
        self._task.cancel()
        self._server.close()
        self._transport.close()
        for flow in self.flows.values():
            flow.close()

    def entry(self) -> dict:
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self._zone,
            "version": "v1",
            "slots": self._slots,
            "state": "draining" if self.is_draining else "ready",
            "warmup_left_ms": 0,
            "seq": self._seq,
            "born": self._born,
        }

    def publish(self) -> float:
        """Write the entry; return the time of the store's acknowledgement."""
        self._seq += 1
        return self._store.put(f"servers/{self.name}", json.dumps(self.entry()).encode())

    def drain(self) -> float:
        self.is_draining = True
        at = self.publish()
        self._record("drain-acknowledged", self.name)
        return at

    async def _beat(self) -> None:
        # An entry changes in the store only when more than its seq changes, so a heartbeat
        # without news gives no event.
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._seq += 1

    async def _health(self, reader, writer) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            status = 503 if self.is_draining else 200
            writer.write(
                f"HTTP/1.1 {status} X\r\nX-Backend-Id: {self.name}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def datagram_received(self, raw: bytes, _sender) -> None:
        packet = Packet.decode(raw)
        if not packet.is_genuine or packet.flags & BOUNCED:
            self._record("forged-at-backend", self.name, f"{packet.src}:{packet.sport}")
            return
        key = (packet.src, packet.sport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if packet.flags & ACK:
                self._record("forged-at-backend", self.name, f"{packet.src}:{packet.sport}")
                return
            if flow is None:
                if len(self.flows) >= MAX_CONNECTIONS or len(self._waiting) >= QUEUE:
                    self.send_raw(bounced(raw))
                    return
                flow = self.flows[key] = _Flow(backend=self, packet=packet)
                self._record("opening-at-backend", self.name, self.service, packet.sport)
            if not flow.is_open:
                flow.answer_opening()
            return
        is_own = flow is not None and (flow.is_open or packet.ack == flow.expected_ack)
        self.arrivals.append((asyncio.get_running_loop().time(), key, is_own))
        if not is_own:
            if key in self.ended:
                self._answer_ended(packet)
                return
            self.send_raw(bounced(raw))
            return
        flow.receive(packet)

    def _answer_ended(self, packet: Packet) -> None:
        if packet.flags & RST or not packet.length:
            return
        flags = ACK if packet.flags & FIN else RST
        answer = Packet(
            flags=flags,
            src=packet.dst,
            sport=packet.dport,
            dst=packet.src,
            dport=packet.sport,
            seq=packet.ack,
            ack=(packet.seq + packet.length) % MODULUS,
        )
        self.send_raw(answer.encode())

    def send_raw(self, raw: bytes) -> None:
        self._transport.sendto(raw, self._output)

    def end_flow(self, key: tuple[str, int]) -> None:
        flow = self.flows.pop(key, None)
        if flow is not None:
            self.ended[key] = asyncio.get_running_loop().time()
            flow.close()

    def submit(self, flow: _Flow, request_id: str) -> None:
        self._waiting.append((flow, request_id))
        self._run_waiting()

    def _run_waiting(self) -> None:
        while self._waiting and self._busy < self._slots:
            flow, request_id = self._waiting.pop(0)
            self._busy += 1
            self._record("run", self.name, self.service, flow.key[1], request_id)
            asyncio.get_running_loop().call_later(self._work_s, self._answer, flow, request_id)

    def _answer(self, flow: _Flow, request_id: str) -> None:
        self._busy -= 1
        flow.answer(request_id)
        self._run_waiting()


class _Flow:
    def __init__(self, *, backend: Backend, packet: Packet) -> None:
        self._backend = backend
        self.key = (packet.src, packet.sport)
        self._opening = packet
        self._first_seq = random.getrandbits(32)
        self.expected_ack = (self._first_seq + 1) % MODULUS
        self.is_open = False
        self._received = bytearray()
        self._end: End | None = None
        self._timer = asyncio.get_running_loop().call_later(5.0, self._give_up)

    def answer_opening(self) -> None:
        opening = self._opening
        answer = Packet(
            flags=SYN | ACK,
            src=opening.dst,
            sport=opening.dport,
            dst=opening.src,
            dport=opening.sport,
            seq=self._first_seq,
            ack=(opening.seq + 1) % MODULUS,
        )
        self._backend.send_raw(answer.encode())

    def _give_up(self) -> None:
        if not self.is_open:
            self._backend.flows.pop(self.key, None)

    def receive(self, packet: Packet) -> None:
        if packet.flags & RST:
            self._backend.end_flow(self.key)
            return
        if self._end is None:
            self.is_open = True
            opening = self._opening
            self._backend._record("open", self._backend.name, self._backend.service, self.key[1])
            self._end = End(
                address=(opening.dst, opening.dport),
                peer=self.key,
                seq=self.expected_ack,
                ack=(opening.seq + 1) % MODULUS,
                send=lambda sent: self._backend.send_raw(sent.encode()),
                on_data=self._on_data,
                on_end=lambda _: self._backend.end_flow(self.key),
            )
        self._end.receive(packet)

    def _on_data(self, data: bytes) -> None:
        self._received += data
        while b"\r\n\r\n" in self._received:
            head, _, rest = bytes(self._received).partition(b"\r\n\r\n")
            fields = dict(
                line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if b": " in line
            )
            length = int(fields.get(b"content-length", b"0"))
            if len(rest) < length:
                return
            self._received = bytearray(rest[length:])
            self._backend.submit(self, fields[b"x-attempt-id"].decode())

    def answer(self, request_id: str) -> None:
        if self._end is None or self._end.is_over:
            return
        body = f"{self._backend.service}/{self._backend.name}/{request_id}".encode() * 8
        self._end.write(
            f"HTTP/1.1 200 OK\r\nX-Backend-Signature: {self._backend.name}.{request_id}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        if self._backend.is_draining:
            self._end.finish()

    def close(self) -> None:
        self._timer.cancel()
        if self._end is not None:
            self._end.close()
