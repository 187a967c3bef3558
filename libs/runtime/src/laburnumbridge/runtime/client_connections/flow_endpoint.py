"""Receives the packets of clients at an agent and assigns them to connections."""

from __future__ import annotations

import asyncio
import itertools
from abc import ABC
from abc import abstractmethod
from collections import Counter
from typing import TYPE_CHECKING

from aioquic._buffer import Buffer
from aioquic.quic.packet import QuicPacketType
from aioquic.quic.packet import encode_quic_version_negotiation
from aioquic.quic.packet import pull_quic_header

from laburnumbridge.routing import CONNECTION_ID_BYTES
from laburnumbridge.runtime.client_connections.client_connection import ClientConnection
from laburnumbridge.runtime.client_connections.token_connection import TokenConnection
from laburnumbridge.runtime.client_requests.client_request import ConnectionRecord
from laburnumbridge.runtime.forwarding_path.return_path import ReturnPath
from laburnumbridge.runtime.forwarding_path.stateless_reset import build_stateless_reset
from laburnumbridge.runtime.forwarding_path.udp_socket import UdpSocket
from laburnumbridge.wire import Endpoint
from laburnumbridge.wire import Frame
from laburnumbridge.wire import FrameKind
from laburnumbridge.wire import FrameRejectedError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from aioquic.quic.configuration import QuicConfiguration
    from aioquic.quic.packet import QuicHeader

    from laburnumbridge.runtime.client_connections.connection_id_issuer import ConnectionIdIssuer
    from laburnumbridge.runtime.client_requests.request_recorder import RequestRecorder
    from laburnumbridge.runtime.client_requests.responder import RequestHandler
    from laburnumbridge.wire import Encapsulation

MIN_INITIAL_BYTES = 1200


class HandshakePolicy(ABC):
    """Decides which agent accepts a new connection."""

    @abstractmethod
    def choose(self, flow_key: bytes, *, handed_off: bool, now: float) -> Endpoint | None:
        """Return the sibling that accepts the handshake, or None to accept it here.

        ``handed_off`` is True if a sibling has forwarded the handshake; ``now`` is in seconds of
        the event loop's clock.
        """

    @abstractmethod
    def opened(self, now: float) -> None:
        """Count a connection that has completed its handshake here."""

    @abstractmethod
    def closed(self, now: float) -> None:
        """Count an open connection that has ended."""


