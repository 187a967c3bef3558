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
"""Longer than any interval between two messages that control loops wait for."""


class ProxyFault(Enum):
    """What the proxy does to all its connections, old and new."""

    NONE = "none"
    DELAY = "delay"
    """Bytes arrive later."""
    RESET = "reset"
    """Connections end at once."""
    SILENCE = "silence"
    """Connections stay open and carry nothing more, for good."""
    CUT_REPLIES = "cut_replies"
    """Bytes of the target are lost, those to it arrive."""


class _Pair:
    def __init__(self, *, proxy: FaultProxy, client: ByteStream, target: ByteStream) -> None:
        self._proxy = proxy
        self._streams = (client, target)
        # Bytes that are lost once break the order, so nothing may follow them.
        self.is_silent = False
        self.lost_replies = False
        self.due_by_direction = {False: 0.0, True: 0.0}
        client.on_data = lambda data: proxy.carry(self, target, data, is_reply=False)
        target.on_data = lambda data: proxy.carry(self, client, data, is_reply=True)
        client.on_end = lambda _end: self.close()
        target.on_end = lambda _end: self.close()

    def close(self) -> None:
        """End both connections."""
        self._proxy.pairs.discard(self)
        for stream in self._streams:
            stream.close()


class FaultProxy:
    """Listens at ``endpoint`` and carries connections to ``target``."""

    def __init__(
        self, *, loop: Loop, network: Network, endpoint: Endpoint, target: Endpoint
    ) -> None:
        self._loop = loop
        self._network = network
        self._target = target
        self._listener = network.listener(endpoint, self._accept)
        self._fault = ProxyFault.NONE
        self.endpoint = endpoint
        self.pairs: set[_Pair] = set()

    def start(self) -> None:
        """Listen. Raises OSError."""
        self._listener.start()

    def close(self) -> None:
        """Stop listening and end all connections."""
        self._listener.close()
        for pair in list(self.pairs):
            pair.close()

    def inject(self, fault: ProxyFault) -> None:
        """Do ``fault`` from now on."""
        self._fault = fault
        if fault is ProxyFault.RESET:
            for pair in list(self.pairs):
                pair.close()

    def carry(self, pair: _Pair, stream: ByteStream, data: bytes, *, is_reply: bool) -> None:
        """Carry bytes of one connection, unless a fault keeps them."""
        if self._fault is ProxyFault.SILENCE:
            pair.is_silent = True
        if self._fault is ProxyFault.CUT_REPLIES and is_reply:
            pair.lost_replies = True
        if pair.is_silent or (is_reply and pair.lost_replies):
            return
        now = self._loop.now()
        delay_s = DELAY_S if self._fault is ProxyFault.DELAY else 0.0
        # Not before what came earlier, which a fault that has ended may still delay.
        due = max(now + delay_s, pair.due_by_direction[is_reply])
        pair.due_by_direction[is_reply] = due
        if due > now:
            self._loop.call_later(due - now, lambda: self._send(pair, stream, data))
        else:
            self._send(pair, stream, data)

    def _send(self, pair: _Pair, stream: ByteStream, data: bytes) -> None:
        if pair in self.pairs:
            stream.send(data)

    def _accept(self, client: ByteStream, _endpoint: Endpoint) -> None:
        if self._fault is ProxyFault.RESET:
            client.close()
            return
        target = self._network.connect(self._target)
        self.pairs.add(_Pair(proxy=self, client=client, target=target))
