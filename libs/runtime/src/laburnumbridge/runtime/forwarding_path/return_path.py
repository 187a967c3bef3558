"""Path of packets from an agent back to a client."""

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

# A client acknowledges within milliseconds. If no packet of it arrives for this long, the balancer
# in use may have failed.
SWITCH_INTERVAL_S = 1.0


class ReturnPath(asyncio.DatagramTransport):
    """Sends a flow's datagrams through the balancer that delivered the latest packet.

    While no packet of the client arrives, it switches to the next balancer once a second, so that
    the failure of a balancer can't block the responses.
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
        """Use the balancer and the address of the latest packet; a client may change its address.

        ``now`` is in seconds of the event loop's clock.
        """
        self.balancer = balancer
        self.client = client
        self._chosen_at = now

    def sendto(self, data: bytes | bytearray | memoryview, addr: object = None) -> None:
        """Encapsulate and send one datagram to the client of the flow; ``addr`` is ignored."""
        now = asyncio.get_running_loop().time()
        if now - self._chosen_at > SWITCH_INTERVAL_S:
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
        current = balancers.index(self.balancer) if self.balancer in balancers else -1
        self.balancer = balancers[(current + 1) % len(balancers)]
