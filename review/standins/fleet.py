"""Starts the project's programs as the deploy file says, and the stand-ins around them."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from review.standins.backend import Backend
from review.standins.client import Clients
from review.standins.client import Router
from review.standins.store import Store

ROOT = Path(__file__).resolve().parents[2]
ZONE = "midland"
RESTART_S = 0.5
DRAIN_S, CONFIG_S, WINDOW_S = 3.0, 3.0, 4.0
"""``drain_ms``, ``config_apply_ms`` and ``stability_window_ms`` of the site."""
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "stability_window_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "partition_max_ms": 12000,
    "recovery_s": 12,
    "flow_ms": 2000,
    "flow_max_s": 60,
}


class Record:
    """Writes one line for each event, with seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()
        self.lines: list[tuple] = []

    def __call__(self, kind: str, *fields: object) -> None:
        at = time.monotonic() - self._start
        self.lines.append((at, kind, *fields))
        self._file.write(f"{at:8.3f} {kind} {' '.join(map(str, fields))}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


class Node:
    """One machine of the system and its process."""

    def __init__(self, *, role: str, address: str, settings: dict, folder: Path, record) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][role]
        self.role, self.address, self._record = role, address, record
        self._command = deploy["run"].split(" ")
        template = (ROOT / deploy["template"]).read_text()
        self._settings = folder / f"{address}.json"
        self._settings.write_text(render(template, settings))
        json.loads(self._settings.read_text())
        self._log = folder / f"{address}.log"
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["LABURNUMBRIDGE_BOOT"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record("node-start", self.role, self.address)

    def signal(self, number: int) -> None:
        self._record("signal", self.role, self.address, signal.Signals(number).name)
        self.process.send_signal(number)

    async def wait_exit(self) -> int:
        while self.process.poll() is None:
            await asyncio.sleep(0.02)
        self._record("node-exit", self.role, self.address, self.process.returncode)
        return self.process.returncode

    async def restart(self) -> None:
        """A planned stop: SIGTERM, SIGKILL after the grace period, a new start."""
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.wait_exit(), BOUNDS["grace_s"])
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.wait_exit()
        await asyncio.sleep(RESTART_S)
        self.start()

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Fleet:
    """A small deployment: balancers (the first three are seeds), agents, backends, clients."""

    def __init__(
        self,
        *,
        record,
        services: dict[str, int],
        balancers: int = 3,
        slots: int = 4,
        work_s: float = 0.05,
    ) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp())
        prefix = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        count = sum(services.values())
        hosts = [f"{prefix}.{number}" for number in range(1, balancers + count + 3)]
        names = ("packet", "ready", "control", "app", "outbound", "platform", "peer")
        self.ports = dict(zip(names, free_ports(hosts, len(names)), strict=True))
        store_host, client_host, *nodes = hosts
        self.store = Store(address=(store_host, self.ports["platform"]), record=record)
        self.balancer_addresses = nodes[:balancers]
        self.agent_addresses = nodes[balancers:]
        self.router = Router(
            nodes=self.balancer_addresses,
            ready_port=self.ports["ready"],
            packet_port=self.ports["packet"],
            record=record,
        )
        self.clients = Clients(
            address=(client_host, self.ports["packet"]), router=self.router, record=record
        )
        self.nodes: dict[str, Node] = {}
        self.backends: dict[str, Backend] = {}
        served = [name for name, number in services.items() for _ in range(number)]
        for address in self.balancer_addresses:
            self.nodes[address] = self._node("balancer", address, None)
        for number, (address, service) in enumerate(
            zip(self.agent_addresses, served, strict=True), 1
        ):
            self.nodes[address] = self._node("agent", address, service)
            self.backends[address] = Backend(
                name=f"i-{number}{random.getrandbits(24):06x}",
                service=service,
                address=(address, self.ports["app"]),
                output=(address, self.ports["outbound"]),
                zone=ZONE,
                store=self.store,
                record=record,
                slots=slots,
                work_s=work_s,
            )
        self.version = 0

    def _node(self, role: str, address: str, service: str | None) -> Node:
        ports = self.ports
        settings: dict = {
            "node_name": f"{'edge' if service is None else 'side'}-{ZONE}-{address}",
            "role": role,
            "machine_class": "edge" if service is None else "side",
            "ip": address,
            "zone": ZONE,
            "region": "perth",
            "internal_port_range": [ports["peer"], ports["peer"]],
            "seeds": [f"{seed}:{ports['control']}" for seed in self.balancer_addresses[:3]],
            "bootstrap": True,
            "hash": "mod",
            "proxy_mode": "agent",
            "bounds": BOUNDS,
            "listen": {
                "datagram_addr": f"{address}:{ports['packet']}",
                "ready": f"{address}:{ports['ready']}",
            },
            "platform": {"address": f"{self.store.address[0]}:{self.store.address[1]}"},
        }
        if service is None:
            settings["listen"]["control"] = f"{address}:{ports['control']}"
        else:
            settings["listen"]["outbound"] = f"{address}:{ports['outbound']}"
            settings.update(service=service, app=f"{address}:{ports['app']}")
        return Node(
            role=role, address=address, settings=settings, folder=self.folder, record=self.record
        )

    def configure(self, routes: list[dict], *, idle_timeout_ms: int = 15_000) -> float:
        """Write the next version; return the time of the store's acknowledgement."""
        self.version += random.randint(1, 3)
        services = sorted({backend.service for backend in self.backends.values()})
        body = {
            "version": self.version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "health_path": "/healthz",
                    "max_conns": 2000,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": idle_timeout_ms,
            },
        }
        at = self.store.put("op/config", json.dumps(body).encode())
        targets = [f"{route['name']}>{route.get('service', 'split')}" for route in routes]
        self.record("config-acknowledged", self.version, *targets)
        return at

    async def start(self) -> None:
        """Start everything, and wait until all balancers are in rotation."""
        await self.store.start()
        for backend in self.backends.values():
            await backend.start()
        for node in self.nodes.values():
            node.start()
        await self.clients.start()
        self.router.start()
        for _ in range(200):
            await asyncio.sleep(0.1)
            if len(self.router.rotation) == len(self.balancer_addresses):
                break
        else:
            raise RuntimeError("the balancers aren't ready after 20 s")
        await asyncio.sleep(WINDOW_S + 0.5)  # all machines are in touch from here on

    def agent_of(self, backend_name: str) -> str:
        return next(a for a, backend in self.backends.items() if backend.name == backend_name)

    def close(self) -> None:
        for node in self.nodes.values():
            node.end()
        for part in (self.router, self.clients, *self.backends.values(), self.store):
            try:
                part.close()
            except AttributeError:
                pass  # it wasn't started
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder)


