"""One connection of the HTTP/1.1 server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.forwarding.network import ByteStream


class HttpConnection:
    """Answers the GET requests of one client, one after the other."""

    def __init__(
        self,
        *,
        stream: ByteStream,
        handler: Callable[[str], tuple[int, bytes]],
        on_closed: Callable[[HttpConnection], None],
    ) -> None:
        self._handler = handler
        self._on_closed = on_closed
        self._protocol = h11.Connection(h11.SERVER)
        self._path = ""
        self._stream = stream
        stream.on_data = self._on_data
        stream.on_end = lambda _end: on_closed(self)

    def close(self) -> None:
        """Close the connection and call ``on_closed``."""
        self._stream.close()
        self._on_closed(self)

    def _on_data(self, data: bytes) -> None:
        try:
            self._protocol.receive_data(data)
            self._handle_requests()
        except h11.ProtocolError:
            self.close()

    def _handle_requests(self) -> None:
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                return
            if isinstance(event, h11.ConnectionClosed):
                self.close()
                return
            if isinstance(event, h11.Request):
                self._path = event.target.decode("ascii", "replace")
            elif isinstance(event, h11.EndOfMessage):
                self._send_response()
                if self._protocol.our_state is h11.MUST_CLOSE:
                    self.close()
                    return
                self._protocol.start_next_cycle()

    def _send_response(self) -> None:
        status, body = self._handler(self._path)
        response = h11.Response(
            status_code=status,
            headers=[("Content-Length", str(len(body))), ("Content-Type", "text/plain")],
        )
        parts = [response, h11.Data(data=body), h11.EndOfMessage()]
        self._stream.send(b"".join(self._protocol.send(part) or b"" for part in parts))
