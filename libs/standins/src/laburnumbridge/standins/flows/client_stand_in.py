"""A stand-in for a client that opens flows."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from laburnumbridge.core import pack_ipv4
from laburnumbridge.flows import FlowKey
from laburnumbridge.flows.flow_packet import MAX_DATA_BYTES
from laburnumbridge.standins.flows.stand_in_packets import StandInPacket
from laburnumbridge.standins.flows.stand_in_packets import StandInPacketCodec

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.forwarding.endpoints import Endpoint
    from laburnumbridge.forwarding.network import Loop
    from laburnumbridge.forwarding.network import Network
    from laburnumbridge.forwarding.network import Timer

OPENING_RETRANSMISSIONS_S = (0.2, 0.6)
"""Seconds after the first opening packet at which its copies are sent."""
OPENING_TIMEOUT_S = 1.4
FIRST_RETRANSMISSION_INTERVAL_S = 0.2
MAX_RETRANSMISSION_INTERVAL_S = 1.6


class ClientFlow:
    """The client's side of a flow, which carries one request at a time.

    ``answers`` maps requests to their answers. A flow that failed has ``was_reset`` or
    ``has_timed_out`` set; ``ended_at`` is the time of the failure, or None without one.
    Packets of a long request are sent ``packet_interval_s`` apart, as over a slow link.
    ``opening_s`` is how long the flow took to open, and ``OPENING_TIMEOUT_S`` until it is open.
    """

    def __init__(self, *, client: ClientStandIn, key: FlowKey) -> None:
        self._client = client
        self.key = key
        self.is_open = False
        self.was_reset = False
        self.has_timed_out = False
        self.ended_at: float | None = None
        self._opening_started_at = client.loop.now()
        self.opening_s = OPENING_TIMEOUT_S
        self.answered_at = 0.0
        self.answers: dict[bytes, bytes] = {}
        self.packet_interval_s = 0.0
        self._next_sequence = 1
        self._acknowledged = 0
        self._queued_requests: list[bytes] = []
        self._unanswered_request: bytes | None = None
        self._closes_after_answers = False
        self._timer: Timer | None = None

    def open(self) -> None:
        """Send the opening packet, and copies of it until it is answered."""
        self._send_opening(0)
        for copy_number, delay_s in enumerate(OPENING_RETRANSMISSIONS_S, start=1):
            self._client.loop.call_later(delay_s, partial(self._resend_opening, copy_number))
        self._client.loop.call_later(OPENING_TIMEOUT_S, self._time_out_opening)

    def request(self, data: bytes) -> None:
        """Queue a request; it is sent once the flow is open and earlier requests are answered."""
        self._queued_requests.append(data)
        self._send_next()

    def close(self) -> None:
        """Send the final packet now."""
        self._send(b"", is_final=True)

    def close_after_answers(self) -> None:
        """Send the final packet after the answer to the last queued request."""
        self._closes_after_answers = True

    def on_packet(self, datagram: bytes) -> None:
        """Handle a packet that arrives from the service."""
        packet = self._client.codec.decode_from_upstream(datagram)
        if packet.is_reset:
            self.was_reset = True
            self._record_failure()
        elif packet.is_opening_answer and not self.is_open and not self.was_reset:
            self.is_open = True
            self.opening_s = self._client.loop.now() - self._opening_started_at
            self._acknowledged = (packet.sequence + 1) % (1 << 32)
            self._send(b"")
            self._send_next()
        elif packet.data_length and packet.sequence == self._acknowledged:
            self._acknowledged = (packet.sequence + packet.data_length) % (1 << 32)
            if self._unanswered_request is not None:
                self.answered_at = self._client.loop.now()
                self.answers[self._unanswered_request] = self._client.codec.data(packet.raw)
                self._next_sequence += len(self._unanswered_request)
                self._unanswered_request = None
            if self._timer is not None:
                self._timer.cancel()
            self._send(b"")
            self._send_next()
            if self._closes_after_answers and self._unanswered_request is None:
                self.close()

    def _record_failure(self) -> None:
        self.ended_at = self._client.loop.now()
        if self._timer is not None:
            self._timer.cancel()

    def _resend_opening(self, copy_number: int) -> None:
        if not self.is_open and not self.was_reset:
            self._send_opening(copy_number)

    def _time_out_opening(self) -> None:
        if not self.is_open and not self.was_reset:
            self.has_timed_out = True
            self._record_failure()

    def _send_opening(self, copy_number: int) -> None:
        packet = StandInPacket(flow=self.key, sequence=0, acknowledged=copy_number, is_opening=True)
        self._client.send(self.key, packet.encode())

    def _send_next(self) -> None:
        if (
            self.is_open
            and not self.was_reset
            and self._unanswered_request is None
            and self._queued_requests
        ):
            self._unanswered_request = self._queued_requests.pop(0)
            self._transmit(FIRST_RETRANSMISSION_INTERVAL_S)

    def _transmit(self, interval_s: float) -> None:
        request = self._unanswered_request
        if request is None or self.was_reset:
            return
        sent_after_s = 0.0
        for start in range(0, len(request), MAX_DATA_BYTES):
            part = request[start : start + MAX_DATA_BYTES]
            if sent_after_s:
                send = partial(self._send, part, sequence=self._next_sequence + start)
                self._client.loop.call_later(sent_after_s, send)
            else:
                self._send(part, sequence=self._next_sequence + start)
            sent_after_s += self.packet_interval_s
        next_interval_s = min(interval_s * 2, MAX_RETRANSMISSION_INTERVAL_S)
        self._timer = self._client.loop.call_later(
            sent_after_s + interval_s, lambda: self._transmit(next_interval_s)
        )

    def _send(self, data: bytes, *, sequence: int | None = None, is_final: bool = False) -> None:
        packet = StandInPacket(
            flow=self.key,
            sequence=self._next_sequence if sequence is None else sequence,
            acknowledged=self._acknowledged,
            data=data,
            is_final=is_final,
        )
        self._client.send(self.key, packet.encode())


class ClientStandIn:
    """Opens flows from one address.

    ``fabric`` returns the endpoint of the balancer for a flow, or None to drop the packet.
    """

    def __init__(
        self,
        *,
        loop: Loop,
        network: Network,
        endpoint: Endpoint,
        fabric: Callable[[FlowKey], Endpoint | None],
    ) -> None:
        self.loop = loop
        self.codec = StandInPacketCodec()
        self._endpoint = endpoint
        self._fabric = fabric
        self._port = network.datagram_port(endpoint, self._on_datagram)
        self._next_port = 10_000
        self._flow_by_key: dict[FlowKey, ClientFlow] = {}

    def start(self) -> None:
        """Bind the socket and start to receive packets."""
        self._port.start()

    def close(self) -> None:
        """Close the socket."""
        self._port.close()

    def open_flow(self, service: Endpoint) -> ClientFlow:
        """Open a flow from a new port to the address and port of a service."""
        self._next_port += 1
        key = FlowKey(
            pack_ipv4(self._endpoint[0])
            + self._next_port.to_bytes(2, "big")
            + pack_ipv4(service[0])
            + service[1].to_bytes(2, "big")
        )
        flow = ClientFlow(client=self, key=key)
        self._flow_by_key[key] = flow
        flow.open()
        return flow

    def send(self, key: FlowKey, datagram: bytes) -> None:
        """Send a packet to the balancer that the fabric selects for the flow."""
        balancer = self._fabric(key)
        if balancer is not None:
            self._port.send(datagram, balancer)

    def _on_datagram(self, datagram: bytes, _sender: Endpoint) -> None:
        packet = self.codec.decode_from_upstream(datagram)
        flow = self._flow_by_key.get(packet.flow)
        if flow is not None:
            flow.on_packet(datagram)
