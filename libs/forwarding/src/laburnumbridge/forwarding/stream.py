"""A TCP connection in an event loop."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.forwarding.endpoints import Endpoint
    from laburnumbridge.forwarding.event_loop import EventLoop

READ_BYTES = 65_536
UNSENT_LIMIT_BYTES = 4 << 20
"""A peer that reads this slowly is disconnected; it gets a new snapshot when it returns."""
USER_TIMEOUT_MS = 2_000
"""A connection whose bytes stay unacknowledged this long is given up."""


class Stream:
    """Sends and receives bytes without blocking.

    ``on_closed`` is called once, with the reason, when the other side or an error ends the
    connection, and not after ``close``.
    """

    def __init__(
        self,
        *,
        loop: EventLoop,
        connection: socket.socket,
        on_data: Callable[[bytes], None],
        on_closed: Callable[[str], None],
        on_connected: Callable[[], None] | None = None,
    ) -> None:
        self._loop = loop
        self._socket: socket.socket | None = connection
        self._on_data = on_data
        self._on_closed = on_closed
        self._on_connected = on_connected
        self._unsent = bytearray()
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        if on_connected is None:
            loop.watch(connection.fileno(), reader=self._read)
        else:
            loop.watch(connection.fileno(), reader=self._connected, writer=self._connected)

    @classmethod
    def connect(
        cls,
        *,
        loop: EventLoop,
        endpoint: Endpoint,
        on_data: Callable[[bytes], None],
        on_closed: Callable[[str], None],
        on_connected: Callable[[], None],
    ) -> Stream:
        """Begin to connect. Raises OSError when the kernel refuses at once."""
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection.setblocking(False)
        try:
            connection.connect(endpoint)
        except BlockingIOError:
            pass
        except OSError:
            connection.close()
            raise
        return cls(
            loop=loop,
            connection=connection,
            on_data=on_data,
            on_closed=on_closed,
            on_connected=on_connected,
        )

    def send(self, data: bytes) -> None:
        """Send ``data`` or queue it; a queue over its limit ends the connection."""
        if self._socket is None:
            return
        self._unsent += data
        if len(self._unsent) > UNSENT_LIMIT_BYTES:
            self._end("peer reads too slowly")
            return
        if self._on_connected is None:
            self._write()

    def close(self) -> None:
        """Close the connection without a call back."""
        if self._socket is not None:
            self._loop.unwatch(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def _end(self, reason: str) -> None:
        if self._socket is not None:
            self.close()
            self._on_closed(reason)

    def _connected(self) -> None:
        if self._socket is None or self._on_connected is None:
            return
        error = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._end(f"connect failed: errno {error}")
            return
        on_connected, self._on_connected = self._on_connected, None
        self._loop.watch(self._socket.fileno(), reader=self._read)
        on_connected()
        if self._socket is not None and self._unsent:
            self._write()

    def _read(self) -> None:
        if self._socket is None:
            return
        try:
            data = self._socket.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._end(f"read failed: {error.strerror}")
            return
        if not data:
            self._end("closed by peer")
            return
        self._on_data(data)

    def _write(self) -> None:
        if self._socket is None:
            return
        try:
            sent = self._socket.send(self._unsent)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self._end(f"write failed: {error.strerror}")
            return
        del self._unsent[:sent]
        writer = self._write if self._unsent else None
        self._loop.watch(self._socket.fileno(), reader=self._read, writer=writer)


class Listener:
    """Accepts TCP connections."""

    def __init__(
        self,
        *,
        loop: EventLoop,
        endpoint: Endpoint,
        on_connection: Callable[[socket.socket, Endpoint], None],
    ) -> None:
        self._loop = loop
        self._endpoint = endpoint
        self._on_connection = on_connection
        self._socket: socket.socket | None = None

    def start(self) -> None:
        """Listen. Raises OSError."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(self._endpoint)
        listener.listen(128)
        self._socket = listener
        self._loop.watch(listener.fileno(), reader=self._accept)

    def close(self) -> None:
        """Stop listening."""
        if self._socket is not None:
            self._loop.unwatch(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def _accept(self) -> None:
        while self._socket is not None:
            try:
                connection, endpoint = self._socket.accept()
            except OSError:
                return  # nothing more to accept, or the connection has gone already
            self._on_connection(connection, endpoint)
