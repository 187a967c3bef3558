"""TCP connections on sockets."""

from __future__ import annotations

import errno
import socket
from typing import TYPE_CHECKING
from typing import Any

from laburnumbridge.forwarding.network import ByteStream
from laburnumbridge.forwarding.network import StreamEnd
from laburnumbridge.forwarding.network import StreamListener

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.forwarding.endpoints import Endpoint
    from laburnumbridge.forwarding.event_loop import EventLoop

READ_BYTES = 65_536
UNSENT_LIMIT_BYTES = 4 << 20
"""A connection with more unsent bytes is closed: its peer reads too slowly, and gets a new snapshot
when it reconnects."""
USER_TIMEOUT_MS = 2_000
"""A connection whose bytes stay unacknowledged for this long is closed."""


class SocketStream(ByteStream):
    """A non-blocking TCP socket in an event loop."""

    def __init__(self, *, loop: EventLoop, connection: socket.socket, is_connected: bool) -> None:
        super().__init__()
        self._loop = loop
        self._socket: socket.socket | None = connection
        self._is_connected = is_connected
        self._unsent = bytearray()
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        if is_connected:
            loop.watch(connection.fileno(), reader=self._read)
        else:
            loop.watch(
                connection.fileno(), reader=self._finish_connect, writer=self._finish_connect
            )

    @classmethod
    def connect(cls, *, loop: EventLoop, endpoint: Endpoint) -> SocketStream:
        """Start to connect; a failure is reported by ``on_end``."""
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection.setblocking(False)
        code = connection.connect_ex(endpoint)
        stream = cls(loop=loop, connection=connection, is_connected=False)
        if code not in (0, errno.EINPROGRESS):
            loop.call_later(0.0, lambda: stream._fail_connect(code))
        return stream

    def send(self, data: bytes) -> None:
        """Send ``data`` or queue it; a queue above its limit ends the connection."""
        if self._socket is None:
            return
        self._unsent += data
        if len(self._unsent) > UNSENT_LIMIT_BYTES:
            self._end(StreamEnd(reason="peer reads too slowly"))
        elif self._is_connected:
            self._write()

    def close(self) -> None:
        """Close the connection without a call of ``on_end``."""
        if self._socket is not None:
            self._loop.unwatch(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def _end(self, end: StreamEnd) -> None:
        if self._socket is not None:
            self.close()
            self.on_end(end)

    def _fail_connect(self, code: int) -> None:
        reason = f"connect failed: {errno.errorcode.get(code, code)}"
        self._end(StreamEnd(reason=reason, is_refused=code == errno.ECONNREFUSED))

    def _finish_connect(self) -> None:
        if self._socket is None or self._is_connected:
            return
        code = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._fail_connect(code)
            return
        self._is_connected = True
        self._loop.watch(self._socket.fileno(), reader=self._read)
        self._run(self.on_connected)
        if self._unsent:
            self._write()

    def _read(self) -> None:
        if self._socket is None:
            return
        try:
            data = self._socket.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._end(StreamEnd(reason=f"read failed: {error.strerror}"))
            return
        if data:
            self._run(self.on_data, data)
        else:
            self._end(StreamEnd(reason="closed by peer"))

    def _run(self, callback: Callable[..., None], *arguments: Any) -> None:
        """Call ``callback``; give the connection up if that fails, as its state is unknown then."""
        if not self._loop.guard(callback, *arguments):
            self._end(StreamEnd(reason="internal error"))

    def _write(self) -> None:
        if self._socket is None:
            return
        try:
            sent = self._socket.send(self._unsent)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            # Scheduled on the loop, since the caller may be iterating over its connections.
            end = StreamEnd(reason=f"write failed: {error.strerror}")
            self._loop.call_later(0.0, lambda: self._end(end))
            return
        del self._unsent[:sent]
        writer = self._write if self._unsent else None
        self._loop.watch(self._socket.fileno(), reader=self._read, writer=writer)


class SocketListener(StreamListener):
    """Accepts TCP connections."""

    def __init__(
        self,
        *,
        loop: EventLoop,
        endpoint: Endpoint,
        on_connection: Callable[[ByteStream, Endpoint], None],
        on_fault: Callable[[str, OSError], None],
    ) -> None:
        self._loop = loop
        self._endpoint = endpoint
        self._on_connection = on_connection
        self._on_fault = on_fault
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
            except BlockingIOError:
                return
            except OSError as error:
                self._on_fault("accept", error)
                return
            stream = SocketStream(loop=self._loop, connection=connection, is_connected=True)
            if not self._loop.guard(self._on_connection, stream, endpoint):
                stream.close()
