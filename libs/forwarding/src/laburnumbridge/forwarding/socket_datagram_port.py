"""UDP sockets."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from laburnumbridge.forwarding.network import DatagramPort

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.forwarding.endpoints import Endpoint
    from laburnumbridge.forwarding.event_loop import EventLoop

MAX_DATAGRAM_BYTES = 2_048
"""A packet of 1,234 bytes in an envelope, with room to spare."""
DATAGRAMS_PER_TURN = 64
"""Other sockets and timers wait for at most this many datagrams."""
RECEIVE_BUFFER_BYTES = 1 << 20
"""Holds about 0.1 s of packets at the rate that one process forwards."""


class SocketDatagramPort(DatagramPort):
    """A non-blocking socket in an event loop."""

    def __init__(
        self,
        *,
        loop: EventLoop,
        endpoint: Endpoint,
        on_datagram: Callable[[bytes, Endpoint], None],
        on_fault: Callable[[str, OSError], None],
    ) -> None:
        self._loop = loop
        self._endpoint = endpoint
        self._on_datagram = on_datagram
        self._on_fault = on_fault
        self._socket: socket.socket | None = None

    def start(self) -> None:
        """Bind the socket. Raises OSError."""
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        udp.setblocking(False)
        udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        udp.bind(self._endpoint)
        self._socket = udp
        self._loop.watch(udp.fileno(), reader=self._read)

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._loop.unwatch(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def send(self, datagram: bytes, endpoint: Endpoint) -> bool:
        """Send one datagram; False if it was dropped here."""
        if self._socket is None:
            return False
        try:
            self._socket.sendto(datagram, endpoint)
        except OSError as error:
            # Full buffers and unreachable peers look like loss to the flow, which retransmits.
            self._on_fault("send", error)
            return False
        return True

    def _read(self) -> None:
        for _ in range(DATAGRAMS_PER_TURN):
            if self._socket is None:
                return
            try:
                datagram, endpoint = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # An ICMP error of an earlier send is reported on the next receive.
                self._on_fault("receive", error)
                continue
            self._on_datagram(datagram, endpoint)
