"""HTTP/3 over the QUIC connection of one client."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.buffer import encode_uint_var
from aioquic.h3.connection import ErrorCode
from aioquic.h3.connection import FrameType
from aioquic.h3.connection import H3Connection
from aioquic.h3.connection import encode_frame
from aioquic.h3.events import DataReceived
from aioquic.h3.events import HeadersReceived
from aioquic.quic.events import ConnectionTerminated
from aioquic.quic.events import HandshakeCompleted
from aioquic.quic.events import ProtocolNegotiated
from aioquic.quic.events import StopSendingReceived
from aioquic.quic.events import StreamReset

from laburnumbridge.runtime.client_requests.client_request import ClientRequest
from laburnumbridge.runtime.client_requests.responder import Responder
from laburnumbridge.runtime.errors import ClientAbortedError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from aioquic.h3.events import H3Event
    from aioquic.quic.events import QuicEvent

    from laburnumbridge.runtime.client_connections.token_connection import TokenConnection
    from laburnumbridge.runtime.client_requests.client_request import ConnectionRecord
    from laburnumbridge.runtime.client_requests.responder import RequestHandler
    from laburnumbridge.runtime.forwarding_path.return_path import ReturnPath

KEEPALIVE_INTERVAL_S = 3.0
UNSENT_LIMIT_BYTES = 256 * 1024

REQUEST_ID_HEADER = b"laburnumbridge-request-id"

_BACKPRESSURE_POLL_S = 0.01
# NO_ERROR of QUIC and H3_NO_ERROR. Idle timeouts and lost peers have other codes.
_ORDERLY_CODES = frozenset({0x0, 0x100})


class StreamResponder(Responder):
    """Sends the response of one request on its HTTP/3 stream."""

    def __init__(self, *, connection: ClientConnection, stream_id: int, request_id: str) -> None:
        self._connection = connection
        self._stream_id = stream_id
        self._request_id = request_id

    async def start(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Send status and headers."""
        fields = [(b":status", str(status).encode())]
        fields += [(name.lower().encode(), value.encode()) for name, value in headers]
        fields.append((REQUEST_ID_HEADER, self._request_id.encode()))
        self._connection.require_open()
        self._connection.http.send_headers(self._stream_id, fields)
        self._connection.transmit_soon()

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body; wait while over UNSENT_LIMIT_BYTES are unacknowledged."""
        self._connection.require_open()
        self._connection.http.send_data(self._stream_id, chunk, end_stream=False)
        self._connection.transmit_soon()
        while self._connection.unsent_bytes(self._stream_id) > UNSENT_LIMIT_BYTES:
            await asyncio.sleep(_BACKPRESSURE_POLL_S)
            self._connection.require_open()

    async def finish(self) -> None:
        """End the stream, which marks the response as complete."""
        self._connection.require_open()
        self._connection.http.send_data(self._stream_id, b"", end_stream=True)
        self._connection.transmit_soon()

    def cut(self) -> None:
        """Reset the stream with H3_INTERNAL_ERROR."""
        self._connection.reset(self._stream_id, ErrorCode.H3_INTERNAL_ERROR)


def is_valid_path(path: str) -> bool:
    """Return whether ``path`` is a path and query that can be sent to the upstream unchanged.

    Without the slash it could name another host behind the upstream's address, a space or a control
    character would end the request line, and a fragment is not sent (RFC 9112 section 3.2.1).
    """
    return path.startswith("/") and all("!" <= char <= "~" and char != "#" for char in path)


class ClientConnection(QuicConnectionProtocol):
    """Passes HTTP/3 requests to a handler and sends keepalives.

    ``record`` is passed to the handler with each request. ``close_reason`` and
    ``closed_in_order`` are set when the connection ends.
    """

    def __init__(
        self,
        *,
        quic: TokenConnection,
        path: ReturnPath,
        record: ConnectionRecord,
        handler: RequestHandler,
        next_request_id: Callable[[], str],
        on_opened: Callable[[ClientConnection], None],
        on_closed: Callable[[ClientConnection], None],
    ) -> None:
        super().__init__(quic)
        self.path = path
        self._http: H3Connection | None = None
        self.opened = False
        self.going_away = False
        self.record = record
        self.close_reason = ""
        self.closed_in_order = False
        self._handler = handler
        self._next_request_id = next_request_id
        self._on_opened = on_opened
        self._on_closed = on_closed
        self._ended = False
        self._request_by_stream: dict[int, ClientRequest] = {}
        self._task_by_stream: dict[int, asyncio.Task[None]] = {}
        self._keepalive: asyncio.TimerHandle | None = None
        self._last_stream_id = 0
        self.connection_made(path)

    @property
    def http(self) -> H3Connection:
        """HTTP/3 layer; raises ClientAbortedError before the protocol is negotiated."""
        if self._http is None:
            raise ClientAbortedError
        return self._http

    @property
    def open_requests(self) -> int:
        """Number of requests whose response isn't complete."""
        return len(self._task_by_stream)

    def require_open(self) -> None:
        """Raise ClientAbortedError once the connection has ended."""
        if self._ended:
            raise ClientAbortedError

    def transmit_soon(self) -> None:
        """Send queued data, once for everything written in this turn of the event loop."""
        self._transmit_soon()

    def unsent_bytes(self, stream_id: int) -> int:
        """Return how many bytes of a stream are buffered because they are unacknowledged.

        aioquic buffers without a limit and has no public attribute for the amount.
        """
        stream = self._quic._streams.get(stream_id)
        if stream is None:
            return 0
        return stream.sender._buffer_stop - stream.sender._buffer_start

    def reset(self, stream_id: int, error_code: int) -> None:
        """Reset the sending side of a stream; does nothing once the connection has ended."""
        if self._ended:
            return
        self._quic.reset_stream(stream_id, error_code)
        self.transmit_soon()

    def go_away(self) -> None:
        """Send GOAWAY, once per connection (RFC 9114 section 5.2).

        The client should open a new connection before it leaves this one.
        """
        control = self._http._local_control_stream_id if self._http else None
        if self._ended or self.going_away or not self.opened or control is None:
            return
        self.going_away = True
        next_stream = encode_uint_var(self._last_stream_id + 4)
        frame = encode_frame(FrameType.GOAWAY, next_stream)
        self._quic.send_stream_data(control, frame)
        self.transmit_soon()

    def quic_event_received(self, event: QuicEvent) -> None:
        """Handle one event of the QUIC connection."""
        if isinstance(event, ProtocolNegotiated):
            self._http = H3Connection(self._quic)
        elif isinstance(event, HandshakeCompleted):
            self.opened = True
            self._schedule_keepalive()
            self._on_opened(self)
        elif isinstance(event, StreamReset | StopSendingReceived):
            self._cancel(event.stream_id)
        elif isinstance(event, ConnectionTerminated):
            self.closed_in_order = event.error_code in _ORDERLY_CODES
            self.close_reason = event.reason_phrase or f"code {event.error_code:#x}"
            self._end()
        if self._http is None:
            return
        for http_event in self._http.handle_event(event):
            self._http_event_received(http_event)

    def _http_event_received(self, event: H3Event) -> None:
        if isinstance(event, HeadersReceived):
            if event.stream_id not in self._request_by_stream:
                self._start_request(event)
            request = self._request_by_stream.get(event.stream_id)
            if event.stream_ended and request is not None:
                request.body.finish()
        elif isinstance(event, DataReceived):
            request = self._request_by_stream.get(event.stream_id)
            if request is None:
                return
            if event.data and not request.body.put(event.data):
                self._cancel(event.stream_id)
                self.reset(event.stream_id, ErrorCode.H3_EXCESSIVE_LOAD)
            if event.stream_ended:
                request.body.finish()

    def _start_request(self, event: HeadersReceived) -> None:
        fields = [
            (name.decode("latin-1"), value.decode("latin-1")) for name, value in event.headers
        ]
        pseudo = {name: value for name, value in fields if name.startswith(":")}
        path = pseudo.get(":path", "/")
        if not is_valid_path(path):
            self.reset(event.stream_id, ErrorCode.H3_MESSAGE_ERROR)
            return
        request = ClientRequest(
            request_id=self._next_request_id(),
            method=pseudo.get(":method", "GET"),
            path=path,
            authority=pseudo.get(":authority", ""),
            headers=tuple(pair for pair in fields if not pair[0].startswith(":")),
            source=self.path.client.host,
            connection=self.record,
        )
        self._last_stream_id = max(self._last_stream_id, event.stream_id)
        self._request_by_stream[event.stream_id] = request
        responder = StreamResponder(
            connection=self, stream_id=event.stream_id, request_id=request.request_id
        )
        task = asyncio.create_task(self._run(request, responder))
        self._task_by_stream[event.stream_id] = task
        task.add_done_callback(lambda _: self._remove_request(event.stream_id))

    async def _run(self, request: ClientRequest, responder: StreamResponder) -> None:
        try:
            await self._handler.handle(request, responder)
        except ClientAbortedError:
            return

    def _remove_request(self, stream_id: int) -> None:
        self._task_by_stream.pop(stream_id, None)
        self._request_by_stream.pop(stream_id, None)

    def _cancel(self, stream_id: int) -> None:
        task = self._task_by_stream.get(stream_id)
        if task is not None:
            task.cancel()

    def _end(self) -> None:
        if self._ended:
            return
        self._ended = True
        if self._keepalive is not None:
            self._keepalive.cancel()
        for task in list(self._task_by_stream.values()):
            task.cancel()
        self._handler.connection_closed(self.record)
        self._on_closed(self)

    def _schedule_keepalive(self) -> None:
        self._keepalive = self._loop.call_later(KEEPALIVE_INTERVAL_S, self._send_keepalive)

    def _send_keepalive(self) -> None:
        if self._ended:
            return
        self._quic.send_ping(0)
        self.transmit()
        self._schedule_keepalive()
