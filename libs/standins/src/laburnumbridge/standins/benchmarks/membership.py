"""Detection time, false positives and cost of membership, on a fake clock."""

from __future__ import annotations

import heapq
import math
import time
import tracemalloc
from collections import Counter
from typing import TYPE_CHECKING
from typing import ClassVar
from typing import NamedTuple

from laburnumbridge import membership
from laburnumbridge.cli.benchmark import Benchmark
from laburnumbridge.core import Choice
from laburnumbridge.core import FailureDomain
from laburnumbridge.core import Incarnation
from laburnumbridge.core import ProcessId
from laburnumbridge.core import ServiceName
from laburnumbridge.membership import DATAGRAM_OVERHEAD_BYTES
from laburnumbridge.membership import TICK_INTERVAL_S
from laburnumbridge.membership import Member
from laburnumbridge.membership import MemberState
from laburnumbridge.membership import Role
from laburnumbridge.membership import SendMessage
from laburnumbridge.membership.gossip_queue import GOSSIP_FANOUT
from laburnumbridge.standins.fake_network import FakeNetwork

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from laburnumbridge.cli.benchmark import Figure

FULL_BALANCERS = 780
FULL_AGENTS = 8_500
DOMAINS = 5
SERVICE_SIZE = 3
SIZES = (10, 50, 200)
SHARES = {"p50": 0.5, "p99": 0.99, "max": 1.0}
# One heartbeat a second to every other process.
HEARTBEATS_BYTES_S = (FULL_BALANCERS + FULL_AGENTS - 1) * (DATAGRAM_OVERHEAD_BYTES + 15)
SETTLE_S = 20.0
STEADY_S = 10.0
# In simulated time; the state of a cut no longer changes after the suspicions are decided.
CUT_S = 60.0
FULL_SIZE_S = 30.0
FULL_SIZE_WARM_TICKS = 200
LATENCY_S = 0.0015
JITTER_S = 0.002
FIRST_INCARNATION = 1_000


def make_members(
    *, balancers: int, agents: int, domains: int = DOMAINS, service_size: int = SERVICE_SIZE
) -> tuple[Member, ...]:
    """Return a fleet spread evenly over failure domains."""
    made = []
    for number in range(balancers + agents):
        agent = number - balancers
        role = Role.BALANCER if agent < 0 else Role.AGENT
        place = number if agent < 0 else agent
        member = Member(
            process_id=ProcessId(f"{role}-{place:04d}"),
            role=role,
            failure_domain=FailureDomain(f"domain-{place % domains}"),
            service=None if agent < 0 else ServiceName(f"service-{agent // service_size}"),
        )
        made.append(member)
    return tuple(made)


class Observation(NamedTuple):
    """A state that ``observer`` has concluded at time ``at``."""

    at: float
    observer: ProcessId
    change: membership.StateChanged


