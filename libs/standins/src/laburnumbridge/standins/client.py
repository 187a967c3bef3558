"""Stand-in for a client: an HTTP/3 connection that detects when its flow breaks."""

from __future__ import annotations

import asyncio
import ssl
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.h3.connection import H3_ALPN
from aioquic.h3.connection import FrameType
from aioquic.h3.connection import H3Connection
from aioquic.h3.events import DataReceived
from aioquic.h3.events import HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import ConnectionTerminated
from aioquic.quic.events import ProtocolNegotiated
from aioquic.quic.events import StreamReset

from laburnumbridge.standins.errors import FlowBrokenError
from laburnumbridge.standins.errors import TruncatedAnswerError

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from aioquic.h3.events import H3Event
    from aioquic.quic.events import QuicEvent

    from laburnumbridge.wire import Endpoint

IDLE_TIMEOUT_S = 6.5
KEEPALIVE_S = 3.0
_RESET_TOKEN_BYTES = 16


@dataclass(slots=True)
class Answer:
    """An answer as it arrives; ``body`` yields chunks, then None or the error that ended it."""

    headers: asyncio.Future[dict[str, str]]
    body: asyncio.Queue[bytes | Exception | None] = field(default_factory=asyncio.Queue)

    async def read(self) -> bytes:
        """Return the whole body; raises AnswerCutError or FlowBrokenError."""
        parts: list[bytes] = []
        while True:
            chunk = await self.body.get()
            if chunk is None:
                return b"".join(parts)
            if isinstance(chunk, Exception):
                raise chunk
            parts.append(chunk)

    def fail(self, error: Exception) -> None:
        """End the answer with an error."""
        if not self.headers.done():
            self.headers.set_exception(error)
            self.headers.exception()
        self.body.put_nowait(error)


class _ClientHttp(H3Connection):
    """Records that a GOAWAY arrived; aioquic discards its payload without a callback."""

    goaway_received = False

    def _check_control_frame_type(self, frame_type: int) -> None:
        super()._check_control_frame_type(frame_type)
        if frame_type == FrameType.GOAWAY:
            self.goaway_received = True


