"""Reading of HTTP/1.1 responses on one connection."""

from __future__ import annotations

import h11

from laburnumbridge.forwarding.http_client import HttpCallFailedError


class HttpResponseReader:
    """Reads the responses to GET requests, which the connection's owner has sent itself."""

    def __init__(self) -> None:
        self._protocol = h11.Connection(h11.CLIENT)
        self._status = 0
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []

    def begin(self, address: str, target: str) -> None:
        """Expect the response to a GET request for ``target``."""
        self._body = []
        self._protocol.send(h11.Request(method="GET", target=target, headers=[("Host", address)]))
        self._protocol.send(h11.EndOfMessage())

    def feed(self, data: bytes) -> tuple[int, dict[str, str], bytes] | None:
        """Add ``data``; return status, headers with names in lower case and body when complete.

        Raises HttpCallFailedError.
        """
        try:
            self._protocol.receive_data(data)
            while True:
                event = self._protocol.next_event()
                if event is h11.NEED_DATA:
                    return None
                if isinstance(event, h11.Response):
                    self._status = event.status_code
                    self._headers = {
                        name.decode("ascii"): value.decode("latin-1")
                        for name, value in event.headers
                    }
                elif isinstance(event, h11.Data):
                    self._body.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    return self._status, self._headers, b"".join(self._body)
                elif isinstance(event, h11.ConnectionClosed):
                    raise HttpCallFailedError(reason="closed by peer")
        except h11.ProtocolError as error:
            raise HttpCallFailedError(reason=f"protocol error: {error}") from error

    def finish(self) -> bool:
        """Prepare for the next response; return False if the connection can't be used again."""
        if self._protocol.our_state is h11.DONE and self._protocol.their_state is h11.DONE:
            self._protocol.start_next_cycle()
            return True
        return False
