"""The way from an agent back to a client."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from laburnumbridge.wire import FrameKind

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from laburnumbridge.core import ServiceNumber
    from laburnumbridge.runtime.forwarding_path.udp_socket import UdpSocket
    from laburnumbridge.wire import Encapsulation
    from laburnumbridge.wire import Endpoint

# A client acknowledges within milliseconds; after this silence the balancer in use may be gone.
SILENCE_BEFORE_SWITCH_S = 1.0


class ReturnPath(asyncio.DatagramTransport):
    """Sends a flow's datagrams through the balancer that delivered the latest packet.

    While the client is silent it changes to another balancer once a second, so that a balancer
    that fails without notice can't hold the answers back.
    """

    def __init__(
        self,
        *,
        socket: UdpSocket,
        encapsulation: Encapsulation,
        service_number: ServiceNumber,
        client: Endpoint,
        balancer: Endpoint,
        list_balancers: Callable[[], Sequence[Endpoint]],
        now: float,
    ) -> None:
        super().__init__()
        self._socket = socket
        self._encapsulation = encapsulation
        self._service_number = service_number
        self._list_balancers = list_balancers
        self._chosen_at = now
        self.client = client
        self.balancer = balancer

    def record_delivery(self, balancer: Endpoint, client: Endpoint, now: float) -> None:
        """Note the way that the latest packet took; a client may change its address."""
        self.balancer = balancer
        self.client = client
        self._chosen_at = now

    def sendto(self, data: bytes | bytearray | memoryview, addr: object = None) -> None:
        """Encapsulate and send one datagram; ``addr`` is unused, the flow knows its client."""
        now = asyncio.get_running_loop().time()
        if now - self._chosen_at > SILENCE_BEFORE_SWITCH_S:
            self._switch(now)
        header = self._encapsulation.header(
            FrameKind.TO_GUEST, self._service_number, self.client, None
        )
        self._socket.send(header + bytes(data), self.balancer)

    def close(self) -> None:
        """Do nothing; the socket belongs to the agent."""

    def is_closing(self) -> bool:
        """Return False; the socket outlives its flows."""
        return False

    def _switch(self, now: float) -> None:
        self._chosen_at = now
        balancers = self._list_balancers()
        if not balancers:
            return
        known = balancers.index(self.balancer) if self.balancer in balancers else -1
        self.balancer = balancers[(known + 1) % len(balancers)]