def route(
    name: str,
    host: str,
    port: int,
    *,
    service: str | None = None,
    kind: str = "unsafe",
    split: dict[str, int] | None = None,
) -> dict:
    """Return a route as the operator writes it."""
    target = (
        {"service": service}
        if split is None
        else {"traffic_split": [{"service": s, "weight": w} for s, w in split.items()]}
    )
    return {
        "name": name,
        "host": host,
        "prefix": f"/{port}/",
        "type": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 333,
        "priority": 1,
        "attempts": 2,
        **target,
    }


def free_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports that are free for UDP and TCP on all of ``hosts``."""
    found: list[int] = []
    while len(found) < count:
        port = random.randint(20_000, 30_000)
        if port not in found and all(is_free(host, port) for host in hosts):
            found.append(port)
    return found


def is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def render(template: str, values: dict) -> str:
    """Fill in a settings template with the placeholders that the deploy page describes."""

    def find(path: str) -> object:
        value: object = values
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            elif isinstance(value, dict):
                value = value.get(part)
        return value

    def section(match: re.Match) -> str:
        return render(match[2], values) if find(match[1]) else ""

    def placeholder(match: re.Match) -> str:
        value = find(match[1])
        return json.dumps(value) if match[2] else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


def run_case(case, folder: Path) -> int:
    """Run ``case(record, trouble)``, a coroutine that returns lines on broken rules.

    Returns 1 if a rule was broken, 0 if it held, 2 if the case couldn't run.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("case", folder.name, "with trouble" if trouble else "without trouble")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 110))
    except Exception as error:  # noqa: BLE001: whatever stopped the case is reported as such
        record("could-not-run", type(error).__name__, error)
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        return 2
    finally:
        asyncio.set_event_loop(None)
    for line in broken:
        record("broken", line)
        print(line)
    record("verdict", "broken" if broken else "held")
    record.close()
    return 1 if broken else 0
