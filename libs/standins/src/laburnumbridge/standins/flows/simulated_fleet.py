"""A whole fleet of forwarding processes on simulated time."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING
from typing import TypedDict

import msgspec

from laburnumbridge.catalog import Route
from laburnumbridge.catalog import RoutingConfiguration
from laburnumbridge.catalog import ServiceShare
from laburnumbridge.catalog import UpstreamEntry
from laburnumbridge.core import Event
from laburnumbridge.core import hash64
from laburnumbridge.forwarding.decision_log import DecisionLog
from laburnumbridge.forwarding.flow_agent import FlowAgent
from laburnumbridge.forwarding.flow_balancer import FlowBalancer
from laburnumbridge.forwarding.forwarding_settings import load_forwarding_settings
from laburnumbridge.standins.flows.client_stand_in import ClientStandIn
from laburnumbridge.standins.flows.platform_stand_in import PlatformStandIn
from laburnumbridge.standins.flows.platform_stand_in import StandInPlatformCodec
from laburnumbridge.standins.flows.simulated_world import SimulatedLoop
from laburnumbridge.standins.flows.simulated_world import SimulatedNetwork
from laburnumbridge.standins.flows.simulated_world import SimulatedWorld
from laburnumbridge.standins.flows.stand_in_packets import StandInPacketCodec
from laburnumbridge.standins.flows.upstream_stand_in import UpstreamStandIn

if TYPE_CHECKING:
    from pathlib import Path

    from laburnumbridge.flows import FlowKey
    from laburnumbridge.forwarding.endpoints import Endpoint
    from laburnumbridge.forwarding.forwarding_process import ForwardingProcess

PACKET_PORT = 8172
PEER_PORT = 7720
READY_PORT = 8167
METRICS_PORT = 9464
CONTROL_PORT = 8166
UPSTREAM_PORT = 8080
OUTPUT_PORT = 8162
PLATFORM: Endpoint = ("10.200.0.1", 8169)
CLIENT: Endpoint = ("100.64.0.1", PACKET_PORT)
SERVICE: Endpoint = ("198.18.0.1", 443)
UNUSED: Endpoint = ("198.18.0.9", 443)
SERVICE_NAME = "desk"


class ListedLog(DecisionLog):
    """Keeps log lines in a list."""

    def __init__(self, *, process: str) -> None:
        super().__init__(process=process)
        self.lines: list[tuple[Event, dict[str, object]]] = []

    def start(self) -> None:
        """Do nothing: no descriptor is written."""

    def write(self, event: Event, *, outcome: str | None = None, **fields: object) -> None:
        """Keep one line."""
        self.lines.append((event, {**fields, "outcome": outcome}))


class _Own(TypedDict):
    loop: SimulatedLoop
    network: SimulatedNetwork


class SimulatedFleet:
    """Balancers, agents with upstreams, a platform, a fabric and a client.

    The fabric hashes flows over ``rotation``, so a change of it sends nearly all flows elsewhere.
    """

    def __init__(
        self,
        *,
        directory: Path,
        balancers: int = 3,
        agents: int = 4,
        slots: int = 4,
        work_s: float = 0.06,
    ) -> None:
        self.world = SimulatedWorld()
        self._directory = directory
        self._slots = slots
        self._work_s = work_s
        self.platform = PlatformStandIn(**self._own(PLATFORM[0]), endpoint=PLATFORM)
        self.platform.start()
        self.balancers = [f"10.1.0.{number}" for number in range(1, balancers + 1)]
        self.agents = [f"10.2.0.{number}" for number in range(1, agents + 1)]
        self.rotation = list(self.balancers)
        self.process_by_address: dict[str, ForwardingProcess] = {}
        self.log_by_address: dict[str, ListedLog] = {}
        self.upstream_by_address: dict[str, UpstreamStandIn] = {}
        self._starts = 0
        self.client = ClientStandIn(**self._own(CLIENT[0]), endpoint=CLIENT, fabric=self._route)

    def start(self) -> None:
        """Start everything and wait until the view is everywhere."""
        self.configure(version=1)
        self.client.start()
        for address in self.agents:
            self.start_upstream(address)
        for address in (*self.balancers, *self.agents):
            self.start_process(address)
        self.world.run_for(2.0)

    def configure(self, *, version: int, endpoints: tuple[Endpoint, ...] = (SERVICE,)) -> None:
        """Publish routes from ``endpoints`` to the service."""
        shares = (ServiceShare(service=SERVICE_NAME, weight=1),)
        self.platform.configure(
            RoutingConfiguration(
                version=version,
                routes=tuple(
                    Route(
                        name=f"r-{address}-{port}",
                        address=address,
                        port=port,
                        shares=shares,
                        is_retryable=False,
                        is_download=False,
                    )
                    for address, port in endpoints
                ),
                idle_timeout_ms=15_000,
            )
        )

    def entry(self, address: str, *, is_draining: bool = False) -> UpstreamEntry:
        """Return the entry of the upstream at ``address``."""
        return UpstreamEntry(
            name=f"up-{address}",
            service=SERVICE_NAME,
            address=address,
            port=UPSTREAM_PORT,
            failure_domain="north",
            slots=self._slots,
            is_draining=is_draining,
            warm_up_left_ms=0,
            started_ms=1,
            revision=0,
        )

    def start_upstream(self, address: str) -> None:
        """Start the upstream at ``address`` and list it."""
        self._starts += 1
        upstream = UpstreamStandIn(
            **self._own(address),
            endpoint=(address, UPSTREAM_PORT),
            output=(address, OUTPUT_PORT),
            slots=self._slots,
            work_s=self._work_s,
            seed=self._starts,
        )
        upstream.start()
        self.upstream_by_address[address] = upstream
        self.platform.put(self.entry(address))

    def start_process(self, address: str) -> None:
        """Start the balancer or agent at ``address``."""
        is_agent = address in self.agents
        path = self._directory / f"{address}.json"
        path.write_bytes(msgspec.json.encode(self._settings(address, is_agent=is_agent)))
        loop = SimulatedLoop(world=self.world, address=address)
        log = ListedLog(process=address)
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

    def start_balancer(self, address: str) -> str:
        """Add a balancer to the fleet, outside the rotation, and return its address."""
        self.balancers.append(address)
        self.start_process(address)
        return address

    def kill(self, address: str) -> None:
        """End the process at ``address`` as SIGKILL does."""
        self.process_by_address[address].close()

    def terminate(self, address: str) -> None:
        """Send SIGTERM."""
        self._loop(address).signal(signal.SIGTERM)

    def is_running(self, address: str) -> bool:
        """Return whether the process at ``address`` has not ended."""
        return self._loop(address).is_alive

    def freeze(self, address: str, seconds: float) -> None:
        """Let the process at ``address`` stand still."""
        self._loop(address).frozen_until = self.world.now + seconds

    def lines(self, event: Event, outcome: str | None = None) -> list[dict[str, object]]:
        """Return the fields of all log lines of an event."""
        return [
            fields
            for log in self.log_by_address.values()
            for logged, fields in log.lines
            if logged is event and (outcome is None or fields["outcome"] == outcome)
        ]

    def holder(self, flow: FlowKey) -> str:
        """Return the address of the upstream that took the flow's opening packet last."""
        holders = [
            address
            for address, upstream in self.upstream_by_address.items()
            if flow in upstream.openings
        ]
        return holders[-1]

    def _own(self, address: str) -> _Own:
        """Return the loop and the network of a stand-in at ``address``."""
        loop = SimulatedLoop(world=self.world, address=address)
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
        settings: dict[str, object] = {
            "process": f"vm-{address}",
            "failure_domain": "north",
            "address": address,
            "packet_endpoint": f"{address}:{PACKET_PORT}",
            "peer_port": PEER_PORT,
            "ready_endpoint": f"{address}:{READY_PORT}",
            "metrics_port": METRICS_PORT,
            "platform_endpoint": f"{PLATFORM[0]}:{PLATFORM[1]}",
            "seeds": [f"{seed}:{CONTROL_PORT}" for seed in self.balancers[:3]],
            "flow_max_age_s": 60,
            "stop_grace_s": 6,
        }
        if is_agent:
            settings["upstream"] = {
                "service": SERVICE_NAME,
                "endpoint": f"{address}:{UPSTREAM_PORT}",
                "output_endpoint": f"{address}:{OUTPUT_PORT}",
            }
        else:
            settings["control_endpoint"] = f"{address}:{CONTROL_PORT}"
        return settings
