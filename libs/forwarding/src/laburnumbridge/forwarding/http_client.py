"""HTTP/1.1 client for one endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.core import UnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.forwarding.endpoints import Endpoint
    from laburnumbridge.forwarding.http_response_reader import HttpResponseReader
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
    missing response may still arrive on it. h11, whose import takes a quarter of the processor time
    of a start, is imported with the first bytes of a response, while the others are on their way.
    """

    def __init__(self, *, loop: Loop, network: Network, endpoint: Endpoint) -> None:
        self._loop = loop
        self._network = network
        self._endpoint = endpoint
        self._stream: ByteStream | None = None
        self._reader: HttpResponseReader | None = None
        self._target = ""
        self._has_response_begun = False
        self._timer: Timer | None = None
        self._first_answer_timer: Timer | None = None
        self._on_answer: Callable[[int, dict[str, str], bytes], None] | None = None
        self._on_failure: Callable[[HttpCallFailedError], None] | None = None

    @property
    def is_calling(self) -> bool:
        """True while a call is under way."""
        return self._on_answer is not None

    def get(
        self,
        target: str,
        *,
        timeout_s: float,
        first_answer_timeout_s: float | None = None,
        on_answer: Callable[[int, dict[str, str], bytes], None],
        on_failure: Callable[[HttpCallFailedError], None],
    ) -> None:
        """Start a GET call; it fails after ``timeout_s`` seconds without a whole response.

        It also fails if nothing of the response has arrived after ``first_answer_timeout_s``.
        """
        self._on_answer = on_answer
        self._on_failure = on_failure
        self._timer = self._loop.call_later(timeout_s, lambda: self._fail("timeout"))
        self._first_answer_timer = None
        if first_answer_timeout_s is not None:
            self._first_answer_timer = self._loop.call_later(
                first_answer_timeout_s, lambda: self._fail("timeout")
            )
        self._target = target
        self._has_response_begun = False
        stream = self._stream or self._connect()
        stream.send(f"GET {target} HTTP/1.1\r\nHost: {self._endpoint[0]}\r\n\r\n".encode("ascii"))

    def close(self) -> None:
        """Close the connection; a call that is under way ends without a callback."""
        self._on_answer = self._on_failure = None
        self._disconnect()

    def _connect(self) -> ByteStream:
        self._reader = None
        stream = self._network.connect(self._endpoint)
        stream.on_data = self._on_data
        stream.on_end = self._on_end
        self._stream = stream
        return stream

    def _disconnect(self) -> None:
        self._cancel_timers()
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

    def _cancel_timers(self) -> None:
        for timer in (self._timer, self._first_answer_timer):
            if timer is not None:
                timer.cancel()
        self._timer = self._first_answer_timer = None

    def _on_data(self, data: bytes) -> None:
        if self._first_answer_timer is not None:
            self._first_answer_timer.cancel()
            self._first_answer_timer = None
        if not self.is_calling:
            self._fail("unexpected data")
            return
        try:
            response = self._begin_response().feed(data)
        except HttpCallFailedError as error:
            self._fail(error.reason)
            return
        if response is not None:
            self._finish_call(*response)

    def _begin_response(self) -> HttpResponseReader:
        """Return the reader of the connection, which expects the response to the current call."""
        if self._reader is None:
            from laburnumbridge.forwarding.http_response_reader import HttpResponseReader

            self._reader = HttpResponseReader()
        if not self._has_response_begun:
            self._has_response_begun = True
            self._reader.begin(self._endpoint[0], self._target)
        return self._reader

    def _finish_call(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self._cancel_timers()
        if self._reader is None or not self._reader.finish():
            self._disconnect()
        on_answer, self._on_answer, self._on_failure = self._on_answer, None, None
        if on_answer is not None:
            on_answer(status, headers, body)
