from __future__ import annotations

from typing import TYPE_CHECKING

from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection

from laburnumbridge.core import AgentNumber
from laburnumbridge.core import Incarnation
from laburnumbridge.core import ServiceNumber
from laburnumbridge.routing import CONNECTION_ID_BYTES
from laburnumbridge.routing import RoutingToken
from laburnumbridge.routing import TokenCodec
from laburnumbridge.runtime.client_connections.connection_id_issuer import ConnectionIdIssuer
from laburnumbridge.runtime.client_connections.token_connection import MAX_CONNECTION_IDS
from laburnumbridge.runtime.client_connections.token_connection import TokenConnection
from laburnumbridge.standins.certificates import CertificateAuthority

if TYPE_CHECKING:
    from pathlib import Path

    from aioquic.quic.connection import QuicConnectionId

CODEC = TokenCodec(keys_by_number={3: bytes(range(16))}, current_number=3)
AGENT = AgentNumber(7)
INCARNATION = Incarnation(99)
SERVICE = ServiceNumber(2)


def connect(folder: Path) -> tuple[QuicConnection, TokenConnection]:
    """Return both ends of an open connection, without sockets."""
    authority = CertificateAuthority()
    root = authority.write_root(folder / "root.pem")
    certificate, key = authority.issue("service", addresses=[], folder=folder)
    server_side = QuicConfiguration(
        is_client=False, alpn_protocols=H3_ALPN, connection_id_length=CONNECTION_ID_BYTES
    )
    server_side.load_cert_chain(certificate, key)
    client_side = QuicConfiguration(alpn_protocols=H3_ALPN, server_name="service")
    client_side.load_verify_locations(cafile=str(root))
    client = QuicConnection(configuration=client_side)
    client.connect(("192.0.2.1", 443), now=0.0)
    server = TokenConnection(
        configuration=server_side,
        original_destination_id=client.original_destination_connection_id,
        issuer=ConnectionIdIssuer(
            codec=CODEC, agent_number=AGENT, incarnation=INCARNATION, service_number=SERVICE
        ),
    )
    for turn in range(6):
        for data, _ in client.datagrams_to_send(now=turn * 0.01):
            server.receive_datagram(data, ("192.0.2.9", 5000), now=turn * 0.01)
        for data, _ in server.datagrams_to_send(now=turn * 0.01):
            client.receive_datagram(data, ("192.0.2.1", 443), now=turn * 0.01)
    return client, server


def issued_ids(client: QuicConnection) -> list[QuicConnectionId]:
    return [client._peer_cid, *client._peer_cid_available]


class TestTokenConnection:
    def test_every_id_issued_to_the_client_carries_the_token(self, tmp_path: Path) -> None:
        # Guards against a version of aioquic that generates connection IDs elsewhere: a balancer
        # couldn't route the flow.
        client, _ = connect(tmp_path)
        tokens = [CODEC.decode(issued.cid) for issued in issued_ids(client)]
        assert len(tokens) == MAX_CONNECTION_IDS
        for token in tokens:
            assert isinstance(token, RoutingToken)
            fields = (token.agent_number, token.incarnation, token.service_number)
            assert fields == (AGENT, INCARNATION, SERVICE)
        assert len({token.nonce for token in tokens if token}) == MAX_CONNECTION_IDS

    def test_a_balancer_can_derive_every_reset_token(self, tmp_path: Path) -> None:
        # Guards against clients that ignore the stateless reset of a flow whose agent has failed.
        client, _ = connect(tmp_path)
        for issued in issued_ids(client):
            assert issued.stateless_reset_token == CODEC.reset_token(issued.cid)

    def test_a_retired_id_is_replaced_by_one_with_the_token(self, tmp_path: Path) -> None:
        client, server = connect(tmp_path)
        client.change_connection_id()
        for data, _ in client.datagrams_to_send(now=1.0):
            server.receive_datagram(data, ("192.0.2.9", 5000), now=1.0)
        for data, _ in server.datagrams_to_send(now=1.0):
            client.receive_datagram(data, ("192.0.2.1", 443), now=1.0)
        assert all(CODEC.decode(issued.cid) for issued in issued_ids(client))
        assert len(issued_ids(client)) == MAX_CONNECTION_IDS
