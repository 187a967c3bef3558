"""A TCP proxy that injects faults into the connections through it."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.forwarding.endpoints import Endpoint
    from laburnumbridge.forwarding.network import ByteStream
    from laburnumbridge.forwarding.network import Loop
    from laburnumbridge.forwarding.network import Network

DELAY_S = 0.3
"""Longer than any interval at which a control loop expects the next message."""


class ProxyFault(Enum):
    """A fault of all connections through the proxy, existing and new."""

    NONE = "none"
    DELAY = "delay"
    """Bytes arrive ``DELAY_S`` later."""
    RESET = "reset"
    """Existing connections are closed at once, new ones when they are accepted."""
    SILENCE = "silence"
    """Connections stay open but drop all bytes, also after the fault has ended."""
    CUT_REPLIES = "cut_replies"
    """Bytes from the target are dropped, also after the fault has ended; bytes to it arrive."""


class _ProxiedConnection:
    def __init__(self, *, proxy: FaultProxy, client: ByteStream, target: ByteStream) -> None:
        self._proxy = proxy
        self._streams = (client, target)
        # No bytes may follow dropped ones, because the stream would have a gap.
        self.drops_all = False
        self.drops_replies = False
        self.last_due_by_direction = {False: 0.0, True: 0.0}
        client.on_data = lambda data: proxy.forward(self, target, data, is_reply=False)
        target.on_data = lambda data: proxy.forward(self, client, data, is_reply=True)
        client.on_end = lambda _end: self.close()
        target.on_end = lambda _end: self.close()

    def close(self) -> None:
        """Close the streams to the client and to the target."""
        self._proxy.connections.discard(self)
        for stream in self._streams:
            stream.close()


class FaultProxy:
    """Listens at ``endpoint`` and forwards each connection to ``target``."""

    def __init__(
        self, *, loop: Loop, network: Network, endpoint: Endpoint, target: Endpoint
    ) -> None:
        self._loop = loop
        self._network = network
        self._target = target
        self._listener = network.listener(endpoint, self._accept)
        self._fault = ProxyFault.NONE
        self.endpoint = endpoint
        self.connections: set[_ProxiedConnection] = set()

    def start(self) -> None:
        """Listen. Raises OSError."""
        self._listener.start()

    def close(self) -> None:
        """Stop listening and end all connections."""
        self._listener.close()
        for connection in list(self.connections):
            connection.close()

    def inject(self, fault: ProxyFault) -> None:
        """Apply ``fault`` until the next call; ``ProxyFault.NONE`` ends it."""
        self._fault = fault
        if fault is ProxyFault.RESET:
            for connection in list(self.connections):
                connection.close()

    def forward(
        self, connection: _ProxiedConnection, stream: ByteStream, data: bytes, *, is_reply: bool
    ) -> None:
        """Send bytes of ``connection`` on to ``stream``, unless a fault drops them."""
        if self._fault is ProxyFault.SILENCE:
            connection.drops_all = True
        if self._fault is ProxyFault.CUT_REPLIES and is_reply:
            connection.drops_replies = True
        if connection.drops_all or (is_reply and connection.drops_replies):
            return
        now = self._loop.now()
        delay_s = DELAY_S if self._fault is ProxyFault.DELAY else 0.0
        # Not before earlier bytes, which a fault that has ended may still delay.
        due = max(now + delay_s, connection.last_due_by_direction[is_reply])
        connection.last_due_by_direction[is_reply] = due
        if due > now:
            self._loop.call_later(due - now, lambda: self._send(connection, stream, data))
        else:
            self._send(connection, stream, data)

    def _send(self, connection: _ProxiedConnection, stream: ByteStream, data: bytes) -> None:
        if connection in self.connections:
            stream.send(data)

    def _accept(self, client: ByteStream, _endpoint: Endpoint) -> None:
        if self._fault is ProxyFault.RESET:
            client.close()
            return
        target = self._network.connect(self._target)
        self.connections.add(_ProxiedConnection(proxy=self, client=client, target=target))
