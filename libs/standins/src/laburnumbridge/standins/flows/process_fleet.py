"""Forwarding processes on loopback addresses, and stand-ins in the event loop of the caller."""

from __future__ import annotations

import subprocess
import sys
from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from laburnumbridge.core import hash64
from laburnumbridge.forwarding.socket_network import SocketNetwork
from laburnumbridge.standins.end_with_parent import end_with_parent
from laburnumbridge.standins.flows.client_stand_in import ClientStandIn
from laburnumbridge.standins.flows.fault_proxy import FaultProxy
from laburnumbridge.standins.flows.platform_data import SERVICES
from laburnumbridge.standins.flows.platform_data import entry_name
from laburnumbridge.standins.flows.platform_data import make_configuration
from laburnumbridge.standins.flows.platform_data import make_entry
from laburnumbridge.standins.flows.platform_stand_in import PlatformStandIn
from laburnumbridge.standins.flows.process_settings import CONTROL_PORT
from laburnumbridge.standins.flows.process_settings import OUTPUT_PORT
from laburnumbridge.standins.flows.process_settings import PACKET_PORT
from laburnumbridge.standins.flows.process_settings import READY_PORT
from laburnumbridge.standins.flows.process_settings import SECOND_SERVICE_NAME
from laburnumbridge.standins.flows.process_settings import SERVICE
from laburnumbridge.standins.flows.process_settings import SERVICE_NAME
from laburnumbridge.standins.flows.process_settings import UPSTREAM_PORT
from laburnumbridge.standins.flows.process_settings import process_settings
from laburnumbridge.standins.flows.readiness_checks import ReadinessChecks
from laburnumbridge.standins.flows.upstream_stand_in import UpstreamStandIn
from laburnumbridge.standins.loopback_network import LoopbackNetwork

if TYPE_CHECKING:
    import signal
    from pathlib import Path

    from laburnumbridge.flows import FlowKey
    from laburnumbridge.forwarding.endpoints import Endpoint
    from laburnumbridge.forwarding.event_loop import EventLoop

SEED_COUNT = 3
PLATFORM_PORT = 8169
FIRST_PROXY_PORT = 9_000
SECOND_SERVICE_AGENTS = 2
SLOTS = 4
WORK_S = 0.02
FAILURE_DOMAINS = ("north", "south")


