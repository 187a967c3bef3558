"""HTTP/1.1 server for readiness checks and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.forwarding.endpoints import Endpoint
    from laburnumbridge.forwarding.http_connection import HttpConnection
    from laburnumbridge.forwarding.network import ByteStream
    from laburnumbridge.forwarding.network import Network


class HttpServer:
    """Serves GET requests; ``handler`` maps a path to a status and a body."""

    def __init__(
        self,
        *,
        network: Network,
        endpoint: Endpoint,
        handler: Callable[[str], tuple[int, bytes]],
    ) -> None:
        self._handler = handler
        self._listener = network.listener(endpoint, self._accept)
        self._connections: set[HttpConnection] = set()

    def start(self) -> None:
        """Listen. Raises OSError."""
        self._listener.start()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._listener.close()
        for connection in list(self._connections):
            connection.close()
        self._connections.clear()

    def _accept(self, stream: ByteStream, _endpoint: Endpoint) -> None:
        # Imported with the first connection: h11 takes a fifth of the processor time of a start.
        from laburnumbridge.forwarding.http_connection import HttpConnection

        self._connections.add(
            HttpConnection(
                stream=stream, handler=self._handler, on_closed=self._connections.discard
            )
        )
