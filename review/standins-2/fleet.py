"""A small deployment on loopback addresses: the project's processes and the stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from backend import Backend
from client import Clients
from client import Routers
from store import Store

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

ROOT = Path(__file__).resolve().parents[2]
ZONE = "north"
BOUNDS = {"flow_max_s": 60, "grace_s": 6}
SERVICES = ("desk", "archive")


def run_case(main: Callable[[], Coroutine[Any, Any, int]]) -> int:
    """Return the exit status of a case: 2 if it ended with an error or was stopped."""
    try:
        return asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case couldn't run: {error!r}", file=sys.stderr)
        return 2


class Relay:
    """A TCP proxy of one machine's way to the store; ``silence`` drops its open connections' bytes.

    A silenced connection stays open and carries nothing more. New connections work.
    """

    def __init__(self, *, endpoint: tuple[str, int], target: tuple[str, int]) -> None:
        self.endpoint = endpoint
        self._target = target
        self._server: asyncio.Server | None = None
        self._open: set[int] = set()
        self._silenced: set[int] = set()
        self._number = 0
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._open)

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, *self.endpoint)

    async def close(self) -> None:
        """Close all connections."""
        if self._server:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence(self) -> int:
        """Silence the open connections for good; return their number."""
        fresh = self._open - self._silenced
        self._silenced |= fresh
        return len(fresh)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._number += 1
        number = self._number
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._open.add(number)
        other_writer: asyncio.StreamWriter | None = None
        try:
            other_reader, other_writer = await asyncio.open_connection(*self._target)
            await asyncio.gather(
                self._copy(number, reader, other_writer), self._copy(number, other_reader, writer)
            )
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._open.discard(number)
            self._tasks.discard(task)
            writer.close()
            if other_writer:
                other_writer.close()

    async def _copy(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            data = await reader.read(65_536)
            if number in self._silenced:
                if not data:
                    await asyncio.sleep(3_600)
                continue
            if not data:
                writer.close()
                raise ConnectionResetError
            writer.write(data)
            await writer.drain()


class Machine:
    """A machine with one of the project's processes."""

    def __init__(self, *, fleet: Fleet, name: str, role: str, address: str, service: str) -> None:
        self.fleet = fleet
        self.name = name
        self.role = role
        self.address = address
        self.service = service
        self.process: subprocess.Popen[bytes] | None = None
        self.settings_path = fleet.directory / f"{name}.json"
        self.log_path = fleet.directory / f"{name}.log"

    def write_settings(self) -> None:
        """Write the settings, as the template of the deploy file gives them."""
        fleet = self.fleet
        settings: dict[str, Any] = {
            "process": self.name,
            "failure_domain": ZONE,
            "address": self.address,
            "packet_endpoint": f"{self.address}:{fleet.packet_port}",
            "peer_port": fleet.peer_port,
            "ready_endpoint": f"{self.address}:{fleet.ready_port}",
            "metrics_port": fleet.metrics_port,
            "platform_endpoint": "{}:{}".format(*fleet.relays[self.name].endpoint),
            "seeds": [f"{address}:{fleet.control_port}" for address in fleet.seed_addresses],
            "flow_max_age_s": BOUNDS["flow_max_s"],
            "stop_grace_s": BOUNDS["grace_s"],
            "failure_domains": [ZONE],
        }
        if self.role == "balancer":
            settings["control_endpoint"] = f"{self.address}:{fleet.control_port}"
        else:
            settings["upstream"] = {
                "service": self.service,
                "endpoint": f"{self.address}:{fleet.app_port}",
                "output_endpoint": f"{self.address}:{fleet.outbound_port}",
            }
        self.settings_path.write_text(json.dumps(settings))

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.write_settings()
        command = self.fleet.commands[self.role].split()
        if command[0] == "python3":
            command[0] = sys.executable
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.fleet.directory),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "LABURNUMBRIDGE_BOOT": str(self.settings_path),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """True while the process runs."""
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        """Kill the process."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    def logged(self, event: str) -> int:
        """Return how many lines with ``event`` the process has written."""
        if not self.log_path.exists():
            return 0
        return self.log_path.read_bytes().count(f'"event":"{event}"'.encode())


class Fleet:
    """The deployment; ``seeds`` of the ``balancers`` are named in the settings."""

    def __init__(
        self,
        *,
        folder: Path,
        balancers: int,
        backends: dict[str, int],
        seeds: int,
        slots: int = 4,
        work_s: float = 0.02,
        balancer_names: list[str] | None = None,
    ) -> None:
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.directory = Path(self._temporary.name)
        self._record_path = folder / "record.txt"
        self._record_file = self._record_path.open("w")
        self._began = 0.0
        self.commands = {
            name: role["run"]
            for name, role in tomllib.loads((ROOT / "deploy" / "system.toml").read_text())[
                "roles"
            ].items()
        }
        self.prefix = self._free_prefix()
        (
            self.packet_port,
            self.peer_port,
            self.ready_port,
            self.control_port,
            self.app_port,
            self.outbound_port,
            self.store_port,
            self.metrics_port,
        ) = (8_172, 7_720, 8_167, 8_166, 8_165, 8_162, 8_169, 9_464)
        self.store = Store()
        names = balancer_names or [f"edge-north-{number}" for number in range(1, balancers + 1)]
        self.machines: dict[str, Machine] = {}
        for number, name in enumerate(names, start=1):
            self._add(name, "balancer", f"{self.prefix}.{10 + number}", "")
        self.balancer_names = names
        self.seed_addresses = [self.machines[name].address for name in names[:seeds]]
        self.backends: dict[str, Backend] = {}
        self.slots = slots
        self.work_s = work_s
        number = 0
        for service, count in backends.items():
            for _ in range(count):
                number += 1
                self._add(f"side-north-{number}", "agent", f"{self.prefix}.{40 + number}", service)
        self.relays = {
            name: Relay(
                endpoint=(f"{self.prefix}.{100 + position}", self.store_port),
                target=(f"{self.prefix}.{150 + position}", self.store_port),
            )
            for position, name in enumerate(self.machines)
        }
        self.routers = Routers(
            balancers=[(self.machines[name].address, self.packet_port) for name in names],
            ready_port=self.ready_port,
        )
        self.clients = Clients(
            address=f"{self.prefix}.200",
            port=self.packet_port,
            routers=self.routers,
            record=self.record,
        )
        self.version = 0

    @staticmethod
    def _free_prefix() -> str:
        for _ in range(200):
            prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
                    probe.bind((f"{prefix}.200", 8_169))
            except OSError:
                continue
            return prefix
        raise RuntimeError("no free loopback addresses")

    def _add(self, name: str, role: str, address: str, service: str) -> None:
        self.machines[name] = Machine(
            fleet=self, name=name, role=role, address=address, service=service
        )

    def now(self) -> float:
        """Return seconds since the start of the record."""
        return asyncio.get_running_loop().time() - self._began if self._began else 0.0

    def record(self, what: str, **fields: object) -> None:
        """Write one line to the record."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._record_file.write(f"{self.now():9.3f} {what} {text}\n".rstrip() + "\n")

    async def start(self, *, first: list[str] | None = None, gap_s: float = 0.25) -> None:
        """Start everything; the machines in ``first`` start ``gap_s`` before the others."""
        loop = asyncio.get_running_loop()
        self._began = loop.time()
        # A case that is stopped from outside ends its processes too.
        main_task = asyncio.current_task(loop)
        if main_task is not None:
            loop.add_signal_handler(signal.SIGTERM, main_task.cancel)
        for position, name in enumerate(self.machines):
            await self.store.listen(f"{self.prefix}.{150 + position}", self.store_port)
            await self.relays[name].start()
        for name, machine in self.machines.items():
            if machine.role == "agent":
                await self.start_backend(name)
        early = first or []
        for name in early:
            self.machines[name].start()
        if early:
            await asyncio.sleep(gap_s)
        for name, machine in self.machines.items():
            if name not in early:
                machine.start()
        await self.clients.start()
        await self.routers.start()

    async def start_backend(self, name: str) -> Backend:
        """Start a backend on a machine."""
        machine = self.machines[name]
        backend = Backend(
            name=f"i-{random.getrandbits(32):08x}",
            service=machine.service,
            zone=ZONE,
            address=machine.address,
            port=self.app_port,
            outbound=(machine.address, self.outbound_port),
            slots=self.slots,
            work_s=self.work_s,
            store=self.store,
            record=self.record,
        )
        await backend.start()
        self.backends[name] = backend
        self.record("backend started", machine=name, id=backend.name, service=backend.service)
        return backend

    async def configure(
        self,
        routes: dict[tuple[str, int], str],
        *,
        services: tuple[str, ...] = SERVICES,
        **limits: int,
    ) -> float:
        """Write the next configuration; return the time of the store's acknowledgement."""
        self.version += 3
        configuration = {
            "version": self.version,
            "routes": [
                {
                    "name": f"r-{address}-{port}",
                    "host": address,
                    "prefix": f"/{port}/",
                    "type": "unsafe",
                    "timeout_ms": 3_000,
                    "target_latency_ms": 332,
                    "priority": 1,
                    "service": service,
                    "attempts": 2,
                }
                for (address, port), service in routes.items()
            ],
            "services": [
                {
                    "name": service,
                    "health_path": "/healthz",
                    "max_conns": 2_000,
                    "protocol": "h1",
                    "tls": False,
                }
                for service in services
            ],
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 262_144,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": limits.get("idle_timeout_ms", 15_000),
            },
        }
        acknowledged = await self.store.put("op/config", json.dumps(configuration).encode())
        self.record(
            "configuration acknowledged", version=self.version, routes=routes, services=services
        )
        return acknowledged

    async def wait_ready(self, timeout_s: float = 15.0) -> None:
        """Wait until all balancers are in rotation. Raises TimeoutError."""
        async with asyncio.timeout(timeout_s):
            while len(self.routers.rotation) < len(self.balancer_names):
                await asyncio.sleep(0.1)

    async def close(self) -> None:
        """End everything that was started."""
        await self.routers.close()
        for machine in self.machines.values():
            machine.end()
        for backend in self.backends.values():
            await backend.close()
        await self.clients.close()
        for relay in self.relays.values():
            await relay.close()
        await self.store.close()
        self._record_file.close()
        with contextlib.suppress(OSError):
            self._temporary.cleanup()
