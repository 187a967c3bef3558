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
"""More than a packet of 1,234 bytes in an envelope; a longer datagram is truncated."""
MAX_DATAGRAMS_PER_READ = 64
"""Datagrams read in one callback; other sockets and timers wait for at most this many."""
RECEIVE_BUFFER_BYTES = 1 << 20
"""Holds the packets of about 0.1 s at the rate that one process forwards."""


class SocketDatagramPort(DatagramPort):
    """A non-blocking UDP socket in an event loop."""

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
        """Send one datagram; return False if it was dropped on this side."""
        if self._socket is None:
            return False
        try:
            self._socket.sendto(datagram, endpoint)
        except OSError as error:
            # A full buffer or an unreachable peer counts as packet loss: the flow retransmits.
            self._on_fault("send", error)
            return False
        return True

    def _read(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_READ):
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
            self._loop.guard(self._on_datagram, datagram, endpoint)
