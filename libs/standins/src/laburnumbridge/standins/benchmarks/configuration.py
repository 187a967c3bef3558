"""Time, reads and bytes until a change of the lists is in force everywhere."""

from __future__ import annotations

import heapq
import itertools
import json
import math
import time
from collections import Counter
from statistics import linear_regression
from statistics import median
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from laburnumbridge import configuration as relay
from laburnumbridge.cli.benchmark import Benchmark
from laburnumbridge.core import FailureDomain
from laburnumbridge.core import Incarnation
from laburnumbridge.core import ProcessId
from laburnumbridge.standins.fake_network import FakeNetwork

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from laburnumbridge.cli.benchmark import Figure

STEP_S = 0.01
TICK_S = 0.25
PLATFORM_LATENCY_S = 0.003
VIEW_LAG_S = 5.0
# Bytes around a sealed datagram (IP, UDP, header, tag) and around a gRPC or HTTP call.
DATAGRAM_OVERHEAD = 90
CALL_OVERHEAD = 400
FULL_FLEET = 9_280
FULL_DOMAINS = 5
BURST_CLIENT_ACCOUNTS = 2_000
SIZES = (10, 50, 200)
LOSS = 0.05


class ModelPlatform:
    """Values with versions, reads and waiting watches on the fake clock."""

    def __init__(self) -> None:
        self.content_by_name: dict[str, tuple[int, bytes]] = {}
        self.down = False
        self.unreachable: set[str] = set()
        self.reads_by_second: Counter[int] = Counter()
        self._sequence = itertools.count()
        self._due: list[tuple[float, int, str, relay.Event]] = []
        self._watches_by_name: dict[str, list[tuple[float, str, int]]] = {}

    def publish(self, name: str, version: int, payload: bytes, now: float) -> None:
        """Replace a value and answer the watches that wait for a newer one."""
        self.content_by_name[name] = (version, payload)
        watches, self._watches_by_name[name] = self._watches_by_name.get(name, []), []
        for _, reader, after in watches:
            self._answer(reader, name, after, now)

    def read(self, reader: str, request: relay.ReadPlatform, now: float) -> None:
        """Start a read; a watch waits until a newer version or its timeout."""
        self.reads_by_second[int(now)] += 1
        held = self.content_by_name.get(request.name, (0, b""))[0]
        cut_off = self.down or reader in self.unreachable
        if request.wait_s and not cut_off and held <= request.after:
            watch = (now + request.wait_s, reader, request.after)
            self._watches_by_name.setdefault(request.name, []).append(watch)
        else:
            self._answer(reader, request.name, request.after, now)

    def waiting_readers(self) -> set[str]:
        """Return the readers that have a waiting watch."""
        return {watch[1] for watches in self._watches_by_name.values() for watch in watches}

    def take_due(self, now: float) -> list[tuple[str, relay.Event]]:
        """Return the answers that have arrived."""
        for name, watches in self._watches_by_name.items():
            expired = [watch for watch in watches if watch[0] <= now]
            self._watches_by_name[name] = [watch for watch in watches if watch[0] > now]
            for _, reader, after in expired:
                self._answer(reader, name, after, now)
        due = []
        while self._due and self._due[0][0] <= now:
            due.append(heapq.heappop(self._due)[2:])
        return due

    def _answer(self, reader: str, name: str, after: int, now: float) -> None:
        version, payload = self.content_by_name.get(name, (0, b""))
        event: relay.Event = relay.PlatformNotModified(name)
        if self.down or reader in self.unreachable:
            event = relay.PlatformUnavailable(name)
        elif version > after:
            event = relay.PlatformAnswer(name, version, payload)
        heapq.heappush(self._due, (now + PLATFORM_LATENCY_S, next(self._sequence), reader, event))


class Change(NamedTuple):
    """A published version, and the seconds until each process had it or a later one in force."""

    name: str
    version: int
    at: float
    seconds_by_process: dict[str, float]


