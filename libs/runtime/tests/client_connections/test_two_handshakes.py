from __future__ import annotations

from typing import TYPE_CHECKING

from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import ConnectionTerminated
from aioquic.quic.events import HandshakeCompleted
from aioquic.quic.events import StreamDataReceived

from laburnumbridge.core import AgentNumber
from laburnumbridge.core import Incarnation
from laburnumbridge.core import ServiceNumber
from laburnumbridge.routing import CONNECTION_ID_BYTES
from laburnumbridge.routing import TokenCodec
from laburnumbridge.runtime.agent_process import IDLE_TIMEOUT_S
from laburnumbridge.runtime.client_connections.connection_id_issuer import ConnectionIdIssuer
from laburnumbridge.runtime.client_connections.token_connection import TokenConnection
from laburnumbridge.standins.certificates import CertificateAuthority

if TYPE_CHECKING:
    from pathlib import Path

    from aioquic.quic.events import QuicEvent

CODEC = TokenCodec(keys_by_number={3: bytes(range(16))}, current_number=3)
CLIENT = ("192.0.2.9", 5000)
SERVICE_ADDRESS = ("192.0.2.1", 443)
ROUNDS = 8


class Handshakes:
    """A client whose first packets are delivered to two agents."""

    def __init__(self, folder: Path) -> None:
        authority = CertificateAuthority()
        root = authority.write_root(folder / "root.pem")
        pair = authority.issue("service", addresses=[], folder=folder)
        configuration = QuicConfiguration(alpn_protocols=H3_ALPN, server_name="service")
        configuration.load_verify_locations(cafile=str(root))
        self.client = QuicConnection(configuration=configuration)
        self.client.connect(SERVICE_ADDRESS, now=0.0)
        self.agents = {number: self._agent(number, pair) for number in (1, 2)}
        self.now = 0.0

    def _agent(self, number: int, pair: tuple[Path, Path]) -> TokenConnection:
        configuration = QuicConfiguration(
            is_client=False,
            alpn_protocols=H3_ALPN,
            connection_id_length=CONNECTION_ID_BYTES,
            idle_timeout=IDLE_TIMEOUT_S,
        )
        configuration.load_cert_chain(*pair)
        return TokenConnection(
            configuration=configuration,
            original_destination_id=self.client.original_destination_connection_id,
            issuer=ConnectionIdIssuer(
                codec=CODEC,
                agent_number=AgentNumber(number),
                incarnation=Incarnation(1),
                service_number=ServiceNumber(1),
            ),
        )

    def run_round(self) -> None:
        """Deliver by token; packets without one go to both agents."""
        self.now += 0.01
        for data, _ in self.client.datagrams_to_send(now=self.now):
            is_long = bool(data[0] & 0x80)
            destination = data[6 : 6 + data[5]] if is_long else data[1 : 1 + CONNECTION_ID_BYTES]
            token = CODEC.decode(destination)
            numbers = [1, 2] if token is None else [int(token.agent_number)]
            for number in numbers:
                self.agents[number].receive_datagram(data, CLIENT, now=self.now)
        for agent in self.agents.values():
            for data, _ in agent.datagrams_to_send(now=self.now):
                self.client.receive_datagram(data, SERVICE_ADDRESS, now=self.now)


def drain_events(connection: QuicConnection) -> list[QuicEvent]:
    events = []
    while (event := connection.next_event()) is not None:
        events.append(event)
    return events


class TestTwoHandshakes:
    def test_the_client_completes_one_and_nothing_runs_at_the_other(self, tmp_path: Path) -> None:
        # Guards against a request that runs at two agents because balancers have different views.
        handshakes = Handshakes(tmp_path)
        handshakes.run_round()
        handshakes.run_round()
        handshakes.client.send_stream_data(0, b"request", end_stream=True)
        for _ in range(ROUNDS):
            handshakes.run_round()
        events = {number: drain_events(agent) for number, agent in handshakes.agents.items()}
        completed = [
            number
            for number, agent_events in events.items()
            if any(isinstance(event, HandshakeCompleted) for event in agent_events)
        ]
        received = [
            number
            for number, agent_events in events.items()
            if any(isinstance(event, StreamDataReceived) for event in agent_events)
        ]
        assert completed == received
        assert len(completed) == 1

    def test_the_other_handshake_expires(self, tmp_path: Path) -> None:
        # Guards against half-open connections that an agent never removes.
        handshakes = Handshakes(tmp_path)
        for _ in range(ROUNDS):
            handshakes.run_round()
        other = next(a for a in handshakes.agents.values() if not a._handshake_complete)
        other.handle_timer(now=handshakes.now + 10 * IDLE_TIMEOUT_S)
        assert any(isinstance(event, ConnectionTerminated) for event in drain_events(other))
