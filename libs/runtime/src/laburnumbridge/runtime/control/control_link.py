"""Control datagrams between the processes of the system."""

from __future__ import annotations

import asyncio
from abc import ABC
from abc import abstractmethod
from collections import Counter
from collections import OrderedDict
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from laburnumbridge.runtime.forwarding_path.udp_socket import UdpSocket
from laburnumbridge.wire import DatagramRejectedError
from laburnumbridge.wire import DatagramTooLargeError
from laburnumbridge.wire import Endpoint
from laburnumbridge.wire import SealedCodec

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from laburnumbridge.core import Incarnation
    from laburnumbridge.core import ProcessId
    from laburnumbridge.wire import SealingKey

    Handler = Callable[["ProcessId", Any], None]

# Number of processes that may start before the list of VMs contains them; about 0.2 MB.
MAX_UNLISTED_PROCESSES = 1_024


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """Encoded message with the number of its type."""

    kind: int
    body: msgspec.Raw


class ControlLink(ABC):
    """Sends messages without guaranteed delivery to processes, addressed by process id."""

    @abstractmethod
    def register(self, kind: int, message_type: type, handler: Handler) -> None:
        """Call ``handler(sender, message)`` for each message of a type.

        ``kind`` is the number of the type on the wire.
        """

    @abstractmethod
    def send(self, destination: ProcessId, message: object) -> None:
        """Send a message of a registered type; it is dropped and counted without an address."""


class DatagramControlLink(ControlLink):
    """Sealed UDP datagrams at the control address of each process."""

    def __init__(
        self,
        *,
        own: ProcessId,
        incarnation: Incarnation,
        address: Endpoint,
        keys: Iterable[SealingKey],
        find_endpoint: Callable[[ProcessId], Endpoint | None],
    ) -> None:
        self._own = own
        self._find_endpoint = find_endpoint
        self._codec: SealedCodec[Envelope] = SealedCodec(
            sender=own, incarnation=incarnation, keys=keys, message_type=Envelope
        )
        self._encoder = msgspec.msgpack.Encoder()
        self._kind_by_type: dict[type, int] = {}
        self._decoder_by_kind: dict[int, msgspec.msgpack.Decoder[Any]] = {}
        self._handler_by_kind: dict[int, Handler] = {}
        self._endpoint_by_unlisted: OrderedDict[ProcessId, Endpoint] = OrderedDict()
        self._socket = UdpSocket(address=address, on_datagram=self._on_datagram)
        self.dropped: Counter[str] = Counter()
        self.bytes_sent = 0
        self.messages_sent = 0

    def register(self, kind: int, message_type: type, handler: Handler) -> None:
        """Call ``handler(sender, message)`` for each message of a type."""
        self._kind_by_type[message_type] = kind
        self._decoder_by_kind[kind] = msgspec.msgpack.Decoder(message_type)
        self._handler_by_kind[kind] = handler

    @property
    def local(self) -> Endpoint:
        """Bound address; a port of 0 is replaced by the real one in ``start``."""
        return self._socket.local

    def start(self) -> None:
        """Bind the control address."""
        self._socket.start()

    def close(self) -> None:
        """Release the control address."""
        self._socket.close()

    def send(self, destination: ProcessId, message: object) -> None:
        """Send a message; one to this process is delivered in the next turn of the event loop."""
        kind = self._kind_by_type[type(message)]
        if destination == self._own:
            handler = self._handler_by_kind[kind]
            asyncio.get_running_loop().call_soon(handler, self._own, message)
            return
        endpoint = self._find_endpoint(destination) or self._endpoint_by_unlisted.get(destination)
        if endpoint is None:
            self.dropped["unknown_destination"] += 1
            return
        envelope = Envelope(kind, msgspec.Raw(self._encoder.encode(message)))
        try:
            datagram = self._codec.seal(envelope, receiver=destination)
        except DatagramTooLargeError:
            self.dropped["too_large"] += 1
            return
        self.messages_sent += 1
        self.bytes_sent += len(datagram)
        self._socket.send(datagram, endpoint)

    def _on_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            opened = self._codec.open(data)
        except DatagramRejectedError as error:
            self.dropped[error.fault.value] += 1
            return
        self._store_unlisted_address(opened.sender, Endpoint(*address))
        decoder = self._decoder_by_kind.get(opened.message.kind)
        if decoder is None:
            self.dropped["unknown_kind"] += 1
            return
        try:
            message = decoder.decode(opened.message.body)
        except (msgspec.MsgspecError, RecursionError):
            self.dropped["malformed"] += 1
            return
        self._handler_by_kind[opened.message.kind](opened.sender, message)

    def _store_unlisted_address(self, sender: ProcessId, endpoint: Endpoint) -> None:
        """Store the address of a sender that the lagging list of VMs doesn't contain yet."""
        self._endpoint_by_unlisted.pop(sender, None)
        if self._find_endpoint(sender) is not None:
            return
        self._endpoint_by_unlisted[sender] = endpoint
        if len(self._endpoint_by_unlisted) > MAX_UNLISTED_PROCESSES:
            self._endpoint_by_unlisted.popitem(last=False)