class RelayFleet:
    """Relays of a whole fleet on a fake clock, with one model platform and a fake network."""

    def __init__(
        self, *, size: int, seed: int = 1, loss: float = 0.0, jitter_s: float = 0.05
    ) -> None:
        self.now = 0.0
        self.platform = ModelPlatform()
        self.network: FakeNetwork[relay.Event] = FakeNetwork(
            seed=seed, latency_s=0.0015, jitter_s=jitter_s, loss=loss
        )
        self.domain_by_process = {f"p{n}": f"domain-{n % FULL_DOMAINS}" for n in range(size)}
        self.live: set[str] = set()
        self.changes: list[Change] = []
        # The highest version that a process served with, also in an earlier incarnation.
        self._highest: Counter[tuple[str, str]] = Counter()
        self.reverts = 0
        self.bytes_by_process: Counter[str] = Counter()
        self.platform_bytes_by_process: Counter[str] = Counter()
        self.cpu_s = 0.0
        self.relay_by_process: dict[str, relay.ConfigurationRelay] = {}
        self._seed = seed
        self._starts = 0
        self._at_time: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._tick_at: dict[str, float] = {}

    def publish(self, name: str, version: int, payload: bytes) -> None:
        """Publish a version on the platform now."""
        self.platform.publish(name, version, payload, self.now)
        self.changes.append(Change(name, version, self.now, {}))

    def start(self, processes: list[str], *, view_after_s: float = 0.0) -> None:
        """Start or restart processes; they receive the live view ``view_after_s`` later."""
        for process in processes:
            self._starts += 1
            self.live.add(process)
            self.relay_by_process[process] = relay.ConfigurationRelay(
                process=ProcessId(process),
                incarnation=Incarnation(self._starts),
                failure_domain=FailureDomain(self.domain_by_process[process]),
                seed=self._seed * 100_003 + self._starts,
                expected_fleet=len(self.domain_by_process),
            )
            self._tick_at[process] = self.now + TICK_S * (self._starts % 25) / 25
        self.after(view_after_s, self.share_view)

    def kill(self, processes: list[str], *, view_after_s: float = VIEW_LAG_S) -> None:
        """End processes; the views of the others show it ``view_after_s`` later."""
        self.live.difference_update(processes)
        self.after(view_after_s, self.share_view)

    def share_view(self) -> None:
        """Send the current view to every live process."""
        members = tuple(
            relay.Member(ProcessId(process), FailureDomain(self.domain_by_process[process]))
            for process in sorted(self.live)
        )
        for process in sorted(self.live):
            self._handle(process, relay.MembersChanged(members))

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        """Schedule a call ``seconds`` later on the fake clock."""
        heapq.heappush(self._at_time, (self.now + seconds, next(self._sequence), call))

    def run(self, seconds: float) -> None:
        """Advance the fake clock by ``seconds``."""
        for _ in range(round(seconds / STEP_S)):
            self.now = round(self.now + STEP_S, 6)
            while self._at_time and self._at_time[0][0] <= self.now:
                heapq.heappop(self._at_time)[2]()
            for reader, event in self.platform.take_due(self.now):
                self._handle(reader, event)
            for delivery in self.network.take_due(self.now):
                self._handle(delivery.destination, delivery.message)
            for process, at in self._tick_at.items():
                if at <= self.now:
                    self._tick_at[process] = at + TICK_S
                    self._handle(process, relay.Tick())

    def reads_s_max(self) -> int:
        """Return the most reads that started within one second."""
        return max(self.platform.reads_by_second.values(), default=0)

    def delays(self) -> list[float]:
        """Return after how many seconds each change was in force, for each live process.

        It is inf where the change isn't in force.
        """
        changes = [change.seconds_by_process for change in self.changes]
        return [times.get(process, math.inf) for times in changes for process in self.live]

    def _handle(self, process: str, event: relay.Event) -> None:
        if process not in self.live:
            return
        if isinstance(event, relay.PlatformAnswer):
            self.platform_bytes_by_process[process] += len(event.payload) + CALL_OVERHEAD
        started = time.perf_counter()
        actions = self.relay_by_process[process].handle(event, self.now)
        self.cpu_s += time.perf_counter() - started
        for action in actions:
            self._act(process, action)

    def _act(self, process: str, action: relay.Action) -> None:
        match action:
            case relay.ReadPlatform():
                self.platform.read(process, action, self.now)
            case relay.SendDigest():
                digest = relay.PeerDigest(ProcessId(process), action.digests, action.reply_wanted)
                size = len(msgspec.msgpack.encode(action.digests)) + DATAGRAM_OVERHEAD
                self._send(process, action.peer, digest, size)
            case relay.RequestValue():
                request = relay.PeerRequest(ProcessId(process), action.name, action.base_version)
                self._send(process, action.peer, request, CALL_OVERHEAD)
            case relay.SendValue():
                fields = [getattr(action, name) for name in action.__slots__[1:]]
                size = len(action.payload or b"") + sum(map(len, action.deltas)) + CALL_OVERHEAD
                self._send(process, action.peer, relay.PeerValue(ProcessId(process), *fields), size)
            case relay.ValidateCandidate():
                checked = (action.name, action.version, action.digest)
                self._handle(process, relay.CandidateValidated(*checked, valid=True))
            case relay.ActivateValue():
                self._put_in_force(process, action)
            case relay.StartServing():
                self._record_versions(process)

    def _send(self, process: str, peer: str, message: relay.Event, size: int) -> None:
        self.bytes_by_process[process] += size
        if peer in self.live:
            self.bytes_by_process[peer] += size
            self.network.send(source=process, destination=peer, message=message, now=self.now)
        elif isinstance(message, relay.PeerRequest):
            self._handle(process, relay.PeerUnavailable(ProcessId(peer), message.name))

    def _put_in_force(self, process: str, action: relay.ActivateValue) -> None:
        for change in self.changes:
            if change.name == action.name and change.version <= action.version:
                change.seconds_by_process.setdefault(process, self.now - change.at)
        if self.relay_by_process[process].serving:
            self._record_versions(process)

    def _record_versions(self, process: str) -> None:
        for name in relay.VALUE_NAMES:
            version = self.relay_by_process[process].version(name)
            self.reverts += version < self._highest[process, name]
            self._highest[process, name] = max(version, self._highest[process, name])


