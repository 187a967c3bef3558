"""A fleet of forwarding processes on simulated time."""

from __future__ import annotations

import signal
from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import TypedDict

import msgspec

from laburnumbridge.core import Event
from laburnumbridge.core import hash64
from laburnumbridge.forwarding.decision_log import DecisionLog
from laburnumbridge.forwarding.flow_agent import FlowAgent
from laburnumbridge.forwarding.flow_balancer import FlowBalancer
from laburnumbridge.forwarding.forwarding_settings import load_forwarding_settings
from laburnumbridge.standins.flows.client_stand_in import ClientStandIn
from laburnumbridge.standins.flows.platform_data import NO_PRIORITIES
from laburnumbridge.standins.flows.platform_data import NO_WEIGHTS
from laburnumbridge.standins.flows.platform_data import SERVICES
from laburnumbridge.standins.flows.platform_data import entry_name
from laburnumbridge.standins.flows.platform_data import make_configuration
from laburnumbridge.standins.flows.platform_data import make_entry
from laburnumbridge.standins.flows.platform_stand_in import PlatformStandIn
from laburnumbridge.standins.flows.platform_stand_in import StandInPlatformCodec
from laburnumbridge.standins.flows.process_settings import CONTROL_PORT
from laburnumbridge.standins.flows.process_settings import OUTPUT_PORT
from laburnumbridge.standins.flows.process_settings import PACKET_PORT
from laburnumbridge.standins.flows.process_settings import SERVICE
from laburnumbridge.standins.flows.process_settings import UPSTREAM_PORT
from laburnumbridge.standins.flows.process_settings import process_settings
from laburnumbridge.standins.flows.simulation import SimulatedLoop
from laburnumbridge.standins.flows.simulation import SimulatedNetwork
from laburnumbridge.standins.flows.simulation import Simulation
from laburnumbridge.standins.flows.stand_in_packets import StandInPacketCodec
from laburnumbridge.standins.flows.upstream_stand_in import UpstreamStandIn

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence
    from pathlib import Path

    from laburnumbridge.catalog import UpstreamEntry
    from laburnumbridge.flows import FlowKey
    from laburnumbridge.forwarding.endpoints import Endpoint
    from laburnumbridge.forwarding.forwarding_process import ForwardingProcess
    from laburnumbridge.standins.flows.client_stand_in import ClientFlow

PLATFORM: Endpoint = ("10.200.0.1", 8169)
CLIENT: Endpoint = ("100.64.0.1", PACKET_PORT)


class InMemoryDecisionLog(DecisionLog):
    """Appends the events and fields of log lines to ``lines``."""

    def __init__(self, *, process: str) -> None:
        super().__init__(process=process)
        self.lines: list[tuple[Event, dict[str, object]]] = []

    def start(self) -> None:
        """Do nothing: no file descriptor is written."""

    def write(self, event: Event, *, outcome: str | None = None, **fields: object) -> None:
        """Append one line."""
        self.lines.append((event, {**fields, "outcome": outcome}))


class _LoopAndNetwork(TypedDict):
    loop: SimulatedLoop
    network: SimulatedNetwork


