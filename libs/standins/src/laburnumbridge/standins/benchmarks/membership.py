"""Detection time, false verdicts and cost of membership, on a fake clock."""

from __future__ import annotations

import heapq
import time
from collections import Counter
from collections import defaultdict
from dataclasses import astuple
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from laburnumbridge.core import Choice
from laburnumbridge.core import FailureDomain
from laburnumbridge.core import Incarnation
from laburnumbridge.core import ProcessId
from laburnumbridge.core import ServiceName
from laburnumbridge.membership import DATAGRAM_OVERHEAD_BYTES
from laburnumbridge.membership import TICK_INTERVAL_S
from laburnumbridge.membership import Detector
from laburnumbridge.membership import ListReceived
from laburnumbridge.membership import Member
from laburnumbridge.membership import MemberState
from laburnumbridge.membership import MessageReceived
from laburnumbridge.membership import Role
from laburnumbridge.membership import SendMessage
from laburnumbridge.membership import StateChanged
from laburnumbridge.membership import Tick
from laburnumbridge.standins.fake_network import FakeNetwork

if TYPE_CHECKING:
    from collections.abc import Iterable

    from laburnumbridge.membership import Action
    from laburnumbridge.membership import Event
    from laburnumbridge.membership import Message

FULL_BALANCERS = 780
FULL_AGENTS = 8_500
FULL_DOMAINS = 5
SERVICE_SIZE = 3
SIZES = (10, 50, 200)
PLATFORM_LAG_S = 30.0
# Share of the messages that are encoded to check the estimates of their size.
ENCODE_ONE_IN = 20
HEARTBEAT_BYTES = DATAGRAM_OVERHEAD_BYTES + 15


def make_members(
    *, balancers: int, agents: int, domains: int, service_size: int = SERVICE_SIZE
) -> tuple[Member, ...]:
    """Return a fleet spread evenly over failure domains."""
    made = [
        Member(
            process_id=ProcessId(f"balancer-{n:04d}"),
            role=Role.BALANCER,
            failure_domain=FailureDomain(f"domain-{n % domains}"),
        )
        for n in range(balancers)
    ]
    made += [
        Member(
            process_id=ProcessId(f"agent-{n:04d}"),
            role=Role.AGENT,
            failure_domain=FailureDomain(f"domain-{n % domains}"),
            service=ServiceName(f"service-{n // service_size}"),
        )
        for n in range(agents)
    ]
    return tuple(made)


@dataclass(frozen=True, slots=True)
class Observation:
    """A state that ``observer`` has concluded at time ``at``."""

    at: float
    observer: ProcessId
    change: StateChanged