def client_account_list(version: int, size: int) -> bytes:
    """Return a guests list in which each version changes one entry."""
    plans = {(n * 7919) % size: f"plan-{n % 50}" for n in range(1, version + 1)}
    client_accounts = [
        {"name": f"guest-{n:05}", "token_sha256": f"{n:064x}", "plan": plans.get(n, "basic")}
        for n in range(size)
    ]
    return json.dumps({"default_plan": "basic", "guests": client_accounts}).encode()


def started_fleet(
    *, size: int, client_accounts: int, seed: int, jitter_s: float = 0.05
) -> RelayFleet:
    """Return a fleet with version 1 of every value in force; 5 % of its messages are lost."""
    fleet = RelayFleet(size=size, loss=LOSS, seed=seed, jitter_s=jitter_s)
    for name in relay.VALUE_NAMES:
        payload = client_account_list(1, client_accounts) if name == "guests" else b'{"a":1}'
        fleet.platform.publish(name, 1, payload, 0.0)
    fleet.start(list(fleet.domain_by_process))
    fleet.run(15.0)
    fleet.platform.reads_by_second.clear()
    fleet.bytes_by_process.clear()
    fleet.platform_bytes_by_process.clear()
    fleet.cpu_s = 0.0
    return fleet


class ConfigurationBenchmark(Benchmark):
    """Measures changes, a burst, failed watchers, an outage and restarts at several sizes."""

    name = "configuration"

    def run(self) -> Mapping[str, Figure]:
        """Return the worst time and rate over all runs, and a table by size."""
        rows = [_measure_size(size) for size in SIZES]
        cold = cold_start_reads_s(FULL_FLEET)
        delays = [row["changes_p99_s"] for row in rows]
        delay_slope, delay = linear_regression([math.log(size) for size in SIZES], delays)
        return {
            "config_all_s_max": max(row["all_s_max"] for row in rows),
            "platform_reads_s_max": max(cold, *(row["reads_s_max"] for row in rows)),
            "reverts": sum(row["reverts"] for row in rows),
            "config_cold_start_9280_reads_s": cold,
            "config_p99_9280_s": round(delay + delay_slope * math.log(FULL_FLEET), 1),
            "configuration": [dict(row) for row in rows],
        }


Row = dict[str, float | int]