class SimulatedFleet:
    """Balancers, agents with upstreams, a platform, a fabric and a client.

    The fabric selects the balancer of a flow by its hash modulo the length of ``rotation``, so a
    change of it moves nearly all flows to other balancers. ``second_service_agents`` are the agents
    beside upstreams of the second one of ``services``; the first configuration has no route to it.
    Processes and upstreams are spread over ``failure_domains`` in turn. ``extra_settings`` are
    added to the settings of each process.
    """

    def __init__(
        self,
        *,
        directory: Path,
        balancers: int = 3,
        agents: int = 4,
        second_service_agents: int = 0,
        services: tuple[str, str] = SERVICES,
        slots: int = 4,
        work_s: float = 0.06,
        failure_domains: Sequence[str] = ("north",),
        extra_settings: Mapping[str, object] = MappingProxyType({}),
    ) -> None:
        self.simulation = Simulation()
        self._directory = directory
        self.services = services
        self._slots = slots
        self._work_s = work_s
        self._failure_domains = failure_domains
        self._extra_settings = extra_settings
        self.platform = PlatformStandIn(
            **self._make_loop_and_network(PLATFORM[0]), endpoint=PLATFORM
        )
        self.platform.start()
        self.balancers = [f"10.1.0.{number}" for number in range(1, balancers + 1)]
        self.agents = [f"10.2.{number >> 8}.{number & 255}" for number in range(1, agents + 1)]
        self.second_service_agents = [
            f"10.3.0.{number}" for number in range(1, second_service_agents + 1)
        ]
        self.agents += self.second_service_agents
        self.rotation = list(self.balancers)
        self.process_by_address: dict[str, ForwardingProcess] = {}
        self.log_by_address: dict[str, InMemoryDecisionLog] = {}
        self.upstream_by_address: dict[str, UpstreamStandIn] = {}
        self._upstream_starts = 0
        self.client = ClientStandIn(
            **self._make_loop_and_network(CLIENT[0]), endpoint=CLIENT, fabric=self._route
        )

    def start(self, *, services: tuple[str, ...] | None = None) -> None:
        """Start everything and run for two simulated seconds, until all have the view.

        ``services`` are those of the first configuration, as in ``configure``.
        """
        self.configure(version=1, services=services)
        self.client.start()
        for address in self.agents:
            self.start_upstream(address)
        for address in (*self.balancers, *self.agents):
            self.start_process(address)
        self.simulation.run_for(2.0)

    def configure(
        self,
        *,
        version: int,
        endpoints: tuple[Endpoint, ...] = (SERVICE,),
        timeout_ms: int = 0,
        weight_by_service: Mapping[str, int] | None = None,
        services: tuple[str, ...] | None = None,
        target_latency_ms: int = 0,
        priority_by_endpoint: Mapping[Endpoint, int] = NO_PRIORITIES,
        weights_by_endpoint: Mapping[Endpoint, Mapping[str, int]] = NO_WEIGHTS,
        warm_up_s: float = 0.0,
        openings_per_s: float = 0.2,
    ) -> None:
        """Publish a configuration with routes from ``endpoints``.

        Without ``weight_by_service`` they lead to the first one of the fleet's services, all of
        which are configured without ``services``.
        """
        self.platform.configure(
            make_configuration(
                version,
                endpoints,
                timeout_ms=timeout_ms,
                weight_by_service=weight_by_service or {self.services[0]: 1},
                services=self.services if services is None else services,
                target_latency_ms=target_latency_ms,
                priority_by_endpoint=priority_by_endpoint,
                weights_by_endpoint=weights_by_endpoint,
                warm_up_s=warm_up_s,
                openings_per_s=openings_per_s,
            )
        )

    def entry(self, address: str, *, is_draining: bool = False) -> UpstreamEntry:
        """Return the entry of the upstream at ``address``."""
        return make_entry(
            address,
            slots=self._slots,
            is_draining=is_draining,
            service=self._service(address),
            failure_domain=self.failure_domain(address),
        )

    def failure_domain(self, address: str) -> str:
        """Return the failure domain of the process and the upstream at ``address``."""
        number = int(address.rpartition(".")[2]) - 1
        return self._failure_domains[number % len(self._failure_domains)]

    def start_upstream(self, address: str) -> None:
        """Start the upstream at ``address`` and register it."""
        self._upstream_starts += 1
        upstream = UpstreamStandIn(
            **self._make_loop_and_network(address),
            endpoint=(address, UPSTREAM_PORT),
            output=(address, OUTPUT_PORT),
            slots=self._slots,
            work_s=self._work_s,
            seed=self._upstream_starts,
        )
        upstream.start()
        self.upstream_by_address[address] = upstream
        self.platform.put(self.entry(address))

    def start_process(self, address: str) -> None:
        """Start the balancer or agent at ``address``."""
        is_agent = address in self.agents
        path = self._directory / f"{address}.json"
        path.write_bytes(msgspec.json.encode(self._settings(address, is_agent=is_agent)))
        loop = SimulatedLoop(simulation=self.simulation, address=address)
        log = InMemoryDecisionLog(process=address)
        process_type: type[ForwardingProcess] = FlowAgent if is_agent else FlowBalancer
        process = process_type(
            settings=load_forwarding_settings(path),
            settings_path=path,
            packet_codec=StandInPacketCodec(),
            platform_codec=StandInPlatformCodec(),
            loop=loop,
            network=SimulatedNetwork(loop=loop),
            log=log,
        )
        loop.on_stop = process.close
        process.start()
        self.process_by_address[address] = process
        self.log_by_address[address] = log

    def deregister_upstream(self, address: str) -> None:
        """Remove the entry of the upstream at ``address``."""
        self.platform.remove(entry_name(address))

    def remove_vm(self, address: str) -> None:
        """End the agent and the upstream at ``address`` and deregister the upstream."""
        self.kill(address)
        self.upstream_by_address[address].crash()
        self.deregister_upstream(address)

    def open_served_flow(self, *, settle_s: float) -> ClientFlow:
        """Open a flow, send the request ``first`` and run for ``settle_s`` of simulated time."""
        flow = self.client.open_flow(SERVICE)
        flow.request(b"first")
        self.simulation.run_for(settle_s)
        return flow

    def start_balancer(self, address: str) -> str:
        """Add a balancer to the fleet, outside the rotation, and return its address."""
        self.balancers.append(address)
        self.start_process(address)
        return address

    def kill(self, address: str) -> None:
        """End the process at ``address`` as SIGKILL does."""
        self.process_by_address[address].close()

    def terminate(self, address: str) -> None:
        """Send SIGTERM to the process at ``address``."""
        self._loop(address).signal(signal.SIGTERM)

    def is_running(self, address: str) -> bool:
        """Return whether the process at ``address`` has not ended."""
        return self._loop(address).is_alive

    def pause(self, address: str, seconds: float) -> None:
        """Pause the process at ``address`` for ``seconds`` of simulated time."""
        self._loop(address).paused_until = self.simulation.now + seconds

    def lines(self, event: Event, outcome: str | None = None) -> list[dict[str, object]]:
        """Return the fields of the log lines of ``event``, only those with ``outcome`` if given."""
        return [
            fields
            for log in self.log_by_address.values()
            for logged, fields in log.lines
            if logged is event and (outcome is None or fields["outcome"] == outcome)
        ]

    def holder(self, flow: FlowKey) -> str:
        """Return the address of the upstream that accepted the flow's opening packet.

        Of several it is the one that is last in ``upstream_by_address``.
        """
        addresses = [
            address
            for address, upstream in self.upstream_by_address.items()
            if flow in upstream.openings
        ]
        return addresses[-1]

    def _make_loop_and_network(self, address: str) -> _LoopAndNetwork:
        """Return a new loop and network for a stand-in at ``address``."""
        loop = SimulatedLoop(simulation=self.simulation, address=address)
        return {"loop": loop, "network": SimulatedNetwork(loop=loop)}

    def _loop(self, address: str) -> SimulatedLoop:
        loop = self.process_by_address[address].loop
        assert isinstance(loop, SimulatedLoop)
        return loop

    def _route(self, flow: FlowKey) -> Endpoint | None:
        if not self.rotation:
            return None
        return self.rotation[hash64(flow) % len(self.rotation)], PACKET_PORT

    def _settings(self, address: str, *, is_agent: bool) -> dict[str, object]:
        settings = process_settings(
            address,
            platform=PLATFORM,
            seeds=[f"{seed}:{CONTROL_PORT}" for seed in self.balancers[:3]],
            is_agent=is_agent,
            service=self._service(address),
            failure_domain=self.failure_domain(address),
        )
        return settings | dict(self._extra_settings)

    def _service(self, address: str) -> str:
        return self.services[address in self.second_service_agents]
