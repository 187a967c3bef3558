"""HTTP/1.1 client for one endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

from laburnumbridge.core import UnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.forwarding.endpoints import Endpoint
    from laburnumbridge.forwarding.network import ByteStream
    from laburnumbridge.forwarding.network import Loop
    from laburnumbridge.forwarding.network import Network
    from laburnumbridge.forwarding.network import StreamEnd
    from laburnumbridge.forwarding.network import Timer


class HttpCallFailedError(UnavailableError):
    """An HTTP call got no response; ``reason`` says why."""

    def __init__(self, *, reason: str) -> None:
        super().__init__(f"the call got no response: {reason}")
        self.reason = reason


class HttpClient:
    """Makes one GET call at a time; the connection is kept between calls.

    A call ends with exactly one of ``on_answer(status, headers, body)``, with the names of headers
    in lower case, and ``on_failure(error)``. After a failure the connection is closed, since the
    missing response may still arrive on it.
    """

    def __init__(self, *, loop: Loop, network: Network, endpoint: Endpoint) -> None:
        self._loop = loop
        self._network = network
        self._endpoint = endpoint
        self._stream: ByteStream | None = None
        self._protocol = h11.Connection(h11.CLIENT)
        self._timer: Timer | None = None
        self._on_answer: Callable[[int, dict[str, str], bytes], None] | None = None
        self._on_failure: Callable[[HttpCallFailedError], None] | None = None
        self._status = 0
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []

    @property
    def is_calling(self) -> bool:
        """True while a call is under way."""
        return self._on_answer is not None

    def get(
        self,
        target: str,
        *,
        timeout_s: float,
        on_answer: Callable[[int, dict[str, str], bytes], None],
        on_failure: Callable[[HttpCallFailedError], None],
    ) -> None:
        """Start a GET call; it fails after ``timeout_s`` seconds without a response."""
        self._on_answer = on_answer
        self._on_failure = on_failure
        self._timer = self._loop.call_later(timeout_s, lambda: self._fail("timeout"))
        self._body = []
        stream = self._stream or self._connect()
        request = h11.Request(
            method="GET", target=target, headers=[("Host", f"{self._endpoint[0]}")]
        )
        data = (self._protocol.send(request) or b"") + (
            self._protocol.send(h11.EndOfMessage()) or b""
        )
        stream.send(data)

    def close(self) -> None:
        """Close the connection; a call that is under way ends without a callback."""
        self._on_answer = self._on_failure = None
        self._disconnect()

    def _connect(self) -> ByteStream:
        self._protocol = h11.Connection(h11.CLIENT)
        stream = self._network.connect(self._endpoint)
        stream.on_data = self._on_data
        stream.on_end = self._on_end
        self._stream = stream
        return stream

    def _disconnect(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def _on_end(self, end: StreamEnd) -> None:
        self._stream = None
        self._fail(end.reason)

    def _fail(self, reason: str) -> None:
        on_failure, self._on_failure, self._on_answer = self._on_failure, None, None
        self._disconnect()
        if on_failure is not None:
            on_failure(HttpCallFailedError(reason=reason))

    def _on_data(self, data: bytes) -> None:
        try:
            self._protocol.receive_data(data)
            while True:
                event = self._protocol.next_event()
                if event is h11.NEED_DATA:
                    return
                if isinstance(event, h11.Response):
                    self._status = event.status_code
                    self._headers = {
                        name.decode("ascii"): value.decode("latin-1")
                        for name, value in event.headers
                    }
                elif isinstance(event, h11.Data):
                    self._body.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    break
                elif isinstance(event, h11.ConnectionClosed):
                    self._fail("closed by peer")
                    return
        except h11.ProtocolError as error:
            self._fail(f"protocol error: {error}")
            return
        self._finish_call()

    def _finish_call(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._protocol.our_state is h11.DONE and self._protocol.their_state is h11.DONE:
            self._protocol.start_next_cycle()
        else:
            self._disconnect()
        on_answer, self._on_answer, self._on_failure = self._on_answer, None, None
        if on_answer is not None:
            on_answer(self._status, self._headers, b"".join(self._body))