def _measure_size(size: int) -> Row:
    changes, burst = _changes(size), _burst(size)
    fleets = [watcher_death(size), outage(size), restart(size)]
    faults_max_s = max(delay for fleet in fleets for delay in fleet.delays())
    slowest_s = max(changes["changes_max_s"], burst["burst_max_s"], faults_max_s)
    reads = [changes.pop("reads_s_max"), *(fleet.reads_s_max() for fleet in fleets)]
    reverts = [changes.pop("reverts"), burst.pop("reverts"), *(fleet.reverts for fleet in fleets)]
    return {
        "instances": size,
        **changes,
        **burst,
        "faults_max_s": round(faults_max_s, 2),
        "all_s_max": round(slowest_s, 2),
        "reads_s_max": max(reads),
        "reverts": sum(reverts),
        "baseline_steady_reads_s": size * len(relay.VALUE_NAMES) / relay.WATCH_WAIT_S,
        "baseline_restart_reads_s": size * len(relay.VALUE_NAMES),
    }


def _changes(size: int) -> Row:
    fleet = started_fleet(size=size, client_accounts=500, seed=1)
    for version in range(2, 12):
        fleet.publish("guests", version, client_account_list(version, 500))
        fleet.run(15.0 if version == 11 else 4.0)
    return {
        **_delays("changes", fleet),
        "steady_reads_s": round(fleet.platform.reads_by_second.total() / 51.0, 1),
        "reads_s_max": fleet.reads_s_max(),
        "cpu_us_per_change_and_node": round(fleet.cpu_s * 1e6 / size / len(fleet.changes)),
        "reverts": fleet.reverts,
    }


def _burst(size: int) -> Row:
    fleet = started_fleet(size=size, client_accounts=BURST_CLIENT_ACCOUNTS, seed=1)
    for version in range(2, 52):
        fleet.publish("guests", version, client_account_list(version, BURST_CLIENT_ACCOUNTS))
        fleet.run(0.2)
    fleet.run(5.0)
    relayed, read = fleet.bytes_by_process, fleet.platform_bytes_by_process
    row: Row = {
        "burst_relay_bytes_s_mean": round(relayed.total() / size / 15.0),
        "burst_relay_bytes_s_max": round(max(relayed.values()) / 15.0),
        "burst_platform_bytes_s_mean": round(read.total() / size / 15.0),
        "burst_value_bytes": len(client_account_list(51, BURST_CLIENT_ACCOUNTS)),
    }
    fleet.run(15.0)
    return {**row, **_delays("burst", fleet), "reverts": fleet.reverts}


def watcher_death(size: int) -> RelayFleet:
    """End every watcher just before a change, but at most four fifths of the fleet."""
    fleet = started_fleet(size=size, client_accounts=200, seed=3)
    fleet.kill(sorted(fleet.platform.waiting_readers())[: size * 4 // 5])
    fleet.publish("guests", 2, client_account_list(2, 200))
    fleet.run(20.0)
    return fleet


def outage(size: int) -> RelayFleet:
    """Take the platform down until every retry has backed off, then publish a change."""
    fleet = started_fleet(size=size, client_accounts=200, seed=4)
    fleet.platform.down = True
    fleet.run(60.0)
    fleet.platform.down = False
    fleet.publish("guests", 2, client_account_list(2, 200))
    fleet.run(20.0)
    return fleet


def restart(size: int) -> RelayFleet:
    """Restart every process just after a change."""
    fleet = started_fleet(size=size, client_accounts=200, seed=5)
    fleet.publish("guests", 2, client_account_list(2, 200))
    fleet.start(list(fleet.domain_by_process))
    fleet.run(15.0)
    return fleet


def cold_start_reads_s(size: int, seconds: float = 10.0) -> int:
    """Return the most reads in a second while no process has a peer and every read fails."""
    fleet = RelayFleet(size=size)
    fleet.platform.down = True
    fleet.start(list(fleet.domain_by_process), view_after_s=math.inf)
    fleet.run(seconds)
    return fleet.reads_s_max()


def _delays(prefix: str, fleet: RelayFleet) -> Row:
    delays = sorted(fleet.delays())
    return {
        f"{prefix}_p50_s": round(median(delays), 2),
        f"{prefix}_p99_s": round(delays[len(delays) * 99 // 100], 2),
        f"{prefix}_max_s": round(delays[-1], 2),
    }
