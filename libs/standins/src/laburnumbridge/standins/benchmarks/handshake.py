"""Processor time of a QUIC handshake on the agent's side."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING
from typing import ClassVar

from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection

from laburnumbridge.cli.benchmark import Benchmark
from laburnumbridge.core import AgentNumber
from laburnumbridge.core import Incarnation
from laburnumbridge.routing import CONNECTION_ID_BYTES
from laburnumbridge.runtime.client_connections.connection_id_issuer import ConnectionIdIssuer
from laburnumbridge.runtime.client_connections.token_connection import TokenConnection
from laburnumbridge.standins.benchmarks.forwarding_target import SERVICE
from laburnumbridge.standins.benchmarks.forwarding_target import make_codec
from laburnumbridge.standins.certificates import CertificateAuthority

if TYPE_CHECKING:
    from collections.abc import Mapping

    from laburnumbridge.cli.benchmark import Figure

HANDSHAKES = 200
ROUND_TRIPS = 4

_SERVER = ("127.0.0.1", 4433)
_CLIENT = ("127.0.0.1", 5000)


class HandshakeBenchmark(Benchmark):
    """Runs both ends in this process without sockets, and times only the server's calls."""

    name: ClassVar[str] = "handshake"

    def run(self) -> Mapping[str, Figure]:
        """Return the mean processor time over HANDSHAKES, in milliseconds."""
        spent = [seconds for seconds, _ in self._run_handshakes(HANDSHAKES)]
        return {"handshake_server_ms": round(sum(spent) / len(spent) * 1000, 3)}

    def open_servers(self, count: int) -> list[object]:
        """Return the server's ends of ``count`` open connections."""
        return [server for _, server in self._run_handshakes(count)]

    def _run_handshakes(self, count: int) -> list[tuple[float, object]]:
        issuer = ConnectionIdIssuer(
            codec=make_codec(),
            agent_number=AgentNumber(1),
            incarnation=Incarnation(1),
            service_number=SERVICE,
        )
        with tempfile.TemporaryDirectory() as folder:
            authority = CertificateAuthority()
            root = authority.write_root(Path(folder) / "root.pem")
            certificate, key = authority.issue("service", addresses=[], folder=Path(folder))
            server_configuration = QuicConfiguration(
                is_client=False, alpn_protocols=H3_ALPN, connection_id_length=CONNECTION_ID_BYTES
            )
            server_configuration.load_cert_chain(certificate, key)
            client_configuration = QuicConfiguration(alpn_protocols=H3_ALPN, server_name="service")
            client_configuration.load_verify_locations(cafile=str(root))
            return [
                self._run_handshake(client_configuration, server_configuration, issuer)
                for _ in range(count)
            ]

    def _run_handshake(
        self,
        client_configuration: QuicConfiguration,
        server_configuration: QuicConfiguration,
        issuer: ConnectionIdIssuer,
    ) -> tuple[float, object]:
        client = QuicConnection(configuration=client_configuration)
        client.connect(_SERVER, now=0.0)
        spent = 0.0
        server: QuicConnection | None = None
        now = 0.0
        for _ in range(ROUND_TRIPS):
            from_client = [data for data, _ in client.datagrams_to_send(now=now)]
            started = time.process_time()
            if server is None:
                server = TokenConnection(
                    configuration=server_configuration,
                    original_destination_id=client.original_destination_connection_id,
                    issuer=issuer,
                )
            for data in from_client:
                server.receive_datagram(data, _CLIENT, now=now)
            from_server = [data for data, _ in server.datagrams_to_send(now=now)]
            spent += time.process_time() - started
            for data in from_server:
                client.receive_datagram(data, _SERVER, now=now)
            now += 0.001
        return spent, server
