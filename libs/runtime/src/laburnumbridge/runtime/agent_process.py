"""The agent: end of the guests' connections, beside an upstream."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration

from laburnumbridge.core import AgentNumber
from laburnumbridge.core import Incarnation
from laburnumbridge.routing import CONNECTION_ID_BYTES
from laburnumbridge.runtime.configuration_follower import ConfigurationFollower
from laburnumbridge.runtime.connection_id_issuer import ConnectionIdIssuer
from laburnumbridge.runtime.errors import UnknownServiceError
from laburnumbridge.runtime.fleet_view import FleetView
from laburnumbridge.runtime.flow_endpoint import FlowEndpoint
from laburnumbridge.runtime.forwarding_handler import ForwardingHandler
from laburnumbridge.runtime.platform_client import PlatformClient
from laburnumbridge.runtime.process import Process
from laburnumbridge.runtime.sibling_policy import SiblingPolicy
from laburnumbridge.runtime.upstream_client import HttpUpstreamClient
from laburnumbridge.telemetry import Event
from laburnumbridge.telemetry import EventLog
from laburnumbridge.wire import Encapsulation
from laburnumbridge.wire import Endpoint

if TYPE_CHECKING:
    from laburnumbridge.lists import Service
    from laburnumbridge.settings import AgentSettings

IDLE_TIMEOUT_S = 9.0
DRAIN_POLL_S = 0.1
DRAIN_LIMIT_S = 30.0


class AgentProcess(Process):
    """Reads the lists, then accepts connections for its upstream."""

    def __init__(self, *, settings: AgentSettings) -> None:
        self._settings = settings
        self._log = EventLog(process=settings.name, level=settings.log_level)
        self._client = PlatformClient(url=settings.platform_url)
        self._view = FleetView()
        self._follower = ConfigurationFollower(client=self._client, view=self._view, log=self._log)
        self._upstream = HttpUpstreamClient(url=settings.upstream_url)
        self._policy = SiblingPolicy(view=self._view, name=settings.name, service=settings.service)
        self._issuer: ConnectionIdIssuer | None = None
        self._flows: FlowEndpoint | None = None

    async def start(self) -> None:
        """Wait for the lists, then accept connections."""
        await self._client.start()
        await self._upstream.start()
        await self._follower.start()
        service = self._service()
        codec = self._view.token_codec()
        assert codec is not None
        self._issuer = ConnectionIdIssuer(
            codec=codec,
            agent_number=AgentNumber(self._settings.number),
            incarnation=Incarnation(int(time.time())),
            service_number=self._view.service_numbers()[service.name],
        )
        self._view.listen(self._apply)
        self._flows = FlowEndpoint(
            address=Endpoint.parse(self._settings.address),
            encapsulation=Encapsulation(link_key=bytes.fromhex(self._settings.link_key)),
            issuer=self._issuer,
            quic_configuration=self._quic_configuration(),
            handler=ForwardingHandler(upstream=self._upstream, stream_prefixes=service.streams),
            policy=self._policy,
            list_balancers=self._view.balancer_endpoints,
        )
        self._flows.start()
        self._log.write(Event.PROCESS_STARTED, role="agent", service=service.name)

    async def close(self) -> None:
        """Send new connections elsewhere, let running requests finish, then end the flows."""
        self._log.write(Event.PROCESS_STOPPING)
        self._policy.draining = True
        if self._flows is not None:
            await self._drain(self._flows)
            self._flows.close()
        await self._follower.close()
        await self._client.close()
        await self._upstream.close()
        self._log.write(Event.PROCESS_STOPPED)

    async def _drain(self, flows: FlowEndpoint) -> None:
        for connection in flows.connections:
            connection.go_away()
        until = asyncio.get_running_loop().time() + DRAIN_LIMIT_S
        while asyncio.get_running_loop().time() < until:
            if not any(connection.open_requests for connection in flows.connections):
                return
            await asyncio.sleep(DRAIN_POLL_S)

    def _service(self) -> Service:
        services = self._view.services
        service = services.services_by_name.get(self._settings.service) if services else None
        if service is None:
            raise UnknownServiceError(service=self._settings.service)
        return service

    def _quic_configuration(self) -> QuicConfiguration:
        configuration = QuicConfiguration(
            is_client=False,
            alpn_protocols=H3_ALPN,
            connection_id_length=CONNECTION_ID_BYTES,
            idle_timeout=IDLE_TIMEOUT_S,
        )
        tls = self._settings.guest_tls
        configuration.load_cert_chain(tls.certificate, tls.private_key)
        return configuration

    def _apply(self, name: str) -> None:
        codec = self._view.token_codec()
        if name == "services" and codec is not None and self._issuer is not None:
            self._issuer.codec = codec
