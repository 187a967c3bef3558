"""One end of a flow: order, acknowledgements and retransmissions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from review.standins.packets import ACK
from review.standins.packets import FIN
from review.standins.packets import MAX_DATA
from review.standins.packets import MODULUS
from review.standins.packets import Packet
from review.standins.packets import distance

WINDOW = 16
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 1.6
ACK_DELAY_S = 0.02


class End:
    """Sends bytes as packets, at most 16 in flight, and delivers received bytes in order."""

    def __init__(
        self,
        *,
        address: tuple[str, int],
        peer: tuple[str, int],
        seq: int,
        ack: int,
        send: Callable[[Packet], None],
        on_data: Callable[[bytes], None],
        on_end: Callable[[str], None],
        max_retries: int = 8,
    ) -> None:
        self.address, self.peer = address, peer
        self.next_seq, self.ack = seq, ack
        self._send, self._on_data, self._on_end = send, on_data, on_end
        self._max_retries = max_retries
        self._unsent = bytearray()
        self._finish_wanted = False
        self.is_finished = False
        self.peer_finished = False
        self._flight: list[tuple[Packet, int]] = []
        self._early: dict[int, Packet] = {}
        self._unacknowledged = 0
        self._ack_timer: asyncio.TimerHandle | None = None
        self._retry_timer: asyncio.TimerHandle | None = None
        self._retry_s = FIRST_RETRY_S
        self.is_over = False

    def write(self, data: bytes) -> None:
        self._unsent += data
        self._pump()

    def finish(self) -> None:
        self._finish_wanted = True
        self._pump()

    def close(self) -> None:
        self.is_over = True
        for timer in (self._ack_timer, self._retry_timer):
            if timer:
                timer.cancel()

    def _packet(self, flags: int, data: bytes = b"") -> Packet:
        return Packet(
            flags=flags,
            src=self.address[0],
            sport=self.address[1],
            dst=self.peer[0],
            dport=self.peer[1],
            seq=self.next_seq,
            ack=self.ack,
            data=data,
        )

    def _pump(self) -> None:
        while not self.is_over and len(self._flight) < WINDOW:
            if self._unsent:
                data = bytes(self._unsent[:MAX_DATA])
                del self._unsent[:MAX_DATA]
                packet = self._packet(ACK, data)
            elif self._finish_wanted and not self.is_finished:
                self.is_finished = True
                packet = self._packet(ACK | FIN)
            else:
                return
            self.next_seq = (self.next_seq + packet.length) % MODULUS
            self._flight.append((packet, 0))
            self._acknowledged_now()
            self._send(packet)
            self._arm_retry()

    def _arm_retry(self) -> None:
        if self._retry_timer is None and self._flight and not self.is_over:
            self._retry_timer = asyncio.get_running_loop().call_later(self._retry_s, self._retry)

    def _retry(self) -> None:
        self._retry_timer = None
        if self.is_over or not self._flight:
            return
        packet, tries = self._flight[0]
        if tries >= self._max_retries:
            self._on_end("no acknowledgement")
            return
        self._flight[0] = (packet, tries + 1)
        self._retry_s = min(self._retry_s * 2, MAX_RETRY_S)
        packet.ack = self.ack
        self._send(packet)
        self._arm_retry()

    def send_ack(self) -> None:
        self._acknowledged_now()
        self._send(self._packet(ACK))

    def _acknowledged_now(self) -> None:
        self._unacknowledged = 0
        if self._ack_timer:
            self._ack_timer.cancel()
            self._ack_timer = None

    def receive(self, packet: Packet) -> None:
        """Handle a genuine packet of the open flow."""
        before = len(self._flight)
        while self._flight:
            sent = self._flight[0][0]
            end = (sent.seq + sent.length) % MODULUS
            if distance(end, packet.ack) > MODULUS // 2:
                break
            self._flight.pop(0)
        if len(self._flight) != before:
            self._retry_s = FIRST_RETRY_S
            if self._retry_timer:
                self._retry_timer.cancel()
                self._retry_timer = None
            self._arm_retry()
        if packet.length:
            if packet.seq != self.ack and distance(packet.seq, self.ack) < MODULUS // 2:
                self.send_ack()  # a repeated packet
            else:
                self._early[packet.seq] = packet
                self._unacknowledged += 1
                self._deliver()
                if not self.is_over and self._unacknowledged >= 2:
                    self.send_ack()
                elif not self.is_over and self._unacknowledged and self._ack_timer is None:
                    self._ack_timer = asyncio.get_running_loop().call_later(
                        ACK_DELAY_S, self.send_ack
                    )
        if not self.is_over:
            self._pump()
        if self.is_finished and self.peer_finished and not self._flight and not self.is_over:
            if self._unacknowledged:
                self.send_ack()
            self._on_end("finished")

    def _deliver(self) -> None:
        while self.ack in self._early:
            packet = self._early.pop(self.ack)
            self.ack = (self.ack + packet.length) % MODULUS
            if packet.data:
                self._on_data(packet.data)
            if packet.flags & FIN:
                self.peer_finished = True
                self.finish()