class QuicClientFlow(QuicConnectionProtocol):
    """One connection of a client."""

    def __init__(self, quic: QuicConnection) -> None:
        super().__init__(quic)
        self._http: _ClientHttp | None = None
        self._answer_by_stream: dict[int, Answer] = {}
        self._keepalive: asyncio.TimerHandle | None = None
        self.broken: str | None = None
        self.closed_by_client = False

    @property
    def goaway_received(self) -> bool:
        """True after a GOAWAY, with which the server requests that the client reconnect."""
        return self._http is not None and self._http.goaway_received

    def datagram_received(self, data: bytes | str, addr: object) -> None:
        """Detect a stateless reset (RFC 9000 section 10.3.1), which aioquic's client doesn't."""
        if isinstance(data, bytes) and self._is_stateless_reset(data):
            self._break("stateless reset")
            return
        super().datagram_received(data, addr)

    def quic_event_received(self, event: QuicEvent) -> None:
        """Handle one event of the connection."""
        if isinstance(event, ProtocolNegotiated):
            self._http = _ClientHttp(self._quic)
            self._send_keepalive()
        elif isinstance(event, ConnectionTerminated):
            self._break(event.reason_phrase or f"closed with code {event.error_code}")
        elif isinstance(event, StreamReset):
            answer = self._answer_by_stream.pop(event.stream_id, None)
            if answer is not None:
                answer.fail(TruncatedAnswerError(error_code=event.error_code))
        if self._http is None:
            return
        for http_event in self._http.handle_event(event):
            self._on_http_event(http_event)

    def open_request(
        self,
        method: str,
        path: str,
        *,
        headers: Sequence[tuple[str, str]] = (),
        body: bytes | None = b"",
    ) -> tuple[int, Answer]:
        """Send a request; return its stream ID and answer.

        With ``body`` None the stream stays open for ``send``.
        """
        if self._http is None or self.broken is not None:
            raise FlowBrokenError(reason=self.broken or "not connected")
        stream_id = self._quic.get_next_available_stream_id()
        answer = Answer(headers=self._loop.create_future())
        self._answer_by_stream[stream_id] = answer
        fields = [
            (b":method", method.encode()),
            (b":scheme", b"https"),
            (b":authority", b"service.example"),
            (b":path", path.encode()),
        ]
        fields += [(name.encode(), value.encode()) for name, value in headers]
        self._http.send_headers(stream_id, fields, end_stream=body == b"")
        if body:
            self._http.send_data(stream_id, body, end_stream=True)
        self.transmit()
        return stream_id, answer

    async def request(
        self,
        method: str,
        path: str,
        *,
        headers: Sequence[tuple[str, str]] = (),
        body: bytes = b"",
    ) -> tuple[dict[str, str], bytes]:
        """Send a request and return headers and whole body of the answer."""
        _, answer = self.open_request(method, path, headers=headers, body=body)
        head = await answer.headers
        return head, await answer.read()

    def send(self, stream_id: int, data: bytes, *, end: bool = False) -> None:
        """Send more of a request's body."""
        if self._http is None or self.broken is not None:
            raise FlowBrokenError(reason=self.broken or "not connected")
        self._http.send_data(stream_id, data, end_stream=end)
        self.transmit()

    def cancel(self, stream_id: int) -> None:
        """Cancel a request."""
        self._answer_by_stream.pop(stream_id, None)
        self._quic.reset_stream(stream_id, 0x10C)
        self._quic.stop_stream(stream_id, 0x10C)
        self.transmit()

    def disconnect(self) -> None:
        """Close the connection from the client's side."""
        self.closed_by_client = True
        self.close()

    def _on_http_event(self, event: H3Event) -> None:
        if not isinstance(event, HeadersReceived | DataReceived):
            return
        answer = self._answer_by_stream.get(event.stream_id)
        if answer is None:
            return
        if isinstance(event, HeadersReceived) and not answer.headers.done():
            answer.headers.set_result({k.decode(): v.decode() for k, v in event.headers})
        elif isinstance(event, DataReceived) and event.data:
            answer.body.put_nowait(event.data)
        if event.stream_ended:
            self._answer_by_stream.pop(event.stream_id, None)
            answer.body.put_nowait(None)

    def _is_stateless_reset(self, data: bytes) -> bool:
        peer_ids = [self._quic._peer_cid, *self._quic._peer_cid_available]
        return any(cid.stateless_reset_token == data[-_RESET_TOKEN_BYTES:] for cid in peer_ids)

    def _break(self, reason: str) -> None:
        if self.broken is not None:
            return
        self.broken = reason
        if self._keepalive is not None:
            self._keepalive.cancel()
        if self._timer is not None:
            self._timer.cancel()
        for answer in self._answer_by_stream.values():
            answer.fail(FlowBrokenError(reason=reason))
        self._answer_by_stream.clear()
        if self._connected_waiter is not None and not self._connected_waiter.done():
            self._connected_waiter.set_exception(FlowBrokenError(reason=reason))

    def _send_keepalive(self) -> None:
        if self.broken is not None:
            return
        self._quic.send_ping(0)
        self._keepalive = self._loop.call_later(KEEPALIVE_S, self._send_keepalive)


async def connect(address: Endpoint, *, authority: Path, server_name: str) -> QuicClientFlow:
    """Return a flow to a service's address after its handshake; raises FlowBrokenError."""
    configuration = QuicConfiguration(
        is_client=True,
        alpn_protocols=H3_ALPN,
        idle_timeout=IDLE_TIMEOUT_S,
        server_name=server_name,
        verify_mode=ssl.CERT_REQUIRED,
    )
    configuration.load_verify_locations(cafile=str(authority))
    quic = QuicConnection(configuration=configuration)
    loop = asyncio.get_running_loop()
    _, flow = await loop.create_datagram_endpoint(
        lambda: QuicClientFlow(quic), local_addr=(address.host, 0)
    )
    flow.connect(tuple(address))
    try:
        await flow.wait_connected()
    except ConnectionError as error:
        raise FlowBrokenError(reason="the handshake failed") from error
    return flow
