"""The agent process, which terminates clients' connections beside an upstream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration

from laburnumbridge import admission as adm
from laburnumbridge import placement as plc
from laburnumbridge import requests as req
from laburnumbridge.core import AgentNumber
from laburnumbridge.core import PlanName
from laburnumbridge.core import hash64
from laburnumbridge.routing import CONNECTION_ID_BYTES
from laburnumbridge.runtime.client_connections.connection_id_issuer import ConnectionIdIssuer
from laburnumbridge.runtime.client_connections.flow_endpoint import FlowEndpoint
from laburnumbridge.runtime.client_connections.flow_mover import FlowMover
from laburnumbridge.runtime.client_connections.placement_policy import PlacementPolicy
from laburnumbridge.runtime.client_requests.forwarded_requests import ForwardedRequests
from laburnumbridge.runtime.client_requests.grpc_sibling_calls import GrpcSiblingCalls
from laburnumbridge.runtime.client_requests.pipeline_handler import PipelineHandler
from laburnumbridge.runtime.client_requests.request_recorder import RequestRecorder
from laburnumbridge.runtime.client_requests.request_runner import RequestRunner
from laburnumbridge.runtime.client_requests.upstream_client import HttpUpstreamClient
from laburnumbridge.runtime.client_requests.upstream_monitor import UpstreamMonitor
from laburnumbridge.runtime.control.lease_driver import LeaseDriver
from laburnumbridge.runtime.errors import UnknownServiceError
from laburnumbridge.runtime.process import Process
from laburnumbridge.runtime.process_core import ProcessCore
from laburnumbridge.runtime.published_lists.agent_fleet import AgentFleet
from laburnumbridge.telemetry import Event
from laburnumbridge.telemetry import UpstreamLoad
from laburnumbridge.wire import Encapsulation
from laburnumbridge.wire import Endpoint

if TYPE_CHECKING:
    from laburnumbridge.lists import Identity
    from laburnumbridge.lists import Service
    from laburnumbridge.runtime.client_requests.client_request import ClientRequest
    from laburnumbridge.settings import AgentSettings

# An unresponsive connection must be detected within 10 s. Both ends send a packet at least every
# 3 s, and the timeout restarts with the first packet sent after the last one received.
IDLE_TIMEOUT_S = 6.5
DRAIN_POLL_S = 0.1
DRAIN_LIMIT_S = 30.0


class AgentProcess(Process):
    """Waits for the lists, then accepts connections for its upstream."""

    def __init__(self, *, settings: AgentSettings) -> None:
        self._settings = settings
        self._core = ProcessCore(settings=settings, role="agent")
        self._upstream = HttpUpstreamClient(url=settings.upstream_url)
        self._leases = LeaseDriver(
            own=self._core.process_id, incarnation=self._core.incarnation, link=self._core.link
        )
        self._runner: RequestRunner | None = None
        self._policy: PlacementPolicy | None = None
        self._issuer: ConnectionIdIssuer | None = None
        self._flows: FlowEndpoint | None = None
        self._mover: FlowMover | None = None
        self._fleet: AgentFleet | None = None
        self._recorder: RequestRecorder | None = None
        self._monitor: UpstreamMonitor | None = None

    async def start(self) -> None:
        """Wait for the lists, then accept connections."""
        await self._upstream.start()
        self._recorder = RequestRecorder(
            service=self._settings.service,
            upstream=self._core.process_id,
            metrics=self._core.metrics,
            ring=self._core.ring,
            log=self._core.log,
        )
        self._policy = self._build_policy()
        self._runner = self._build_runner(self._recorder, self._policy)
        self._monitor = self._build_monitor(self._recorder, self._runner, self._policy)
        await self._core.start(forwarded=ForwardedRequests(runner=self._runner))
        service = self._service()
        self._flows = self._build_flows(service, self._runner, self._policy)
        self._core.metrics.attach("packets_dropped", self._flows.dropped)
        self._mover = FlowMover(flows=self._flows)
        self._fleet = AgentFleet(
            core=self._core,
            service=service.name,
            leases=self._leases,
            runner=self._runner,
            policy=self._policy,
            on_leaving=self._start_drain,
        )
        self._fleet.start()
        self._core.read_upstreams = self._read_upstreams
        self._core.view.listen(self._apply_list)
        self._apply_list("plans")
        self._leases.start()
        self._runner.start()
        self._policy.start()
        self._mover.start()
        await self._monitor.start()
        self._flows.start()
        self._core.log.write(Event.PROCESS_STARTED, role="agent", service=service.name)

    async def close(self) -> None:
        """Send new work to siblings, let running requests finish, then close the flows.

        Requests have up to DRAIN_LIMIT_S seconds to finish.
        """
        self._core.log.write(Event.PROCESS_STOPPING)
        self._core.membership.announce_leave()
        self._start_drain()
        if self._mover is not None and self._flows is not None:
            self._mover.move_all()
            await self._finish_requests(self._flows)
            self._flows.close()
            self._mover.close()
        if self._monitor is not None:
            await self._monitor.close()
        if self._fleet is not None:
            self._fleet.close()
        if self._policy is not None:
            self._policy.close()
        if self._runner is not None:
            await self._runner.close()
        self._leases.close()
        await self._core.close()
        await self._upstream.close()

    def _build_monitor(
        self, recorder: RequestRecorder, runner: RequestRunner, policy: PlacementPolicy
    ) -> UpstreamMonitor:
        def on_started() -> None:
            recorder.upstream_changed(is_up=True)
            runner.handle_admission_event(adm.UpstreamStartedCold())
            policy.upstream_started_cold()

        return UpstreamMonitor(
            url=self._settings.upstream_url,
            health_path=self._settings.health_path,
            on_health=lambda is_up: runner.handle_admission_event(adm.HealthReported(is_up=is_up)),
            on_down=lambda: recorder.upstream_changed(is_up=False),
            on_started=on_started,
        )

    def _build_runner(self, recorder: RequestRecorder, policy: PlacementPolicy) -> RequestRunner:
        core = self._core
        now = asyncio.get_running_loop().time()
        own = req.AgentId(core.process_id, core.incarnation)
        settings = adm.AdmissionSettings(
            slots=self._settings.slots, connections=self._settings.connections
        )
        return RequestRunner(
            coordinator=req.RequestCoordinator(own=own, now=now),
            admission=adm.Admission(settings=settings),
            upstream=self._upstream,
            siblings=GrpcSiblingCalls(
                channels=core.channels, find_endpoint=core.view.control_endpoint
            ),
            link=core.link,
            recorder=recorder,
            on_busy_slots=policy.busy_slots_changed,
        )

    def _build_policy(self) -> PlacementPolicy:
        core = self._core
        settings = plc.PlacementSettings(
            connections=self._settings.connections,
            slots=self._settings.slots,
            seed=hash64(core.process_id.encode(), seed=core.incarnation),
        )
        return PlacementPolicy(
            placement=plc.Placement(settings=settings),
            link=core.link,
            request_reconnect=self._request_reconnect,
        )

    def _build_flows(
        self, service: Service, runner: RequestRunner, policy: PlacementPolicy
    ) -> FlowEndpoint:
        core = self._core
        codec = core.view.token_codec()
        assert codec is not None
        self._issuer = ConnectionIdIssuer(
            codec=codec,
            agent_number=AgentNumber(self._settings.number),
            incarnation=core.incarnation,
            service_number=core.view.service_numbers()[service.name],
        )
        recorder = self._recorder
        assert recorder is not None
        recorder.objective_ms = service.objectives.latency_ms
        handler = PipelineHandler(
            service=service.name,
            stream_prefixes=service.streams,
            identify=self._identify,
            is_allowed=self._is_allowed,
            leases=self._leases,
            runner=runner,
            upstream=self._upstream,
            recorder=recorder,
        )
        return FlowEndpoint(
            address=Endpoint.parse(self._settings.address),
            encapsulation=Encapsulation(link_key=bytes.fromhex(self._settings.link_key)),
            issuer=self._issuer,
            quic_configuration=self._quic_configuration(),
            handler=handler,
            policy=policy,
            list_balancers=core.view.balancer_endpoints,
            recorder=recorder,
        )

    def _read_upstreams(self) -> tuple[UpstreamLoad, ...]:
        if self._policy is None or self._runner is None:
            return ()
        snapshot = self._runner.admission_snapshot()
        load = UpstreamLoad(
            upstream=self._core.process_id,
            service=self._settings.service,
            open_flows=self._policy.open_flows,
            busy_slots=snapshot.busy_slots,
            accepting=not snapshot.is_draining,
        )
        return (load,)

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

    def _service(self) -> Service:
        services = self._core.view.services
        service = services.services_by_name.get(self._settings.service) if services else None
        if service is None:
            raise UnknownServiceError(service=self._settings.service)
        return service

    def _identify(self, request: ClientRequest) -> Identity:
        directory = self._core.view.directory
        assert directory is not None
        return directory.find(authorization=request.header("authorization"), source=request.source)

    def _is_allowed(self, plan: PlanName, service: str) -> bool:
        plans = self._core.view.plans
        definition = plans.plans_by_name.get(plan) if plans else None
        return definition is not None and service in definition.services

    def _apply_list(self, name: str) -> None:
        view = self._core.view
        codec = view.token_codec()
        if name == "services" and codec is not None and self._issuer is not None:
            self._issuer.codec = codec
        if name == "plans" and view.plans is not None and self._runner is not None:
            version = view.version_by_name["plans"]
            self._leases.set_plans(version, view.plans)
            shares = {PlanName(plan.name): plan.guaranteed_share for plan in view.plans.plans}
            ceilings = {PlanName(plan.name): plan.ceiling for plan in view.plans.plans}
            changed = adm.PlanSharesChanged(
                guaranteed_share_by_plan=shares, ceiling_by_plan=ceilings, list_version=version
            )
            self._runner.handle_admission_event(changed)

    def _request_reconnect(self, count: int) -> None:
        if self._mover is not None:
            self._mover.move(count)

    def _start_drain(self) -> None:
        if self._policy is None or self._runner is None or self._mover is None:
            return
        self._core.log.write(Event.UPSTREAM_DRAINING, upstream=self._core.process_id)
        self._policy.drain()
        self._runner.handle_admission_event(adm.DrainStarted())
        self._mover.start_drain()

    async def _finish_requests(self, flows: FlowEndpoint) -> None:
        until = asyncio.get_running_loop().time() + DRAIN_LIMIT_S
        while asyncio.get_running_loop().time() < until:
            if not any(connection.open_requests for connection in flows.connections):
                return
            await asyncio.sleep(DRAIN_POLL_S)
