"""Starts the processes of a demonstration or a failure test on loopback addresses."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import aiohttp

from laburnumbridge.standins.certificates import CertificateAuthority
from laburnumbridge.standins.end_with_parent import end_with_parent
from laburnumbridge.standins.errors import ProcessNotReadyError
from laburnumbridge.standins.loopback_network import LoopbackNetwork
from laburnumbridge.wire import Endpoint

if TYPE_CHECKING:
    from pathlib import Path

CONTROL_KEY = "5a" * 32
CONTROL_NAME = "laburnumbridge"
LINK_KEY = "00112233445566778899aabbccddeeff"
ROUTING_KEY = "0f1e2d3c4b5a69788796a5b4c3d2e1f0"
DATAGRAM_PORT = 4700
CONTROL_PORT = 4701
SERVICE_PORT = 4433
HTTP_PORT = 8080
READY_TIMEOUT_S = 30.0
SERVER_NAME = "service.example"

_POLL_S = 0.05


@dataclass(frozen=True, kw_only=True, slots=True)
class ServicePlan:
    """How many upstreams a service has and what each can take."""

    name: str
    upstreams: int
    slots: int = 4
    connections: int = 2000


@dataclass(kw_only=True, slots=True)
class Machine:
    """A VM of the harness: an address and the processes on it."""

    name: str
    host: str
    failure_domain: str
    role: str
    service: str | None = None
    number: int | None = None
    state: str = "live"
    processes: list[subprocess.Popen[bytes]] = field(default_factory=list)


DEFAULT_SERVICES = (
    ServicePlan(name="workshop-desk", upstreams=7),
    ServicePlan(name="certificate-store", upstreams=4),
)
FAILURE_DOMAINS = ("welshpool", "osborne", "midland", "fremantle")


class Harness:
    """Owns the processes that it starts; ``close`` ends exactly those."""

    def __init__(
        self,
        *,
        folder: Path,
        services: tuple[ServicePlan, ...] = DEFAULT_SERVICES,
        balancers: int = 3,
        work_ms: float = 20.0,
    ) -> None:
        # Claimed here, since clients are built with addresses before anything is started.
        self._network = LoopbackNetwork(ports=(HTTP_PORT,))
        self._network.start()
        self._prefix = self._network.prefix
        self._folder = folder
        self._services = services
        self._work_ms = work_ms
        self._balancer_count = balancers
        self._authority = CertificateAuthority()
        self._http: aiohttp.ClientSession | None = None
        self._stand_ins: list[subprocess.Popen[bytes]] = []
        self.machines_by_name: dict[str, Machine] = {}
        self.lists: dict[str, object] = {}
        self.root_certificate = folder / "root.pem"

    def service_address(self, service: str) -> Endpoint:
        """Return the address of a service as clients see it."""
        index = [plan.name for plan in self._services].index(service)
        return Endpoint(f"{self._prefix}.1.{index + 1}", SERVICE_PORT)

    async def start(self) -> None:
        """Start all processes and wait until each is ready; raises ProcessNotReadyError."""
        self._http = aiohttp.ClientSession()
        self._authority.write_root(self.root_certificate)
        self._authority.issue(SERVER_NAME, addresses=[], folder=self._folder)
        self._authority.issue(CONTROL_NAME, addresses=[], folder=self._folder)
        self._create_vms()
        self._build_lists()
        self._start_stand_ins()
        await asyncio.gather(
            self._wait_http(f"{self._prefix}.0.1"), self._wait_http(f"{self._prefix}.0.2")
        )
        for machine in self.machines_by_name.values():
            self.start_machine(machine)
        await self.publish_balancers()
        await asyncio.gather(*(self.wait_ready(m) for m in self.machines_by_name.values()))

    async def close(self) -> None:
        """End every process that this harness started."""
        processes = [p for m in self.machines_by_name.values() for p in m.processes]
        processes += self._stand_ins
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            process.wait()
        if self._http is not None:
            await self._http.close()
        self._network.close()

    def start_machine(self, machine: Machine) -> None:
        """Start the processes of a VM."""
        if machine.role == "balancer":
            settings = self._write(f"{machine.name}.json", self._balancer_settings(machine))
            machine.processes = [
                self._start_process(machine.name, "laburnumbridge.cli", "balancer", settings)
            ]
            return
        settings = self._write(f"{machine.name}.json", self._agent_settings(machine))
        machine.processes = [
            self._run_upstream(machine),
            self._start_process(machine.name, "laburnumbridge.cli", "agent", settings),
        ]

    def kill_upstream(self, name: str) -> None:
        """Kill the upstream of a VM; its agent keeps running."""
        upstream = self.machines_by_name[name].processes[0]
        upstream.kill()
        upstream.wait()

    async def restart_upstream(self, name: str) -> None:
        """Start the upstream of a VM again and wait until it listens; its counts start at 0."""
        machine = self.machines_by_name[name]
        machine.processes[0] = self._run_upstream(machine)
        await self._wait_http(machine.host)

    async def wait_ready(self, machine: Machine) -> None:
        """Wait until a VM's balancer or agent has logged that it started."""
        log = self._folder / f"{machine.name}.log"
        deadline = asyncio.get_running_loop().time() + READY_TIMEOUT_S
        while b'"process_started"' not in log.read_bytes():
            if machine.processes[-1].poll() is not None:
                raise ProcessNotReadyError(name=machine.name, reason=log.read_text()[-500:])
            if asyncio.get_running_loop().time() > deadline:
                raise ProcessNotReadyError(name=machine.name, reason="timeout")
            await asyncio.sleep(_POLL_S)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to every process of a VM."""
        for process in self.machines_by_name[name].processes:
            if process.poll() is None:
                process.send_signal(number)

    def add_balancer(self) -> Machine:
        """Add a balancer and return its VM, without starting it."""
        index = sum(m.role == "balancer" for m in self.machines_by_name.values())
        return self._add_balancer(index)

    async def publish_vms(self, *, without: tuple[str, ...] = ()) -> int:
        """Publish the list of VMs and return its version."""
        self.lists["vms"] = self._vm_list(without)
        return await self.publish("vms")

    async def publish(self, name: str) -> int:
        """Publish one list as it stands in ``lists`` and return its version."""
        answer = await self._put(f"{self._prefix}.0.1", f"values/{name}", self.lists[name])
        return int(json.loads(answer)["version"])

    def versions_in_force(self, name: str) -> dict[str, list[int]]:
        """Return the versions of a list that each process logged as in force, in order."""
        versions_by_process: dict[str, list[int]] = {}
        for process in self.machines_by_name:
            # The last line may be incomplete, and a VM that hasn't started has no log.
            log = self._folder / f"{process}.log"
            lines = log.read_text().split("\n")[:-1] if log.exists() else []
            events = [json.loads(line) for line in lines if '"list_in_force"' in line]
            versions_by_process[process] = [e["version"] for e in events if e["list"] == name]
        return versions_by_process

    async def wait_in_force(self, name: str, version: int, *, timeout_s: float) -> None:
        """Wait until every process has put a version of a list in force, or raise TimeoutError."""
        async with asyncio.timeout(timeout_s):
            while min(max(v, default=0) for v in self.versions_in_force(name).values()) < version:
                await asyncio.sleep(_POLL_S)

    async def publish_balancers(self, *, without: tuple[str, ...] = ()) -> None:
        """Publish the balancers of each service to the fabric."""
        addresses = {
            plan.name: {
                m.name: f"{m.host}:{SERVICE_PORT + index}"
                for m in self.machines_by_name.values()
                if m.role == "balancer" and m.name not in without
            }
            for index, plan in enumerate(self._services)
        }
        await self._put(f"{self._prefix}.0.2", "balancers", addresses)

    async def set_platform_faults(self, *, down: bool = False, stale: bool = False) -> None:
        """Take the platform down, or make it answer with older versions."""
        await self._put(f"{self._prefix}.0.1", "faults", {"down": down, "stale": stale})

    async def set_fabric_faults(
        self, *, cut: tuple[str, ...] = (), loss: float = 0.0, silence: bool = False
    ) -> None:
        """Cut balancers off, lose a fraction of the packets, or drop all of the present clients."""
        faults = {"cut": list(cut), "loss": loss, "silence": silence}
        await self._put(f"{self._prefix}.0.2", "faults", faults)

    async def set_upstream_faults(self, name: str, *, shed: bool) -> None:
        """Make an upstream shed load."""
        host = self.machines_by_name[name].host
        await self._put(host, "faults", {"shed": shed})

    async def upstream_runs(self, name: str) -> dict[str, int]:
        """Return how often an upstream ran each request, by request ID."""
        assert self._http is not None
        host = self.machines_by_name[name].host
        async with self._http.get(f"http://{host}:{HTTP_PORT}/operator/runs") as answer:
            runs: dict[str, int] = (await answer.json())["runs"]
            return runs

    def _create_vms(self) -> None:
        for index in range(self._balancer_count):
            self._add_balancer(index)
        number = 0
        for plan_index, plan in enumerate(self._services):
            for index in range(plan.upstreams):
                number += 1
                name = f"{plan.name}-{index + 1}"
                self.machines_by_name[name] = Machine(
                    name=name,
                    host=f"{self._prefix}.{10 + plan_index}.{index + 1}",
                    failure_domain=FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)],
                    role="agent",
                    service=plan.name,
                    number=number,
                )

    def _add_balancer(self, index: int) -> Machine:
        machine = Machine(
            name=f"balancer-{index + 1}",
            host=f"{self._prefix}.2.{index + 1}",
            failure_domain=FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)],
            role="balancer",
        )
        self.machines_by_name[machine.name] = machine
        return machine

    def _build_lists(self) -> None:
        names = [plan.name for plan in self._services]
        self.lists = {
            "services": {
                "routing_keys": [{"number": 1, "key": ROUTING_KEY, "current": True}],
                "services": [
                    {
                        "name": name,
                        "number": index + 1,
                        "address": str(self.service_address(name)),
                        "streams": ["/readings"],
                    }
                    for index, name in enumerate(names)
                ],
            },
            "guests": {"default_plan": "standard", "guests": []},
            "plans": {"plans": [{"name": "standard", "services": names}]},
            "vms": self._vm_list(()),
        }

    def _vm_list(self, without: tuple[str, ...]) -> dict[str, object]:
        capacity = {plan.name: (plan.slots, plan.connections) for plan in self._services}
        vms = []
        for machine in self.machines_by_name.values():
            if machine.name in without:
                continue
            vm: dict[str, object] = {
                "name": machine.name,
                "role": machine.role,
                "failure_domain": machine.failure_domain,
                "region": "perth",
                "state": machine.state,
                "address": f"{machine.host}:{DATAGRAM_PORT}",
                "control_address": f"{machine.host}:{CONTROL_PORT}",
            }
            if machine.service is not None:
                slots, connections = capacity[machine.service]
                vm["number"] = machine.number
                vm["service"] = machine.service
                vm["slots"] = slots
                vm["connections"] = connections
            vms.append(vm)
        return {"vms": vms}

    def _process_settings(self, machine: Machine) -> dict[str, object]:
        return {
            "name": machine.name,
            "region": "perth",
            "failure_domain": machine.failure_domain,
            "platform_url": f"http://{self._prefix}.0.1:{HTTP_PORT}",
            "address": f"{machine.host}:{DATAGRAM_PORT}",
            "control_address": f"{machine.host}:{CONTROL_PORT}",
            "link_key": LINK_KEY,
            "control_keys": [{"number": 1, "secret": CONTROL_KEY, "current": True}],
            "control_tls": {
                "certificate": str(self._folder / f"{CONTROL_NAME}.pem"),
                "private_key": str(self._folder / f"{CONTROL_NAME}.key"),
                "authority": str(self.root_certificate),
            },
            "expected_processes": len(self.machines_by_name),
        }

    def _balancer_settings(self, machine: Machine) -> dict[str, object]:
        listen = {
            plan.name: f"{machine.host}:{SERVICE_PORT + index}"
            for index, plan in enumerate(self._services)
        }
        return {**self._process_settings(machine), "listen_by_service": listen}

    def _agent_settings(self, machine: Machine) -> dict[str, object]:
        plan = next(plan for plan in self._services if plan.name == machine.service)
        return {
            **self._process_settings(machine),
            "number": machine.number,
            "service": machine.service,
            "upstream_url": f"http://{machine.host}:{HTTP_PORT}",
            "slots": plan.slots,
            "connections": plan.connections,
            "guest_tls": {
                "certificate": str(self._folder / f"{SERVER_NAME}.pem"),
                "private_key": str(self._folder / f"{SERVER_NAME}.key"),
            },
        }

    def _start_stand_ins(self) -> None:
        lists = self._write("lists.json", self.lists)
        entries = {plan.name: str(self.service_address(plan.name)) for plan in self._services}
        entry_file = self._write("entries.json", entries)
        platform = [f"{self._prefix}.0.1", str(HTTP_PORT), lists]
        fabric = [f"{self._prefix}.0.2", str(HTTP_PORT), entry_file]
        self._stand_ins = [
            self._start_process("platform", "laburnumbridge.standins.platform", *platform),
            self._start_process("fabric", "laburnumbridge.standins.fabric", *fabric),
        ]

    def _write(self, name: str, content: object) -> str:
        path = self._folder / name
        path.write_text(json.dumps(content))
        return str(path)

    def _start_process(self, name: str, module: str, *arguments: str) -> subprocess.Popen[bytes]:
        log = (self._folder / f"{name}.log").open("wb")
        with log:
            return subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=log,
                preexec_fn=end_with_parent,
            )

    def _run_upstream(self, machine: Machine) -> subprocess.Popen[bytes]:
        arguments = [machine.host, str(HTTP_PORT), machine.name, str(machine.service)]
        work = ["--work-ms", str(self._work_ms)]
        name = f"{machine.name}-upstream"
        return self._start_process(name, "laburnumbridge.standins.upstream", *arguments, *work)

    async def _wait_http(self, host: str) -> None:
        assert self._http is not None
        deadline = asyncio.get_running_loop().time() + READY_TIMEOUT_S
        while True:
            try:
                async with self._http.get(f"http://{host}:{HTTP_PORT}/"):
                    return
            except aiohttp.ClientConnectionError:
                if asyncio.get_running_loop().time() > deadline:
                    raise ProcessNotReadyError(name=host, reason="timeout") from None
                await asyncio.sleep(_POLL_S)

    async def _put(self, host: str, path: str, content: object) -> bytes:
        assert self._http is not None
        url = f"http://{host}:{HTTP_PORT}/operator/{path}"
        async with self._http.put(url, json=content) as answer:
            answer.raise_for_status()
            return await answer.read()