class ProcessFleet:
    """Starts, signals and ends the processes; the caller runs the loop.

    Each process connects to the platform and the seeds through its own fault proxies.
    ``all_upstreams`` lists every upstream in the order of starts, also those that have crashed.
    The last ``SECOND_SERVICE_AGENTS`` agents are beside upstreams of the second service. Processes
    and upstreams are spread over ``FAILURE_DOMAINS`` in turn.
    """

    def __init__(
        self, *, loop: EventLoop, directory: Path, balancers: int, agents: int, seed: int
    ) -> None:
        self.loop = loop
        self.network = SocketNetwork(loop=loop)
        self._directory = directory
        self._seed = seed
        # Claimed here because the stand-ins need their addresses on construction; ``close``
        # releases it.
        self._loopback = LoopbackNetwork(ports=(PLATFORM_PORT,))
        self._loopback.start()
        prefix = self._loopback.prefix
        self._platform_endpoint = (f"{prefix}.0.1", PLATFORM_PORT)
        self.balancers = [f"{prefix}.1.{number}" for number in range(1, balancers + 1)]
        self.agents = [f"{prefix}.2.{number}" for number in range(1, agents + 1)]
        self._proxy_host = f"{prefix}.3.1"
        self.platform = PlatformStandIn(
            loop=loop, network=self.network, endpoint=self._platform_endpoint
        )
        self.client = ClientStandIn(
            loop=loop,
            network=self.network,
            endpoint=(f"{prefix}.4.1", PACKET_PORT),
            fabric=self._route,
        )
        self._readiness_checks = ReadinessChecks(
            loop=loop,
            network=self.network,
            endpoints=[(address, READY_PORT) for address in self.balancers],
        )
        self.proxies_by_address: dict[str, list[FaultProxy]] = {}
        self.upstream_by_address: dict[str, UpstreamStandIn] = {}
        self.all_upstreams: list[UpstreamStandIn] = []
        self._process_by_address: dict[str, subprocess.Popen[bytes]] = {}
        self._starts_by_address: Counter[str] = Counter()
        self.version = 1
        self._routed_service = SERVICE_NAME
        self._dropped_services: set[str] = set()
        self._evacuated_domains: set[str] = set()

    def start(self) -> None:
        """Start everything without waiting; the caller waits for ``ready_balancers``."""
        self.platform.start()
        self.client.start()
        self._publish_configuration()
        for address in self.agents:
            self.start_upstream(address)
        for address in (*self.balancers, *self.agents):
            self._start_proxies(address)
            self.write_settings(address)
            self.start_process(address)
        self._readiness_checks.start()

    def close(self) -> None:
        """End every process that this fleet started."""
        for process in self._process_by_address.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self._readiness_checks.close()
        for proxies in self.proxies_by_address.values():
            for proxy in proxies:
                proxy.close()
        for upstream in self.upstream_by_address.values():
            if upstream.is_running:
                upstream.crash()
        self.client.close()
        self.platform.close()
        self._loopback.close()

    @property
    def ready_balancers(self) -> int:
        """Number of balancers that pass the readiness checks."""
        return len(self._readiness_checks.ready)

    def configure(self) -> None:
        """Publish the next version of the configuration, with one more route."""
        self.version += 1
        self._publish_configuration()

    def move_route(self) -> None:
        """Move the routes to the other service; open flows stay where they are."""
        is_first = self._routed_service == SERVICE_NAME
        self._routed_service = SECOND_SERVICE_NAME if is_first else SERVICE_NAME
        self._dropped_services.discard(self._routed_service)
        self.configure()

    def drop_service(self) -> None:
        """Move the routes to the other service and leave the one before out of the configuration.

        Its upstreams stay registered.
        """
        self._dropped_services = {self._routed_service}
        self.move_route()

    def configure_all_services(self) -> None:
        """Configure all services again."""
        self._dropped_services.clear()
        self.configure()

    def republish(self) -> None:
        """Write again what the operator and the running upstreams have written."""
        self._publish_configuration()
        for domain in FAILURE_DOMAINS:
            self.platform.evacuate(domain, is_evacuated=domain in self._evacuated_domains)
        for address, upstream in self.upstream_by_address.items():
            if upstream.is_running:
                self.register_upstream(address, is_draining=not upstream.accepts)

    def expire_entries(self) -> None:
        """Remove the entries of upstreams that don't run."""
        for address, upstream in self.upstream_by_address.items():
            if not upstream.is_running and entry_name(address) in self.platform.entry_by_name:
                self.deregister_upstream(address)

    def _publish_configuration(self) -> None:
        endpoints = (SERVICE, ("198.18.0.2", 1_000 + self.version))
        weight_by_service = {self._routed_service: 1}
        services = tuple(name for name in SERVICES if name not in self._dropped_services)
        self.platform.configure(
            make_configuration(
                self.version, endpoints, weight_by_service=weight_by_service, services=services
            )
        )

    def evacuate(self, domain: str) -> None:
        """Write the item that evacuates a failure domain."""
        self._evacuated_domains.add(domain)
        self.platform.evacuate(domain)

    def take_back(self, domain: str) -> None:
        """Remove the item of a failure domain."""
        self._evacuated_domains.discard(domain)
        self.platform.evacuate(domain, is_evacuated=False)

    def failure_domain(self, address: str) -> str:
        """Return the failure domain of the process and the upstream at ``address``."""
        number = int(address.rpartition(".")[2]) - 1
        return FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]

    def service(self, address: str) -> str:
        """Return the service of the upstream at ``address``."""
        is_second = address in self.agents[-SECOND_SERVICE_AGENTS:]
        return SECOND_SERVICE_NAME if is_second else SERVICE_NAME

    def start_upstream(self, address: str) -> None:
        """Start a new upstream at ``address`` and register it."""
        upstream = UpstreamStandIn(
            loop=self.loop,
            network=self.network,
            endpoint=(address, UPSTREAM_PORT),
            output=(address, OUTPUT_PORT),
            slots=SLOTS,
            work_s=WORK_S,
            seed=self._seed * 1_000 + len(self.all_upstreams),
        )
        upstream.start()
        self.upstream_by_address[address] = upstream
        self.all_upstreams.append(upstream)
        self.register_upstream(address)

    def register_upstream(self, address: str, *, is_draining: bool = False) -> None:
        """Write the entry of the upstream at ``address``."""
        # The ordinal number of the start replaces its time.
        started_ms = 1 + self.all_upstreams.index(self.upstream_by_address[address])
        entry = make_entry(
            address,
            slots=SLOTS,
            is_draining=is_draining,
            started_ms=started_ms,
            service=self.service(address),
            failure_domain=self.failure_domain(address),
        )
        self.platform.put(entry)

    def deregister_upstream(self, address: str) -> None:
        """Remove the entry of the upstream at ``address``."""
        self.platform.remove(entry_name(address))

    def write_settings(self, address: str) -> None:
        """Write the settings file of a process; a rewrite rotates the order of the seeds."""
        path = self._settings_path(address)
        proxies = self.proxies_by_address[address]
        seeds = []
        for seed, proxy in zip(self.balancers[:SEED_COUNT], proxies[1:], strict=True):
            host, port = (seed, CONTROL_PORT) if seed == address else proxy.endpoint
            seeds.append(f"{host}:{port}")
        is_agent = address in self.agents
        if path.exists():
            previous_seeds = msgspec.json.decode(path.read_bytes())["seeds"]
            seeds = [*previous_seeds[1:], previous_seeds[0]]
        settings = process_settings(
            address,
            platform=proxies[0].endpoint,
            seeds=seeds,
            is_agent=is_agent,
            service=self.service(address),
            failure_domain=self.failure_domain(address),
        )
        path.write_bytes(msgspec.json.encode(settings))

    def start_process(self, address: str) -> None:
        """Start the balancer or agent at ``address``."""
        self._starts_by_address[address] += 1
        role = "agent" if address in self.agents else "balancer"
        module = "laburnumbridge.standins.flows.run_forwarding"
        with self.log_path(address).open("ab") as log:
            self._process_by_address[address] = subprocess.Popen(
                [sys.executable, "-m", module, role, str(self._settings_path(address))],
                stdout=log,
                stderr=log,
                preexec_fn=end_with_parent,
            )

    def signal(self, address: str, number: signal.Signals) -> None:
        """Send a signal to the process at ``address`` if it is running."""
        process = self._process_by_address[address]
        if process.poll() is None:
            process.send_signal(number)

    def exit_code(self, address: str) -> int | None:
        """Return the exit code of the process at ``address``, or None while it is running."""
        return self._process_by_address[address].poll()

    def has_started(self, address: str) -> bool:
        """Return whether the latest process at ``address`` has logged its start."""
        logged = self.log_path(address).read_bytes().count(b'"process_started"')
        return logged == self._starts_by_address[address]

    def log_path(self, address: str) -> Path:
        """Return the path of the log of the processes at ``address``."""
        return self._directory / f"{address}.log"

    def _settings_path(self, address: str) -> Path:
        return self._directory / f"{address}.json"

    def _start_proxies(self, address: str) -> None:
        targets = [
            self._platform_endpoint,
            *((seed, CONTROL_PORT) for seed in self.balancers[:SEED_COUNT]),
        ]
        first_port = FIRST_PROXY_PORT + len(self.proxies_by_address) * len(targets)
        proxies = [
            FaultProxy(
                loop=self.loop,
                network=self.network,
                endpoint=(self._proxy_host, first_port + number),
                target=target,
            )
            for number, target in enumerate(targets)
        ]
        for proxy in proxies:
            proxy.start()
        self.proxies_by_address[address] = proxies

    def _route(self, flow: FlowKey) -> Endpoint | None:
        rotation = sorted(self._readiness_checks.ready)
        if 2 * len(rotation) < len(self.balancers):
            rotation = self.balancers
        return rotation[hash64(flow) % len(rotation)], PACKET_PORT