class Fleet:
    """Detectors on a `FakeNetwork`; processes can be killed, paused, restarted and cut off."""

    def __init__(
        self,
        *,
        members: tuple[Member, ...],
        seed: int,
        loss: float = 0.0,
        doubled: float = 0.0,
        jitter_s: float = 0.002,
    ) -> None:
        self.now = 0.0
        self.network: FakeNetwork[Message] = FakeNetwork(
            seed=seed, latency_s=0.0015, jitter_s=jitter_s, loss=loss, doubled=doubled
        )
        self.members = members
        self.role_by_id = {member.process_id: member.role for member in members}
        self.observations: list[Observation] = []
        self.actions: list[tuple[ProcessId, Action]] = []
        self.detector_by_id: dict[ProcessId, Detector] = {}
        self.bytes_by_id: Counter[ProcessId] = Counter()
        self.messages_by_id: Counter[ProcessId] = Counter()
        self.cpu_s_by_role: defaultdict[Role, float] = defaultdict(float)
        self.estimated_bytes = 0
        self.encoded_bytes = 0
        self._sampled = 0
        self._choice = Choice(seed=seed)
        self._ticks: list[tuple[float, ProcessId]] = []
        self._held_by_id: dict[ProcessId, list[tuple[ProcessId, Message]]] = {}
        for member in members:
            self.start(member.process_id)
            at = self._choice.fraction() * TICK_INTERVAL_S
            heapq.heappush(self._ticks, (at, member.process_id))

    def start(self, process_id: ProcessId, *, incarnation: int = 1_000) -> None:
        """Start a process, or a newer one under the same identifier."""
        seed = self._choice.below(1 << 32)
        self.detector_by_id[process_id] = Detector(
            process_id=process_id, incarnation=Incarnation(incarnation), seed=seed
        )
        self._handle(process_id, ListReceived(1, self.members))

    def kill(self, process_ids: Iterable[ProcessId]) -> None:
        """End processes without notice."""
        for process_id in process_ids:
            self.detector_by_id.pop(process_id, None)

    def pause(self, process_id: ProcessId) -> None:
        """Freeze a process; what is sent to it waits."""
        self._held_by_id[process_id] = []

    def resume(self, process_id: ProcessId) -> None:
        """Wake a process; it takes what has waited first."""
        for source, message in self._held_by_id.pop(process_id):
            self._handle(process_id, MessageReceived(source, message))

    def run(self, seconds: float) -> None:
        """Let ``seconds`` pass."""
        end = self.now + seconds
        while True:
            tick_at = self._ticks[0][0]
            next_at = self.network.next_at()
            if min(tick_at, next_at if next_at is not None else tick_at) > end:
                break
            if next_at is not None and next_at <= tick_at:
                self._deliver(next_at)
            else:
                self._tick()
        self.now = end

    def observers_of(self, process_id: ProcessId, state: MemberState) -> dict[ProcessId, float]:
        """Return when each observer first concluded a state."""
        first: dict[ProcessId, float] = {}
        for seen in self.observations:
            if seen.change.process_id == process_id and seen.change.state is state:
                first.setdefault(seen.observer, seen.at)
        return first

    def verdicts(self) -> set[ProcessId]:
        """Return the processes that anybody has held for dead."""
        return {
            seen.change.process_id
            for seen in self.observations
            if seen.change.state is MemberState.DEAD
        }

    def reset_counters(self) -> None:
        """Begin a new measurement."""
        self.bytes_by_id.clear()
        self.messages_by_id.clear()
        self.cpu_s_by_role.clear()

    def _tick(self) -> None:
        at, process_id = heapq.heappop(self._ticks)
        self.now = at
        heapq.heappush(self._ticks, (at + TICK_INTERVAL_S, process_id))
        if process_id not in self._held_by_id:
            self._handle(process_id, Tick())

    def _deliver(self, at: float) -> None:
        self.now = at
        for delivery in self.network.take_due(at):
            source = ProcessId(delivery.source)
            destination = ProcessId(delivery.destination)
            if destination in self._held_by_id:
                self._held_by_id[destination].append((source, delivery.message))
            else:
                self._handle(destination, MessageReceived(source, delivery.message))

    def _handle(self, process_id: ProcessId, event: Event) -> None:
        detector = self.detector_by_id.get(process_id)
        if detector is None:
            return
        started = time.process_time()
        actions = detector.handle(event, self.now)
        self.cpu_s_by_role[self.role_by_id[process_id]] += time.process_time() - started
        for action in actions:
            if isinstance(action, SendMessage):
                self._send(process_id, action)
            elif isinstance(action, StateChanged):
                self.observations.append(Observation(self.now, process_id, action))
            else:
                self.actions.append((process_id, action))

    def _send(self, process_id: ProcessId, action: SendMessage) -> None:
        size = action.message.size_bytes()
        if self._sampled % ENCODE_ONE_IN == 0:
            self.estimated_bytes += size
            self.encoded_bytes += len(msgspec.msgpack.encode(astuple(action.message)))
        self._sampled += 1
        self.bytes_by_id[process_id] += size + DATAGRAM_OVERHEAD_BYTES
        self.messages_by_id[process_id] += 1
        self.network.send(
            source=process_id,
            destination=action.destination,
            message=action.message,
            now=self.now,
        )
