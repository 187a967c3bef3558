"""A small deployment on loopback addresses: the project's programs and stand-ins around them.

The stand-ins follow the users' pages: a store, backends, clients, and routers that check readiness.
Each machine reaches the store and the seeds through proxies of its own, which can be cut.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
PACKET, READY, CONTROL, PEER, OUTBOUND, APP = 8172, 8167, 8166, 7720, 8162, 8165
BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "stability_window_ms": 4000, "ack_ms": 5000,
    "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 3000, "rollback_slack_ms": 250, "partition_max_ms": 12000,
    "recovery_s": 12, "flow_ms": 2000, "flow_max_s": 60,
}
SYN, BOUNCED, FIN, RST, ACK = 128, 64, 32, 16, 1
HEAD = struct.Struct("!B3sI4sH4sHIIIH")
KEY = b"the key of the keyed sum"


def pack(src, sport, dst, dport, flags, seq=0, ack=0, data=b""):
    """Return a packet with its keyed sum."""
    ends = socket.inet_aton(dst), sport, socket.inet_aton(src), dport
    keyed = repr((ends, flags & ~BOUNCED, seq, ack, data)).encode() + KEY
    return HEAD.pack(flags, b"\0\0\0", zlib.crc32(keyed) or 1, *ends, 0, seq, ack, len(data)) + data


class Packet:
    """A decoded packet; ``is_genuine`` tells whether its sum is right."""

    def __init__(self, raw):
        self.raw = raw
        self.flags, _, self.sum, dst, self.sport, src, self.dport, self.echo, self.seq, self.ack, _ = (
            HEAD.unpack_from(raw)
        )
        self.src, self.dst = socket.inet_ntoa(src), socket.inet_ntoa(dst)
        self.data = raw[HEAD.size:]
        again = pack(self.src, self.sport, self.dst, self.dport, self.flags, self.seq, self.ack, self.data)
        self.is_genuine = struct.unpack_from("!I", again, 4)[0] == self.sum


class Datagrams(asyncio.DatagramProtocol):
    """Calls ``handler`` with each datagram."""

    def __init__(self, handler):
        self.handler = handler

    def datagram_received(self, data, addr):
        self.handler(data, addr)


async def bind(address, port, handler):
    """Open a UDP socket and return its transport."""
    loop = asyncio.get_running_loop()
    return (await loop.create_datagram_endpoint(lambda: Datagrams(handler), (address, port)))[0]


class Store:
    """The platform's store."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}
        self.events = []
        self.changed = asyncio.Event()

    async def start(self, address, port):
        """Listen."""
        self.server = await asyncio.start_server(self._serve, address, port)

    def put(self, key, value):
        """Write a JSON value; return the revision, which is the acknowledgement."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": text, "revision": self.revision, "created": created, "lease": 0}
        self.items[key] = item
        self._note(item)
        return self.revision

    def remove(self, key):
        """Remove an item."""
        self.revision += 1
        self.items.pop(key, None)
        self._note({"key": key, "revision": self.revision, "removed": True})

    def _note(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                status, body = await self._answer(target)
                data = json.dumps(body).encode()
                await asyncio.sleep(0.004)
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data)) + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, target):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        prefix = query.get("prefix", "")
        if parts.path == "/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, {**item, "current_rev": self.revision})
        if parts.path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > query.get("after", ""))
            items = [self.items[k] for k in keys[:500]]
            return 200, {"items": items, "has_more": len(keys) > 500, "current_rev": self.revision}
        after, end = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Proxy:
    """A machine's way to another address, with the rate of its link; it can be cut without a sign.

    While it is cut, bytes are held back and new connections hang, as if the machine were behind a
    partition. ``bytes_per_s`` limits what comes back over it.
    """

    def __init__(self, target, bytes_per_s=None):
        self.target, self.bytes_per_s = target, bytes_per_s
        self.whole = asyncio.Event()
        self.whole.set()
        self.accepted = 0
        self.fillers = []
        self.tasks = set()

    async def start(self, address, port):
        """Listen; with one place in the queue, so that a cut can fill it."""
        self.listener = socket.socket()
        self.listener.setblocking(False)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((address, port))
        self.listener.listen(0)
        asyncio.get_running_loop().add_reader(self.listener, self._accept)

    def cut(self):
        """Hold everything back; connections that are attempted now are never answered."""
        self.whole.clear()
        asyncio.get_running_loop().remove_reader(self.listener)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self.fillers.append(filler)

    def heal(self):
        """Let everything pass again."""
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.whole.set()
        asyncio.get_running_loop().add_reader(self.listener, self._accept)

    def _accept(self):
        try:
            connection, _ = self.listener.accept()
        except OSError:
            return
        self.accepted += 1
        task = asyncio.get_running_loop().create_task(self._serve(connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, connection):
        try:
            reader, writer = await asyncio.open_connection(sock=connection, limit=1 << 14)
            up_reader, up_writer = await asyncio.open_connection(*self.target, limit=1 << 14)
        except OSError:
            connection.close()
            return

        async def relay(source, sink, bytes_per_s):
            free_at = 0.0  # when the link has passed on what came before
            try:
                while data := await source.read(8192):
                    await self.whole.wait()
                    if bytes_per_s:
                        now = time.monotonic()
                        free_at = max(free_at, now) + len(data) / bytes_per_s
                        await asyncio.sleep(free_at - now)
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, asyncio.CancelledError):
                pass
            sink.close()

        await asyncio.gather(
            relay(reader, up_writer, None), relay(up_reader, writer, self.bytes_per_s))


class Backend:
    """A backend: answers each request of a flow after ``work_s``, and bounces unknown packets."""

    def __init__(self, fleet, address, service, zone, slots=4, work_s=0.02):
        self.fleet, self.address, self.service, self.zone = fleet, address, service, zone
        self.slots, self.work_s = slots, work_s
        self.id = f"i-{random.randrange(1 << 40):010x}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.cold_until = 0.0
        self.flows = {}
        self.taken = []  # (time, id of the request)
        self.openings = []  # (time, client's port, copy) of opening packets taken

    async def start(self):
        """Listen and register."""
        self.udp = await bind(self.address, APP, self._on_datagram)
        self.tcp = await asyncio.start_server(self._health, self.address, APP)
        self.register()

    def register(self):
        """Write the entry, as the heartbeats do when more than ``seq`` has changed."""
        left = max(0, int((self.cold_until - time.monotonic()) * 1000))
        return self.fleet.store.put(f"servers/{self.id}", {
            "service": self.service, "address": f"{self.address}:{APP}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "warmup_left_ms": left,
            "seq": 1, "born": self.born,
        })

    async def _health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    def _send(self, raw):
        self.udp.sendto(raw, (self.address, OUTBOUND))

    def _on_datagram(self, raw, _sender):
        packet = Packet(raw)
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        back = (packet.dst, packet.dport, packet.src, packet.sport)
        flow = self.flows.get(key)
        if packet.flags & SYN and not packet.flags & ACK:
            if flow is None:
                flow = self.flows[key] = {"seq": random.randrange(1 << 32), "open": False, "last": b""}
                self.openings.append((time.monotonic(), packet.sport, packet.ack))
            self._send(pack(*back, SYN | ACK, flow["seq"], packet.seq + 1))
        elif flow is None or (not flow["open"] and packet.ack != (flow["seq"] + 1) % (1 << 32)):
            # The echo stays as it was when the packet arrived.
            self._send(bytes([raw[0] | BOUNCED]) + b"\0\0\0" + raw[4:])
        else:
            flow["open"] = True
            if packet.data:
                self._on_request(packet, back, flow)
            if packet.flags & FIN:
                self._send(pack(*back, FIN | ACK, packet.ack, packet.seq + 1))

    def _on_request(self, packet, back, flow):
        name = packet.data.decode()
        if flow["last"] == name:
            return
        flow["last"] = name
        self.taken.append((time.monotonic(), name))
        self.fleet.record(f"run {name} at {self.service} {self.address}")
        answer = pack(*back, ACK, packet.ack, packet.seq + len(packet.data), b"answer " + packet.data)
        asyncio.get_running_loop().call_later(self.work_s, self._send, answer)


class Attempt:
    """One client attempt: a flow for one request."""

    def __init__(self, name, sent):
        self.name, self.sent = name, sent
        self.copies_sent = []  # when each copy of the opening packet was sent
        loop = asyncio.get_running_loop()
        self.opened, self.ended = loop.create_future(), loop.create_future()
        self.opened_at = 0.0
        self.ack = 0
        self.outcome = "silent"

    async def wait(self, seconds, *futures):
        """Wait until one of ``futures`` is done; return whether the attempt has ended."""
        await asyncio.wait(futures, timeout=seconds, return_when=asyncio.FIRST_COMPLETED)
        return self.ended.done()


class Client:
    """Opens a flow for each request, from a new port."""

    def __init__(self, fleet, address):
        self.fleet, self.address = fleet, address
        self.port = 20000
        self.attempts = {}

    async def start(self):
        """Open the socket."""
        self.udp = await bind(self.address, PACKET, self._on_datagram)

    async def request(self, dst, dport, *, node=None):
        """Send a request in a new flow; return the attempt when it has ended."""
        self.port += 1
        port = self.port
        name = f"{self.address}:{port}>{dst}:{dport}"
        attempt = Attempt(name, time.monotonic())
        ends = (self.address, port, dst, dport)
        self.attempts[ends] = attempt
        self.fleet.record(f"send {name}" + (f" to {node}" if node else ""))
        for copy, delay in enumerate((0.2, 0.4, 0.8)):
            attempt.copies_sent.append(time.monotonic())
            self.fleet.route(pack(*ends, SYN, 0, copy), ends, node)
            if await attempt.wait(delay, attempt.opened, attempt.ended) or attempt.opened.done():
                break
        if attempt.opened.done():
            for _ in range(6):
                self.fleet.route(pack(*ends, ACK, 1, attempt.ack, name.encode()), ends, node)
                if await attempt.wait(0.4, attempt.ended):
                    break
        if attempt.outcome == "answered":
            self.fleet.route(pack(*ends, FIN | ACK, 1 + len(name), attempt.ack), ends, node)
        self.fleet.record(f"end {name}: {attempt.outcome}")
        return attempt

    def _on_datagram(self, raw, _sender):
        packet = Packet(raw)
        attempt = self.attempts.get((packet.dst, packet.dport, packet.src, packet.sport))
        if attempt is None or attempt.ended.done():
            return
        if packet.flags & RST:
            attempt.outcome = "reset by a backend" if packet.is_genuine else "reset by the system"
            attempt.ended.set_result(None)
        elif packet.flags & SYN and not attempt.opened.done():
            attempt.outcome = "open"
            attempt.ack = (packet.seq + 1) % (1 << 32)
            attempt.opened_at = time.monotonic()
            attempt.opened.set_result(None)
        elif packet.data and packet.is_genuine:
            attempt.outcome = "answered"
            attempt.ack = (packet.seq + len(packet.data)) % (1 << 32)
            attempt.ended.set_result(None)


class Machine:
    """A machine with one of the project's processes, started as the deploy file says."""

    def __init__(self, fleet, role, name, address, zone, settings):
        self.fleet, self.role, self.name, self.address, self.zone = fleet, role, name, address, zone
        self.settings = settings
        self.path = fleet.folder / f"{name}.json"
        self.process = None
        self.ends = []  # (time, exit code) of ends that nobody asked for
        self.is_kept = False
        self.starts = []

    def write_settings(self):
        """Fill in the template, as the platform does at each start."""
        template = (ROOT / self.fleet.roles[self.role]["template"]).read_text()
        whole = self.path.with_suffix(".new")
        whole.write_text(render(template, self.settings))
        whole.replace(self.path)

    def start(self):
        """Start the process."""
        self.write_settings()
        (self.fleet.folder / f"{self.name}.log").write_bytes(b"")
        keep = ("PATH", "HOME", "LANG")
        env = {k: os.environ[k] for k in keep if k in os.environ}
        env |= {"PYTHONPATH": str(ROOT / "target/deps"), "LABURNUMBRIDGE_BOOT": str(self.path),
                "PYTHONDONTWRITEBYTECODE": "1"}
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            self.fleet.roles[self.role]["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log)
        log.close()
        self.starts.append(time.monotonic())
        self.fleet.record(f"start {self.name}")

    def send(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def linked_peers(self):
        """Return the addresses of the peers that the process's log says it is connected to."""
        peers = set()
        for line in (self.fleet.folder / f"{self.name}.log").read_text().splitlines():
            for event, change in (("peer_connected", peers.add), ("peer_lost", peers.discard)):
                if f'"event":"{event}"' in line:
                    change(line.split('"peer":"')[1].split(":")[0])
        return peers


def render(template, fields):
    """Fill in a settings template as the deploy page says."""

    def find(name, scopes):
        if name in (".", "@"):
            return scopes[-1][name]
        for scope in reversed(scopes):
            value = scope["."]
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def text(value):
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(map(text, value))
        return json.dumps(value) if isinstance(value, (dict, bool)) else str(value)

    def fill(part, scopes, is_last=True):
        section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)
        out, at = [], 0
        for match in section.finditer(part):
            out.append(plain(part[at:match.start()], scopes, is_last))
            kind, name, body = match.groups()
            value = find(name, scopes)
            if kind == "^":
                out.append(fill(body, scopes, is_last) if value in (None, False) else "")
            elif isinstance(value, (list, dict)):
                entries = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
                for number, (key, one) in enumerate(entries):
                    inner = [*scopes, {".": one, "@": key}]
                    out.append(fill(body, inner, number == len(entries) - 1))
            elif value is not None and value is not False:
                out.append(fill(body, scopes, is_last))
            at = match.end()
        return "".join([*out, plain(part[at:], scopes, is_last)])

    def plain(part, scopes, is_last):
        part = part.replace("{{,}}", "" if is_last else ",")

        def value(match):
            found = find(match[1], scopes)
            return json.dumps(found) if match[2] else text(found)

        return re.sub(r"\{\{([\w.@]+)(\|json)?\}\}", value, part)

    return fill(template, [{".": fields, "@": ""}])


class Fleet:
    """The deployment; ``edges`` and ``sides`` are its machines by name, in the order given."""

    def __init__(self, *, edges, sides, seeds, zones=("north",), extra_bounds=(), rates=None):
        rates = rates or {}  # bytes a second over the links of some machines
        self.began = time.monotonic()
        self.lines = []
        self.temporary = tempfile.TemporaryDirectory(prefix="review-3-")
        self.folder = Path(self.temporary.name)
        self.roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        by_class = {role["on"]: name for name, role in self.roles.items()}
        self.prefix = self._free_prefix()
        self.store = Store(self.record)
        self.machines, self.backends, self.proxies = {}, {}, {}
        self.seed_proxies = {}  # by the names of the machine and of the seed
        self.rotation = []
        self.tasks = []
        self.version = 0
        addresses = {name: f"{self.prefix}.1.{n}" for n, name in enumerate(edges, 1)}
        addresses |= {name: f"{self.prefix}.2.{n}" for n, name in enumerate(sides, 1)}
        self.bounds = BOUNDS | dict(extra_bounds)
        for number, name in enumerate(addresses):
            is_edge = name in edges
            zone = zones[number % len(zones)]
            address = addresses[name]
            listen = {"datagram_addr": f"{address}:{PACKET}", "ready": f"{address}:{READY}"}
            settings = {
                "node_name": name, "machine_class": "edge" if is_edge else "side", "ip": address,
                "zone": zone, "region": "south", "internal_port_range": [PEER, PEER + 15],
                "seeds": [
                    f"{address if seed == name else self._way(number, index)}:{CONTROL}"
                    for index, seed in enumerate(seeds)
                ],
                "zones": {one: "south" for one in zones}, "listen": listen, "bounds": self.bounds,
                "platform": {"address": f"{self.prefix}.3.{number + 1}:8169"},
                "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
                "hash": "mod", "proxy_mode": "agent",
            }
            if is_edge:
                listen["control"] = f"{address}:{CONTROL}"
            else:
                listen["outbound"] = f"{address}:{OUTBOUND}"
                settings |= {"app": f"{address}:{APP}", "service": sides[name]}
                self.backends[name] = Backend(self, address, sides[name], zone)
            self.proxies[name] = Proxy((f"{self.prefix}.4.1", 8169), rates.get(name))
            for index, seed in enumerate(seeds):
                if seed != name:
                    way = Proxy((addresses[seed], CONTROL), rates.get(name))
                    self.seed_proxies[name, seed] = (self._way(number, index), way)
            role = by_class["edge" if is_edge else "side"]
            self.machines[name] = Machine(self, role, name, address, zone, settings)
        self.edges = [self.machines[name] for name in edges]
        self.client = Client(self, f"{self.prefix}.5.1")

    def _way(self, number, index):
        """Return the address at which a machine reaches a seed."""
        return f"{self.prefix}.{10 + number}.{index + 1}"

    @staticmethod
    def _free_prefix():
        for _ in range(200):
            prefix = f"127.{random.randrange(20, 250)}"
            try:
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.4.1", 8169))
                return prefix
            except OSError:
                continue
        raise OSError("no free loopback addresses")

    def record(self, text):
        """Note a line for record.txt."""
        self.lines.append(f"{time.monotonic() - self.began:8.3f} {text}")

    async def start_stand_ins(self):
        """Start the store, the proxies, the backends, the client and the readiness checks."""
        await self.store.start(f"{self.prefix}.4.1", 8169)
        for name, proxy in self.proxies.items():
            host, port = self.machines[name].settings["platform"]["address"].split(":")
            await proxy.start(host, int(port))
        for address, proxy in self.seed_proxies.values():
            await proxy.start(address, CONTROL)
        for backend in self.backends.values():
            await backend.start()
        await self.client.start()
        for machine in self.edges:
            self.tasks.append(asyncio.create_task(self._check_readiness(machine)))

    async def _check_readiness(self, machine):
        misses = 0
        while True:
            is_ready = False
            try:
                async with asyncio.timeout(0.4):
                    reader, writer = await asyncio.open_connection(machine.address, READY)
                    writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                    is_ready = b" 200 " in await reader.readline()
                    writer.close()
            except (OSError, TimeoutError):
                pass
            misses = 0 if is_ready else misses + 1
            if is_ready and machine not in self.rotation:
                self.rotation.append(machine)
                self.rotation.sort(key=lambda one: one.name)
            elif misses >= 2 and machine in self.rotation:
                self.rotation.remove(machine)
            await asyncio.sleep(0.5)

    def cut(self, name, *, is_cut):
        """Cut a seed off from all other machines of the system, or end that; it reaches the store."""
        for (machine, seed), (_, proxy) in self.seed_proxies.items():
            if name in (machine, seed):
                proxy.cut() if is_cut else proxy.heal()
        self.record(f"{name} is {'cut off from' if is_cut else 'back with'} the other machines")

    def route(self, raw, ends, node=None):
        """Forward a client's packet as the platform's routers do, or to the edge ``node``."""
        if node is None:
            nodes = self.rotation if 2 * len(self.rotation) >= len(self.edges) else self.edges
            address = nodes[zlib.crc32(repr(ends).encode()) % len(nodes)].address
        else:
            address = self.machines[node].address
        self.client.udp.sendto(raw, (address, PACKET))

    def configure(self, routes, *, services, idle_timeout_ms=15000, warmup=()):
        """Write the configuration; return when the store acknowledged it."""
        self.version += 3
        self.store.put("op/config", {
            "version": self.version, "routes": routes,
            "services": [{"name": one, "health_path": "/healthz", "max_conns": 2000,
                          "protocol": "h1", "tls": False, **dict(warmup)} for one in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": idle_timeout_ms},
        })
        self.record(f"acknowledged configuration {self.version}")
        return time.monotonic()

    async def wait(self, condition, seconds):
        """Wait for a condition; return whether it came true."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return True
            await asyncio.sleep(0.02)
        return False

    def close(self):
        """End all processes that this fleet started."""
        for task in self.tasks:
            task.cancel()
        for machine in self.machines.values():
            if machine.process is not None and machine.process.poll() is None:
                machine.send(signal.SIGCONT)
                machine.process.kill()
            if machine.process is not None:
                machine.process.wait()
        if folder := os.environ.get("KEEP_LOGS"):
            for path in self.folder.glob("*.log"):
                Path(folder, path.name).write_bytes(path.read_bytes())
        self.temporary.cleanup()


def route_entry(name, host, port, service, kind="safe"):
    """Return a route of the configuration."""
    return {"name": name, "host": host, "prefix": f"/{port}/", "type": kind, "timeout_ms": 2000,
            "target_latency_ms": 250, "priority": 1, "service": service, "attempts": 2}


def play(case, folder):
    """Run the coroutine ``case(trouble, fleets)``, write the record, and exit with its verdict."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleets = []

    async def run():
        # Connections that are open at the end are cancelled; that is no error of the case.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return await asyncio.wait_for(case(trouble, fleets), 112)

    signal.signal(signal.SIGTERM, signal.default_int_handler)  # end the processes then, too
    try:
        verdict, text = asyncio.run(run())
    except (Exception, KeyboardInterrupt) as error:  # the case couldn't run
        verdict, text = 2, f"couldn't run: {type(error).__name__}: {error}"
    lines = [line for fleet in fleets for line in fleet.lines]
    for fleet in fleets:
        fleet.close()
    verdict_line = f"trouble: {int(trouble)}; exit {verdict}: {text}"
    Path(folder, "record.txt").write_text("\n".join([*lines, verdict_line]) + "\n")
    print(verdict_line, flush=True)
    os._exit(verdict)  # without the warnings of connections that are still open
