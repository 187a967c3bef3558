"""Common parts of all processes: lists, membership, control messages and gRPC."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import TYPE_CHECKING

from laburnumbridge.core import Incarnation
from laburnumbridge.core import ProcessId
from laburnumbridge.core import hash64
from laburnumbridge.membership import MemberState
from laburnumbridge.runtime.control.control_link import DatagramControlLink
from laburnumbridge.runtime.control.control_server import ControlServer
from laburnumbridge.runtime.control.control_server import ControlServicer
from laburnumbridge.runtime.control.membership_driver import MembershipDriver
from laburnumbridge.runtime.published_lists.configuration_driver import ConfigurationDriver
from laburnumbridge.runtime.published_lists.fleet_view import FleetView
from laburnumbridge.runtime.published_lists.platform_client import PlatformClient
from laburnumbridge.runtime.telemetry_service import TelemetryService
from laburnumbridge.telemetry import Decision
from laburnumbridge.telemetry import DecisionRing
from laburnumbridge.telemetry import Event
from laburnumbridge.telemetry import EventLog
from laburnumbridge.telemetry import ListInForce
from laburnumbridge.telemetry import MembershipSummary
from laburnumbridge.telemetry import MetricRegistry
from laburnumbridge.telemetry import MetricsEndpoint
from laburnumbridge.telemetry import ProcessFacts
from laburnumbridge.telemetry import SubjectKind
from laburnumbridge.wire import ChannelPool
from laburnumbridge.wire import Endpoint
from laburnumbridge.wire import FileCertificateSource
from laburnumbridge.wire import SealingKey
from laburnumbridge.wire import ServerCertificates

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.runtime.client_requests.forwarded_requests import ForwardedRequests
    from laburnumbridge.settings import ProcessSettings
    from laburnumbridge.telemetry import UpstreamLoad

RELOAD_INTERVAL_S = 10.0

_USABLE_STATES = frozenset({MemberState.LIVE, MemberState.LEAVING, MemberState.SUSPECT})


class ProcessCore:
    """Builds and owns the control plane of one process."""

    def __init__(self, *, settings: ProcessSettings, role: str) -> None:
        self.settings = settings
        self._role = role
        self.process_id = ProcessId(settings.name)
        self.incarnation = Incarnation(int(time.time()))
        self.log = EventLog(process=settings.name, level=settings.log_level)
        self.metrics = MetricRegistry()
        self.ring = DecisionRing()
        self.view = FleetView()
        self._client = PlatformClient(url=settings.platform_url)
        self._certificates = FileCertificateSource(
            authorities=settings.control_tls.authority,
            chain=settings.control_tls.certificate,
            private_key=settings.control_tls.private_key,
        )
        self.channels = ChannelPool(source=self._certificates)
        self.link = DatagramControlLink(
            own=self.process_id,
            incarnation=self.incarnation,
            address=Endpoint.parse(settings.control_address),
            keys=[
                SealingKey(key.number, bytes.fromhex(key.secret), current=key.current)
                for key in settings.control_keys
            ],
            find_endpoint=self.view.control_endpoint,
        )
        self.membership = MembershipDriver(
            own=self.process_id,
            incarnation=self.incarnation,
            link=self.link,
            log=self.log,
            ring=self.ring,
            wall_clock=time.time,
        )
        self.configuration = ConfigurationDriver(
            own=self.process_id,
            incarnation=self.incarnation,
            failure_domain=settings.failure_domain,
            expected_processes=settings.expected_processes,
            client=self._client,
            view=self.view,
            link=self.link,
            channels=self.channels,
            log=self.log,
        )
        self.metrics.attach("control_dropped", self.link.dropped)
        self.telemetry = TelemetryService(
            registry=self.metrics, ring=self.ring, read_facts=self._read_facts
        )
        self.read_upstreams: Callable[[], tuple[UpstreamLoad, ...]] = tuple
        self._started_at = time.time()
        self._endpoint: MetricsEndpoint | None = None
        self._server: ControlServer | None = None
        self._reloading: asyncio.Task[None] | None = None
        self.view.listen(self._on_list)
        self.membership.listen(self._on_members)

    async def start(self, *, forwarded: ForwardedRequests | None = None) -> None:
        """Start the control plane and wait until every list is in force."""
        await self._client.start()
        self.link.start()
        self._server = ControlServer(
            address=Endpoint.parse(self.settings.control_address),
            certificates=ServerCertificates(source=self._certificates),
            servicer=ControlServicer(
                configuration=self.configuration,
                forwarded=forwarded,
                telemetry=self.telemetry,
            ),
        )
        await self._server.start()
        await self._start_metrics()
        self._reloading = asyncio.create_task(self._reload_certificates())
        self.membership.start()
        await self.configuration.start()

    async def close(self) -> None:
        """Stop the control plane and release its addresses."""
        await self.configuration.close()
        self.membership.close()
        if self._server is not None:
            await self._server.close()
        self.link.close()
        if self._reloading is not None:
            self._reloading.cancel()
            await asyncio.gather(self._reloading, return_exceptions=True)
        if self._endpoint is not None:
            await self._endpoint.close()
        await self.channels.close()
        await self._client.close()
        self.log.write(Event.PROCESS_STOPPED)

    async def _reload_certificates(self) -> None:
        """Reload the certificate files periodically, so that new ones need no restart."""
        while True:
            await asyncio.sleep(RELOAD_INTERVAL_S)
            await self.channels.reload()

    async def _start_metrics(self) -> None:
        if self.settings.metrics_address is None:
            return
        address = Endpoint.parse(self.settings.metrics_address)
        self._endpoint = MetricsEndpoint(
            registry=self.metrics, host=address.host, port=address.port
        )
        await self._endpoint.start()

    def _read_facts(self) -> ProcessFacts:
        view = self.membership.view
        states = {str(m.process_id): view.state(m.process_id).value for m in view.members()}
        listed = "\n".join(f"{name}={state}" for name, state in sorted(states.items()))
        return ProcessFacts(
            name=self.settings.name,
            role=self._role,
            region=self.settings.region,
            failure_domain=self.settings.failure_domain,
            started_at=self._started_at,
            lists=tuple(
                ListInForce(name=name, version=version, digest=self.view.digest_by_name[name])
                for name, version in self.view.version_by_name.items()
            ),
            membership=MembershipSummary(
                digest=f"{hash64(listed.encode()):016x}",
                count_by_state=dict(Counter(states.values())),
            ),
            upstreams=self.read_upstreams(),
        )

    def _on_list(self, name: str) -> None:
        self.ring.record(
            Decision(
                at=time.time(),
                event=Event.LIST_IN_FORCE,
                cause="a higher version was read or relayed",
                subjects={SubjectKind.LIST_VERSION: f"{name}@{self.view.version_by_name[name]}"},
                important=True,
            )
        )
        if name == "vms":
            self.membership.set_list(self.view.version_by_name["vms"], self.view.vms)

    def _on_members(self) -> None:
        view = self.membership.view
        usable = [
            (member.process_id, member.failure_domain)
            for member in view.members()
            if view.state(member.process_id) in _USABLE_STATES
        ]
        self.configuration.set_members(usable)