class Fleet:
    """Detectors on a `FakeNetwork`; processes can be killed, paused, restarted and cut off."""

    def __init__(
        self,
        *,
        members: tuple[Member, ...],
        seed: int,
        loss: float = 0.0,
        doubled: float = 0.0,
        jitter_s: float = JITTER_S,
    ) -> None:
        self.now = 0.0
        self.network: FakeNetwork[membership.Message] = FakeNetwork(
            seed=seed, latency_s=LATENCY_S, jitter_s=jitter_s, loss=loss, doubled=doubled
        )
        self.members = members
        self.role_by_id = {member.process_id: member.role for member in members}
        self.observations: list[Observation] = []
        self.actions: list[tuple[ProcessId, membership.Action]] = []
        self.detector_by_id: dict[ProcessId, membership.Detector] = {}
        self.bytes_by_id: Counter[ProcessId] = Counter()
        self.messages_by_id: Counter[ProcessId] = Counter()
        self.cpu_s_by_role = dict.fromkeys(Role, 0.0)
        self._choice = Choice(seed=seed)
        self._ticks: list[tuple[float, ProcessId]] = []
        self._held_by_id: dict[ProcessId, list[membership.MessageReceived]] = {}
        for process_id in self.role_by_id:
            self.start(process_id)
            heapq.heappush(self._ticks, (self._choice.fraction() * TICK_INTERVAL_S, process_id))

    def start(self, process_id: ProcessId, *, incarnation: int = FIRST_INCARNATION) -> None:
        """Start a process, or a newer one under the same identifier."""
        self.detector_by_id[process_id] = membership.Detector(
            process_id=process_id,
            incarnation=Incarnation(incarnation),
            seed=self._choice.below(1 << 32),
        )
        self._handle(process_id, membership.ListReceived(1, self.members))

    def kill(self, process_ids: Iterable[ProcessId]) -> None:
        """End processes without notice."""
        for process_id in process_ids:
            self.detector_by_id.pop(process_id, None)

    def pause(self, process_id: ProcessId) -> None:
        """Freeze a process; messages to it are held until it resumes."""
        self._held_by_id[process_id] = []

    def resume(self, process_id: ProcessId) -> None:
        """Resume a process; it first handles the messages that were held."""
        for event in self._held_by_id.pop(process_id):
            self._handle(process_id, event)

    def run(self, seconds: float) -> None:
        """Advance the fake clock by ``seconds``."""
        end = self.now + seconds
        while (at := min(self._ticks[0][0], self.network.next_at() or math.inf)) <= end:
            self.now = at
            if at == self._ticks[0][0]:
                self._tick()
            else:
                self._deliver()
        self.now = end

    def observers_of(self, process_id: ProcessId, state: MemberState) -> dict[ProcessId, float]:
        """Return the time at which each observer first concluded a state of a process."""
        first: dict[ProcessId, float] = {}
        for at, observer, change in self.observations:
            if change.process_id == process_id and change.state is state:
                first.setdefault(observer, at)
        return first

    def declared_dead(self) -> set[ProcessId]:
        """Return the processes that any observer has declared dead."""
        dead = MemberState.DEAD
        return {seen.change.process_id for seen in self.observations if seen.change.state is dead}

    def all_live(self) -> bool:
        """Return whether every process is live in the views of all processes."""
        views = [detector.view for detector in self.detector_by_id.values()]
        return all(view.state(n) is MemberState.LIVE for view in views for n in self.role_by_id)

    def reset_counters(self) -> None:
        """Set the counts of bytes, messages and processor time to 0."""
        self.bytes_by_id.clear()
        self.messages_by_id.clear()
        self.cpu_s_by_role = dict.fromkeys(Role, 0.0)

    def _tick(self) -> None:
        process_id = self._ticks[0][1]
        heapq.heapreplace(self._ticks, (self.now + TICK_INTERVAL_S, process_id))
        if process_id not in self._held_by_id:
            self._handle(process_id, membership.Tick())

    def _deliver(self) -> None:
        for delivery in self.network.take_due(self.now):
            destination = ProcessId(delivery.destination)
            event = membership.MessageReceived(ProcessId(delivery.source), delivery.message)
            if destination in self._held_by_id:
                self._held_by_id[destination].append(event)
            else:
                self._handle(destination, event)

    def _handle(self, process_id: ProcessId, event: membership.Event) -> None:
        detector = self.detector_by_id.get(process_id)
        if detector is None:
            return
        started = time.process_time()
        actions = detector.handle(event, self.now)
        self.cpu_s_by_role[self.role_by_id[process_id]] += time.process_time() - started
        for action in actions:
            if isinstance(action, SendMessage):
                to, message = action.destination, action.message
                self.bytes_by_id[process_id] += message.size_bytes() + DATAGRAM_OVERHEAD_BYTES
                self.messages_by_id[process_id] += 1
                self.network.send(source=process_id, destination=to, message=message, now=self.now)
            elif isinstance(action, membership.StateChanged):
                self.observations.append(Observation(self.now, process_id, action))
            else:
                self.actions.append((process_id, action))


