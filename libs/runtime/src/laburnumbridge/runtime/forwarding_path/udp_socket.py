"""A non-blocking UDP socket read in batches."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from laburnumbridge.runtime.errors import AddressInUseError
from laburnumbridge.wire import Endpoint

if TYPE_CHECKING:
    from collections.abc import Callable

    Address = tuple[str, int]

MAX_DATAGRAM_BYTES = 2048
BATCH = 64
BUFFER_BYTES = 4 * 1024 * 1024

_IP_RECVERR = 11
_ERROR_BYTES = 512


class UdpSocket:
    """Calls ``on_datagram(data, address)`` for each datagram.

    ``on_refused(endpoint)`` is called when the kernel reports that a destination's port is
    closed, which proves that no process listens there. Datagrams that the kernel doesn't accept
    are dropped and counted in ``dropped``.
    """

    def __init__(
        self,
        *,
        address: Endpoint,
        on_datagram: Callable[[bytes, Address], None],
        on_refused: Callable[[Endpoint], None] | None = None,
    ) -> None:
        self._address = address
        self._on_datagram = on_datagram
        self._on_refused = on_refused
        self._socket: socket.socket | None = None
        self.dropped = 0

    @property
    def local(self) -> Endpoint:
        """Bound address; a port of 0 is replaced by the real one in ``start``."""
        return self._address

    def start(self) -> None:
        """Bind the address and start reading; raises AddressInUseError."""
        family = socket.AF_INET6 if ":" in self._address.host else socket.AF_INET
        opened = socket.socket(family, socket.SOCK_DGRAM)
        opened.setblocking(False)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        if self._on_refused is not None and family == socket.AF_INET:
            opened.setsockopt(socket.IPPROTO_IP, _IP_RECVERR, 1)
        try:
            opened.bind(tuple(self._address))
        except OSError as error:
            opened.close()
            reason = error.strerror or str(error)
            raise AddressInUseError(address=str(self._address), reason=reason) from error
        self._address = Endpoint(*opened.getsockname()[:2])
        self._socket = opened
        asyncio.get_running_loop().add_reader(opened.fileno(), self._read_batch)

    def close(self) -> None:
        """Stop reading and release the address."""
        if self._socket is None:
            return
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()
        self._socket = None

    def send(self, data: bytes, address: Address) -> None:
        """Send one datagram, or drop and count it if the kernel doesn't accept it."""
        if self._socket is None:
            return
        try:
            self._socket.sendto(data, address)
        except (BlockingIOError, PermissionError):
            self.dropped += 1
        except OSError:
            # With IP_RECVERR an earlier ICMP error is reported here; the datagram wasn't sent.
            self.dropped += 1
            self._read_errors()

    def _read_batch(self) -> None:
        opened = self._socket
        receive = self._on_datagram
        for _ in range(BATCH):
            if opened is None or opened is not self._socket:
                return
            try:
                data, address = opened.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                self._read_errors()
                continue
            receive(data, address[:2])

    def _read_errors(self) -> None:
        if self._socket is None or self._on_refused is None:
            return
        refused = set()
        for _ in range(BATCH):
            try:
                _, _, _, address = self._socket.recvmsg(0, _ERROR_BYTES, socket.MSG_ERRQUEUE)
            except OSError:
                break
            if address:
                refused.add(Endpoint(*address[:2]))
        self._register_again()
        for endpoint in refused:
            self._on_refused(endpoint)

    def _register_again(self) -> None:
        """Register the socket again: libuv stops polling a descriptor that reports an error."""
        if self._socket is None:
            return
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket.fileno())
        loop.add_reader(self._socket.fileno(), self._read_batch)
