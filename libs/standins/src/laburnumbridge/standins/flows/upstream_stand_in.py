"""A stand-in for an upstream that serves flows."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from laburnumbridge.core import Choice
from laburnumbridge.flows.flow_packet import MAX_DATA_BYTES
from laburnumbridge.standins.flows.stand_in_packets import StandInPacket
from laburnumbridge.standins.flows.stand_in_packets import StandInPacketCodec

if TYPE_CHECKING:
    from laburnumbridge.flows import FlowKey
    from laburnumbridge.flows import FlowPacket
    from laburnumbridge.forwarding.endpoints import Endpoint
    from laburnumbridge.forwarding.network import Loop
    from laburnumbridge.forwarding.network import Network

FIRST_DATA_SEQUENCE = 1
"""Clients send their first data after the opening packet, which has sequence number 0."""


@dataclass(kw_only=True, slots=True)
class _Flow:
    first_sequence: int
    is_open: bool = False
    sent: int = 0
    received_end: int | None = None
    received_parts: bytes = b""
    last_answer: bytes = b""


class UpstreamStandIn:
    """Runs requests in slots, queues the rest, and bounces packets of flows that it doesn't hold.

    A request ends with a packet that isn't full, and takes ``work_s`` seconds.
    ``started_requests`` lists the requests that have been started, ``openings`` the flows whose
    opening packet was accepted. ``opening_attempts`` has the time and the flow of each opening
    packet of a flow that isn't held. While ``accepts`` is False, opening packets of new flows are
    bounced.
    """

    def __init__(
        self,
        *,
        loop: Loop,
        network: Network,
        endpoint: Endpoint,
        output: Endpoint,
        slots: int,
        work_s: float,
        seed: int,
    ) -> None:
        self.endpoint = endpoint
        self._output = output
        self._slots = slots
        self.work_s = work_s
        self._choice = Choice(seed=seed)
        self._codec = StandInPacketCodec()
        self._loop = loop
        self._port = network.datagram_port(endpoint, self._on_datagram)
        self._listener = network.listener(endpoint, lambda _stream, _endpoint: None)
        self.is_running = False
        self._flow_by_key: dict[FlowKey, _Flow] = {}
        self._queue: list[tuple[FlowKey, bytes]] = []
        self.busy = 0
        self.max_queued = 0
        self.accepts = True
        self.started_requests: list[bytes] = []
        self.openings: list[FlowKey] = []
        self.opening_attempts: list[tuple[float, FlowKey]] = []

    @property
    def open_flows(self) -> int:
        """Number of open flows."""
        return sum(flow.is_open for flow in self._flow_by_key.values())

    def holds(self, flow: FlowKey) -> bool:
        """Return whether ``flow`` is open on this upstream."""
        state = self._flow_by_key.get(flow)
        return state is not None and state.is_open

    def start(self) -> None:
        """Start to receive packets and to accept connections."""
        self.is_running = True
        self._port.start()
        self._listener.start()

    def refuse_connections(self) -> None:
        """Refuse TCP connections from now on, and go on with the open flows."""
        self._listener.close()

    def crash(self) -> None:
        """Stop at once, as a crashed process does; unfinished requests get no answer.

        ``holds`` still reports the flows that were open.
        """
        self._port.close()
        self._listener.close()
        self.is_running = False

    def _send(self, datagram: bytes) -> None:
        self._port.send(datagram, self._output)

    def _on_datagram(self, datagram: bytes, _sender: Endpoint) -> None:
        packet = self._codec.decode_from_client(datagram)
        flow = self._flow_by_key.get(packet.flow)
        if packet.is_opening:
            self._on_opening(packet, flow)
        elif flow is None or not self._open_if_acknowledged(packet, flow):
            self._send(self._codec.bounced(datagram))
        else:
            self._on_flow_packet(packet, flow)

    def _on_opening(self, packet: FlowPacket, flow: _Flow | None) -> None:
        if flow is None:
            self.opening_attempts.append((self._loop.now(), packet.flow))
            if not self.accepts:
                self._send(self._codec.bounced(packet.raw))
                return
            flow = _Flow(first_sequence=self._choice.below(1 << 32))
            self._flow_by_key[packet.flow] = flow
            self.openings.append(packet.flow)
        self._answer(packet.flow, flow, b"", is_opening=True)

    @staticmethod
    def _open_if_acknowledged(packet: FlowPacket, flow: _Flow) -> bool:
        """Open a flow whose opening answer ``packet`` acknowledges; return whether it is open."""
        if not flow.is_open:
            flow.is_open = packet.acknowledged == (flow.first_sequence + 1) % (1 << 32)
        return flow.is_open

    def _on_flow_packet(self, packet: FlowPacket, flow: _Flow) -> None:
        if packet.is_final:
            self._answer(packet.flow, flow, b"", is_final=True)
            del self._flow_by_key[packet.flow]
            return
        end = packet.sequence + packet.data_length
        if not packet.data_length:
            return
        if flow.received_end is not None and end <= flow.received_end:
            # The client has not received the answer, which is empty until the request is done.
            if flow.last_answer:
                self._send(flow.last_answer)
            return
        flow.received_end = end
        flow.last_answer = b""
        flow.received_parts += self._codec.data(packet.raw)
        if packet.data_length == MAX_DATA_BYTES:
            self._answer(packet.flow, flow, b"")
            return
        self._queue.append((packet.flow, flow.received_parts))
        flow.received_parts = b""
        self._run_queue()

    def _run_queue(self) -> None:
        while self._queue and self.busy < self._slots:
            flow, request = self._queue.pop(0)
            self.busy += 1
            self.started_requests.append(request)
            self._loop.call_later(self.work_s, partial(self._finish, flow, request))
        self.max_queued = max(self.max_queued, len(self._queue))

    def _finish(self, key: FlowKey, request: bytes) -> None:
        if not self.is_running:
            return
        self.busy -= 1
        flow = self._flow_by_key.get(key)
        if flow is not None:
            self._answer(key, flow, (b"answer to " + request)[:MAX_DATA_BYTES])
        self._run_queue()

    def _answer(
        self,
        key: FlowKey,
        flow: _Flow,
        data: bytes,
        *,
        is_opening: bool = False,
        is_final: bool = False,
    ) -> None:
        sequence = flow.first_sequence if is_opening else flow.first_sequence + 1 + flow.sent
        flow.sent += len(data)
        datagram = StandInPacket(
            flow=key,
            sequence=sequence % (1 << 32),
            acknowledged=FIRST_DATA_SEQUENCE if flow.received_end is None else flow.received_end,
            data=data,
            is_opening=is_opening,
            is_answer=True,
            is_final=is_final,
        ).encode()
        if data:
            flow.last_answer = datagram
        self._send(datagram)