class MembershipBenchmark(Benchmark):
    """Measures fleets of three sizes, faults, and one detector with the list of the full size."""

    name: ClassVar[str] = "membership"

    def run(self) -> Mapping[str, Figure]:
        """Return the figures by key; slopes are per instance, from 50 to 200 instances."""
        rows = [measure_size(size) for size in SIZES]
        carried = {role.value: extrapolate(rows[-2][role], rows[-1][role]) for role in Role}
        full = {role.value: measure_full_size(role) for role in Role}
        detection = [measure_detection(loss) for loss in (0.0, 0.05)]
        p99_s = max(figures["p99_s"] for figures in detection)
        # Gossip rounds that a failure domain of the full size needs beyond the measured one.
        rounds = math.ceil(math.log(FULL_BALANCERS / (50 * 2 // 5), GOSSIP_FANOUT))
        hop_s = TICK_INTERVAL_S + LATENCY_S + JITTER_S
        table: dict[str, Figure] = {
            "sizes_10_50_200": [{role: {**row[role]} for role in row} for row in rows],
            "detection_without_loss": {**detection[0]},
            "detection_with_loss_0.05": {**detection[1]},
            "detect_s_p99_full_size_extrapolated": round(p99_s + rounds * hop_s, 3),
            "carried_to_full_size_by_slope": {**carried},
            "one_detector_with_full_list_and_simulated_peers": {**full},
            "failure_domain_lost": measure_lost_domain(),
            "region_cut_and_heal": measure_cut(),
            "platform_list_alone_detect_s_assumed": 30.0,
            "all_to_all_heartbeats_bytes_s": HEARTBEATS_BYTES_S,
        }
        return {
            "detect_s_p99": p99_s,
            "false_dead": measure_false_positives(),
            "control_bytes_s": {role: found["bytes_s"] for role, found in carried.items()},
            "control_cpu_pct": {role: found["cpu_pct"] for role, found in full.items()},
            "control_memory_mb": {role.value: measure_memory_mb(role) for role in Role},
            "membership": table,
        }


def percentile(values: list[float], share: float) -> float:
    """Return the value at a share of the sorted values, rounded to three decimals."""
    return round(sorted(values)[min(len(values) - 1, int(share * len(values)))], 3)


def settled_fleet(*, size: int, seed: int, loss: float = 0.0, service_size: int = 3) -> Fleet:
    """Return a fleet with two balancers for three agents, after its announcements have spread."""
    agents = size - size * 2 // 5
    members = make_members(balancers=size - agents, agents=agents, service_size=service_size)
    fleet = Fleet(members=members, seed=seed, loss=loss)
    fleet.run(SETTLE_S)
    fleet.observations.clear()
    fleet.reset_counters()
    return fleet


def measure_size(size: int) -> dict[str, dict[str, float]]:
    """Measure the steady state of a fleet, by role and per process."""
    fleet = settled_fleet(size=size, seed=size)
    fleet.run(STEADY_S)
    figures = {}
    for role in Role:
        names = [name for name, own_role in fleet.role_by_id.items() if own_role is role]
        totals = {
            "bytes_s": sum(fleet.bytes_by_id[name] for name in names),
            "messages_s": sum(fleet.messages_by_id[name] for name in names),
            "cpu_pct": fleet.cpu_s_by_role[role] * 100,
        }
        seconds = len(names) * STEADY_S
        figures[role.value] = {key: round(total / seconds, 4) for key, total in totals.items()}
    return figures


def extrapolate(low: Mapping[str, float], high: Mapping[str, float]) -> dict[str, Figure]:
    """Extrapolate the two larger sizes to the full size linearly; falling slopes are noise."""
    carried: dict[str, Figure] = {}
    more = FULL_BALANCERS + FULL_AGENTS - SIZES[-1]
    for key in low:
        slope = (high[key] - low[key]) / (SIZES[-1] - SIZES[-2])
        carried[f"{key}_slope"] = round(slope, 6)
        carried[key] = round(high[key] + max(0.0, slope) * more, 3)
    return carried


def delays_s(fleet: Fleet, victim: ProcessId, killed_at: float) -> list[float]:
    """Return after how many seconds each balancer and sibling declared a killed process dead.

    It is inf where one didn't.
    """
    services = {member.process_id: member.service for member in fleet.members}
    declared_at = fleet.observers_of(victim, MemberState.DEAD)
    return [
        declared_at.get(name, math.inf) - killed_at
        for name in fleet.detector_by_id
        if fleet.role_by_id[name] is Role.BALANCER or services[name] == services[victim]
    ]


def measure_detection(loss: float) -> dict[str, float]:
    """Kill one agent after another, in services of three and of seven."""
    delays: list[float] = []
    for seed in range(4):
        fleet = settled_fleet(size=50, seed=seed, loss=loss, service_size=7 if seed % 2 else 3)
        for number in range(0, 28, 7):
            victim, killed_at = ProcessId(f"agent-{number:04d}"), fleet.now
            fleet.kill([victim])
            fleet.run(5.0 + seed * 0.013)
            delays += delays_s(fleet, victim, killed_at)
    return {f"{k}_s": percentile(delays, v) for k, v in SHARES.items()}


def measure_false_positives() -> dict[str, Figure]:
    """Count live processes declared dead under loss, under pauses of 2 s, and under both."""
    found: dict[str, Figure] = {}
    for label, loss, pauses in (("loss", 0.05, 0), ("pauses", 0.0, 40), ("both", 0.05, 40)):
        fleet = settled_fleet(size=50, seed=3, loss=loss)
        for number, name in enumerate(sorted(fleet.detector_by_id)[:pauses]):
            fleet.pause(name)
            fleet.run(2.0)
            fleet.resume(name)
            fleet.run(1.0 + number * 0.017)
        fleet.run(0.0 if pauses else 120.0)
        found[label] = len(fleet.declared_dead())
    return found


def measure_lost_domain() -> dict[str, Figure]:
    """Lose a fifth of a fleet at once."""
    fleet = settled_fleet(size=100, seed=4)
    lost = {m.process_id for m in fleet.members if m.failure_domain == "domain-2"}
    killed_at = fleet.now
    fleet.kill(lost)
    fleet.run(15.0)
    delays = [delay for name in lost for delay in delays_s(fleet, name, killed_at)]
    false_dead = len(fleet.declared_dead() - lost)
    return {"lost": len(lost), "false_dead": false_dead, "max_s": percentile(delays, 1.0)}


def measure_cut() -> dict[str, Figure]:
    """Cut three failure domains off from two for `CUT_S` in place of an hour, then heal."""
    fleet = settled_fleet(size=50, seed=5)
    larger = {m.process_id for m in fleet.members if m.failure_domain < "domain-3"}
    fleet.network.cut(larger, fleet.detector_by_id.keys() - larger)
    fleet.run(CUT_S)
    fleet.network.heal()
    most_bytes, live_after_s = 0, math.inf
    for second in range(1, 21):
        fleet.reset_counters()
        fleet.run(1.0)
        most_bytes = max(most_bytes, *fleet.bytes_by_id.values())
        live_after_s = min(live_after_s, second if fleet.all_live() else math.inf)
    return {
        "cut_s_simulated": CUT_S,
        "most_bytes_of_a_process_in_one_second_after_heal": most_bytes,
        "all_live_after_s": live_after_s,
    }


def measure_memory_mb(role: Role) -> float:
    """Return the memory of a view at full size in MB; a balancer's has every incarnation."""
    tracemalloc.start()
    view = membership.MembershipView()
    members = make_members(balancers=FULL_BALANCERS, agents=FULL_AGENTS)
    view.apply_list(version=1, members=members, now=0.0)
    for number, member in enumerate(members if role is Role.BALANCER else members[:SERVICE_SIZE]):
        life = membership.LivenessVersion(Incarnation(1_700_000_000 + number))
        subject = member.process_id
        record = membership.LivenessRecord(subject, membership.Claim.ALIVE, life, subject)
        view.apply_record(record, 0.0)
    used_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    return round(used_mb, 2)


def measure_full_size(role: Role) -> dict[str, Figure]:
    """Run one detector with the full list; its peers answer at once and probe it as often."""
    members = make_members(balancers=FULL_BALANCERS, agents=FULL_AGENTS)
    own = next(m.process_id for m in members if m.role is role)
    life = membership.LivenessVersion(Incarnation(FIRST_INCARNATION))
    detector = membership.Detector(process_id=own, incarnation=life.incarnation, seed=1)
    detector.handle(membership.ListReceived(1, members), 0.0)
    sent_bytes, started = 0, 0.0
    ticks = int(FULL_SIZE_S / TICK_INTERVAL_S)
    for tick in range(ticks):
        now = tick * TICK_INTERVAL_S
        if tick == FULL_SIZE_WARM_TICKS:
            sent_bytes, started = 0, time.process_time()
        for action in detector.handle(membership.Tick(), now):
            if not isinstance(action, SendMessage):
                continue
            sent_bytes += action.message.size_bytes() + DATAGRAM_OVERHEAD_BYTES
            if isinstance(action.message, membership.Ping):
                peer, ack = action.destination, membership.Ack(action.message.sequence, life)
                detector.handle(membership.MessageReceived(peer, ack), now)
                detector.handle(membership.MessageReceived(peer, membership.Ping(tick, life)), now)
                sent_bytes += ack.size_bytes() + DATAGRAM_OVERHEAD_BYTES
    seconds = (ticks - FULL_SIZE_WARM_TICKS) * TICK_INTERVAL_S
    cpu_pct = (time.process_time() - started) / seconds * 100
    return {"cpu_pct": round(cpu_pct, 4), "bytes_s": round(sent_bytes / seconds, 1)}