class FlowEndpoint:
    """Receives encapsulated datagrams and owns the connections of one agent.

    A packet of a flow that has ended, or that an earlier incarnation held, gets a stateless reset.
    """

    def __init__(
        self,
        *,
        address: Endpoint,
        encapsulation: Encapsulation,
        issuer: ConnectionIdIssuer,
        quic_configuration: QuicConfiguration,
        handler: RequestHandler,
        policy: HandshakePolicy,
        list_balancers: Callable[[], Sequence[Endpoint]],
        recorder: RequestRecorder,
    ) -> None:
        self._recorder = recorder
        self._request_numbers = itertools.count(1)
        self._encapsulation = encapsulation
        self._issuer = issuer
        self._quic_configuration = quic_configuration
        self._handler = handler
        self._policy = policy
        self._list_balancers = list_balancers
        self._connection_by_id: dict[bytes, ClientConnection] = {}
        self._ids_by_connection: dict[ClientConnection, set[bytes]] = {}
        self._socket = UdpSocket(address=address, on_datagram=self._on_datagram)
        self.dropped: Counter[str] = Counter()

    @property
    def connections(self) -> list[ClientConnection]:
        """All connections, including those in handshake."""
        return list(self._ids_by_connection)

    def start(self) -> None:
        """Bind the datagram address."""
        self._socket.start()

    def close(self) -> None:
        """Close every connection and release the address."""
        for connection in self.connections:
            connection.close()
        self._socket.close()

    def _on_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            frame = self._encapsulation.decode(data)
        except FrameRejectedError as error:
            self.dropped[error.fault.value] += 1
            return
        if frame.kind is FrameKind.TO_GUEST:
            self.dropped["wrong_direction"] += 1
            return
        if frame.service_number != self._issuer.service_number:
            self.dropped["wrong_service"] += 1
            return
        balancer = frame.balancer or Endpoint(*address)
        self._on_client_datagram(frame, balancer)

    def _on_client_datagram(self, frame: Frame, balancer: Endpoint) -> None:
        try:
            header = pull_quic_header(
                Buffer(data=frame.datagram), host_cid_length=CONNECTION_ID_BYTES
            )
        except ValueError:
            self.dropped["malformed"] += 1
            return
        if self._is_unknown_version(header):
            self._negotiate_version(header, frame, balancer)
            return
        connection = self._connection_by_id.get(header.destination_cid)
        if connection is None:
            connection = self._on_unknown_id(header, frame, balancer)
        if connection is None:
            return
        now = asyncio.get_running_loop().time()
        connection.path.record_delivery(balancer, frame.client, now)
        connection.datagram_received(frame.datagram, tuple(frame.client))

    def _is_unknown_version(self, header: QuicHeader) -> bool:
        if header.version is None or header.packet_type is QuicPacketType.VERSION_NEGOTIATION:
            return False
        return header.version not in self._quic_configuration.supported_versions

    def _negotiate_version(self, header: QuicHeader, frame: Frame, balancer: Endpoint) -> None:
        if len(frame.datagram) < MIN_INITIAL_BYTES:
            self.dropped["short_initial"] += 1
            return
        answer = encode_quic_version_negotiation(
            source_cid=header.destination_cid,
            destination_cid=header.source_cid,
            supported_versions=self._quic_configuration.supported_versions,
        )
        self._send_to_client(frame, balancer, answer)

    def _send_to_client(self, frame: Frame, balancer: Endpoint, datagram: bytes) -> None:
        header = self._encapsulation.header(
            FrameKind.TO_GUEST, frame.service_number, frame.client, None
        )
        self._socket.send(header + datagram, balancer)

    def _on_unknown_id(
        self, header: QuicHeader, frame: Frame, balancer: Endpoint
    ) -> ClientConnection | None:
        is_short = header.version is None
        if is_short:
            self._answer_unknown_flow(header.destination_cid, frame, balancer)
            return None
        is_initial = header.packet_type is QuicPacketType.INITIAL
        if not is_initial or len(frame.datagram) < MIN_INITIAL_BYTES:
            self.dropped["unknown_connection"] += 1
            return None
        now = asyncio.get_running_loop().time()
        sibling = self._policy.choose(
            header.destination_cid, handed_off=frame.kind is FrameKind.HANDOFF, now=now
        )
        if sibling is not None:
            handoff = Frame(
                FrameKind.HANDOFF, frame.service_number, frame.client, frame.datagram, balancer
            )
            self._socket.send(self._encapsulation.encode(handoff), sibling)
            return None
        return self._accept(header.destination_cid, frame.client, balancer, now)

    def _answer_unknown_flow(self, connection_id: bytes, frame: Frame, balancer: Endpoint) -> None:
        """Reset a flow of this agent that has ended or that an earlier incarnation held."""
        token = self._issuer.codec.decode(connection_id)
        if token is None or token.agent_number != self._issuer.agent_number:
            self.dropped["foreign_token"] += 1
            return
        if token.service_number != self._issuer.service_number:
            self.dropped["wrong_service"] += 1
            return
        if token.incarnation > self._issuer.incarnation:
            self.dropped["newer_incarnation"] += 1
            return
        reset = build_stateless_reset(
            token=self._issuer.codec.reset_token(connection_id),
            triggering_bytes=len(frame.datagram),
        )
        if reset is not None:
            self._send_to_client(frame, balancer, reset)
            self.dropped["reset_sent"] += 1

    def _accept(
        self, original_id: bytes, client: Endpoint, balancer: Endpoint, now: float
    ) -> ClientConnection:
        quic = TokenConnection(
            configuration=self._quic_configuration,
            original_destination_id=original_id,
            issuer=self._issuer,
        )
        path = ReturnPath(
            socket=self._socket,
            encapsulation=self._encapsulation,
            service_number=self._issuer.service_number,
            client=client,
            balancer=balancer,
            list_balancers=self._list_balancers,
            now=now,
        )
        connection = ClientConnection(
            quic=quic,
            path=path,
            record=ConnectionRecord(connection_id=original_id),
            handler=self._handler,
            next_request_id=self._next_request_id,
            on_opened=self._on_opened,
            on_closed=self._on_closed,
        )
        self._ids_by_connection[connection] = set()
        self._add_id(connection, original_id)
        self._add_id(connection, quic.host_cid)
        connection._connection_id_issued_handler = lambda cid: self._add_id(connection, cid)
        connection._connection_id_retired_handler = lambda cid: self._remove_id(connection, cid)
        return connection

    def _next_request_id(self) -> str:
        agent, incarnation = self._issuer.agent_number, self._issuer.incarnation
        return f"{agent:x}-{incarnation:x}-{next(self._request_numbers):x}"

    def _add_id(self, connection: ClientConnection, connection_id: bytes) -> None:
        self._connection_by_id[connection_id] = connection
        self._ids_by_connection[connection].add(connection_id)

    def _remove_id(self, connection: ClientConnection, connection_id: bytes) -> None:
        self._connection_by_id.pop(connection_id, None)
        self._ids_by_connection[connection].discard(connection_id)

    def _on_opened(self, connection: ClientConnection) -> None:
        self._policy.opened(asyncio.get_running_loop().time())
        self._recorder.flow_opened(connection.record.connection_id.hex())

    def _on_closed(self, connection: ClientConnection) -> None:
        for connection_id in self._ids_by_connection.pop(connection, ()):
            self._connection_by_id.pop(connection_id, None)
        if connection.opened:
            self._policy.closed(asyncio.get_running_loop().time())
            self._recorder.flow_closed(
                connection.record.connection_id.hex(),
                connection.close_reason,
                broken=not connection.closed_in_order,
            )
