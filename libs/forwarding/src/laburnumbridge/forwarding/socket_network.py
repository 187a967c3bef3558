"""Network on the system's sockets."""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING

from laburnumbridge.forwarding.network import ByteStream
from laburnumbridge.forwarding.network import Network
from laburnumbridge.forwarding.socket_datagram_port import SocketDatagramPort
from laburnumbridge.forwarding.socket_stream import SocketListener
from laburnumbridge.forwarding.socket_stream import SocketStream

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.forwarding.endpoints import Endpoint
    from laburnumbridge.forwarding.event_loop import EventLoop


class SocketNetwork(Network):
    """Opens non-blocking sockets in an event loop."""

    def __init__(self, *, loop: EventLoop) -> None:
        super().__init__()
        self._loop = loop

    def datagram_port(
        self, endpoint: Endpoint, on_datagram: Callable[[bytes, Endpoint], None]
    ) -> SocketDatagramPort:
        """Return an unbound UDP socket."""
        return SocketDatagramPort(
            loop=self._loop, endpoint=endpoint, on_datagram=on_datagram, on_fault=self._report_fault
        )

    def listener(
        self, endpoint: Endpoint, on_connection: Callable[[ByteStream, Endpoint], None]
    ) -> SocketListener:
        """Return a TCP listener that isn't started."""
        return SocketListener(
            loop=self._loop,
            endpoint=endpoint,
            on_connection=on_connection,
            on_fault=self._report_fault,
        )

    def connect(self, endpoint: Endpoint) -> ByteStream:
        """Start to connect; a failure is reported by ``on_end``."""
        return SocketStream.connect(loop=self._loop, endpoint=endpoint)

    def _report_fault(self, operation: str, error: OSError) -> None:
        name = errno.errorcode.get(error.errno or 0, "")
        self.on_fault(operation, name or str(error))
