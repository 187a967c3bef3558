"""Placement of new connections among the agents of one service."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from laburnumbridge.core import hash64
from laburnumbridge.placement.actions import ForwardHandshake
from laburnumbridge.placement.actions import KeepHandshake
from laburnumbridge.placement.actions import RequestReconnect
from laburnumbridge.placement.busy_mean import BusyMean
from laburnumbridge.placement.count_history import CountHistory
from laburnumbridge.placement.events import BusySlotsChanged
from laburnumbridge.placement.events import DrainStarted
from laburnumbridge.placement.events import FlowClosed
from laburnumbridge.placement.events import FlowOpened
from laburnumbridge.placement.events import HandshakeArrived
from laburnumbridge.placement.events import LoadReport
from laburnumbridge.placement.events import SiblingChanged
from laburnumbridge.placement.events import SiblingReported
from laburnumbridge.placement.events import SiblingState
from laburnumbridge.placement.events import Tick
from laburnumbridge.placement.events import UpstreamStartedCold
from laburnumbridge.placement.handshake_table import HandshakeTable
from laburnumbridge.placement.rebalancer import Rebalancer
from laburnumbridge.placement.sibling import ReportBaseline
from laburnumbridge.placement.sibling import Sibling
from laburnumbridge.placement.slow_start import INITIAL_SHARE
from laburnumbridge.placement.slow_start import grown_share

if TYPE_CHECKING:
    from laburnumbridge.core import AgentNumber
    from laburnumbridge.placement.actions import PlacementAction
    from laburnumbridge.placement.events import PlacementEvent
    from laburnumbridge.placement.placement_settings import PlacementSettings

REBALANCE_INTERVAL_S = 1.0
# Rebalancing counts a growing upstream with its share this much later: reports are up to 5 s old
# and a client takes up to 2 s to reconnect. Placement still uses its present share.
REBALANCE_LEAD_S = 7.0


class Placement:
    """Decides which agent receives a new connection, and how many flows to move to siblings.

    Each agent decides on its own, from its counts and the siblings' load reports.
    """

    def __init__(self, *, settings: PlacementSettings) -> None:
        self._settings = settings
        self._open_flows = 0
        self._busy = BusyMean()
        self._arrivals = CountHistory()
        self._closes = CountHistory()
        self._opens = CountHistory()
        self._moved = CountHistory()
        self._sibling_by_number: dict[AgentNumber, Sibling] = {}
        self._live_siblings: list[AgentNumber] = []
        self._handshakes = HandshakeTable(
            limit=settings.handshake_limit, lifetime_s=settings.handshake_lifetime_s
        )
        self._rebalancer = Rebalancer(settings=settings)
        self._next_check_at = -math.inf
        self._cold_since = -math.inf
        self._is_draining = False

    def handle(self, event: PlacementEvent, now: float) -> list[PlacementAction]:
        """Apply one event and return the resulting actions; ``now`` is in monotonic seconds."""
        match event:
            case HandshakeArrived():
                return [self._place(event, now)]
            case FlowOpened():
                self._open_flows += 1
                self._opens.add(now)
            case FlowClosed():
                self._close_flow(now)
            case BusySlotsChanged(busy_slots=busy_slots):
                self._busy.change(busy_slots, now)
            case SiblingReported():
                self._apply_report(event, now)
            case SiblingChanged():
                self._change_sibling(event)
            case UpstreamStartedCold():
                self._cold_since = now
            case DrainStarted():
                self._is_draining = True
            case Tick():
                return self._rebalance(now)
        return []

    def next_deadline(self) -> float:
        """Return when the driver must send a `Tick` (monotonic seconds), -infinity at first."""
        return self._next_check_at

    def load_report(self, now: float) -> LoadReport:
        """Return the load to report to the siblings."""
        return LoadReport(
            open_flows=self._open_flows,
            connections=self._settings.connections,
            busy_slots=self._busy.mean(now),
            slots=self._settings.slots,
            slow_start_share=self._slow_start_share(now),
        )

    def _place(self, event: HandshakeArrived, now: float) -> KeepHandshake | ForwardHandshake:
        earlier = self._handshakes.get(event.key, now)
        if event.was_forwarded:
            decision: KeepHandshake | ForwardHandshake = KeepHandshake(event.key)
        elif earlier is not None and self._is_valid(earlier):
            return earlier
        else:
            self._arrivals.add(now)
            decision = self._decide(event.key, now)
        if decision != earlier:
            self._record_forward(decision, now)
        self._handshakes.put(event.key, decision, now)
        return decision

    def _is_valid(self, decision: KeepHandshake | ForwardHandshake) -> bool:
        if isinstance(decision, KeepHandshake):
            return True
        sibling = self._sibling_by_number.get(decision.agent_number)
        # A leaving sibling has already begun the handshake; a failed one never answers it.
        return sibling is not None and sibling.state in (SiblingState.LIVE, SiblingState.LEAVING)

    def _record_forward(self, decision: KeepHandshake | ForwardHandshake, now: float) -> None:
        if isinstance(decision, ForwardHandshake):
            self._sibling_by_number[decision.agent_number].forwards.add(now)

    def _decide(self, key: bytes, now: float) -> KeepHandshake | ForwardHandshake:
        candidates = self._pick_two(key, self._eligible(now))
        if self._is_draining and not candidates:
            candidates = self._pick_two(key, self._live_siblings)
        if not candidates:
            return KeepHandshake(key)
        lower = min(candidates, key=lambda number: (self._load_of(number, now), number))
        if self._is_draining or self._is_clearly_less_loaded(lower, now):
            return ForwardHandshake(key, lower)
        return KeepHandshake(key)

    def _pick_two(self, key: bytes, numbers: list[AgentNumber]) -> list[AgentNumber]:
        if len(numbers) <= 2:
            return numbers
        hashed = hash64(key, seed=self._settings.seed)
        first = hashed % len(numbers)
        step = 1 + (hashed >> 32) % (len(numbers) - 1)
        return [numbers[first], numbers[(first + step) % len(numbers)]]

    def _is_clearly_less_loaded(self, number: AgentNumber, now: float) -> bool:
        own = (self._open_flows + 1) / self._own_weight(now)
        other = self._load_of(number, now)
        if other < own * (1 - self._settings.forward_margin):
            return True
        return other <= own and self._is_less_busy(number, now)

    def _is_less_busy(self, number: AgentNumber, now: float) -> bool:
        baseline = self._sibling_by_number[number].baseline
        if (
            baseline is None
            or baseline.report.slow_start_share < 1
            or self._slow_start_share(now) < 1
        ):
            return False
        own = self._busy.mean(now) / self._settings.slots
        return baseline.report.busy_slots / baseline.report.slots < own - self._settings.busy_margin

    def _weight_of(self, number: AgentNumber, now: float) -> float:
        slow_start_s = self._settings.slow_start_s
        return self._sibling_by_number[number].weight(now, slow_start_s=slow_start_s)

    def _load_of(self, number: AgentNumber, now: float) -> float:
        weight = self._weight_of(number, now)
        if not weight:
            return math.inf
        return (self._estimated_flows(number) + 1) / weight

    def _estimated_flows(self, number: AgentNumber) -> float:
        """Return an estimate of the sibling's open flows now; 0 before its first report.

        It assumes that the hash brings the sibling as many new flows as this agent, that its
        flows end at the same rate, and that the other agents forward to it as many flows as this
        one does.
        """
        sibling = self._sibling_by_number[number]
        baseline = sibling.baseline
        if baseline is None:
            return 0.0
        arrivals = self._arrivals.total - baseline.arrivals
        closes = self._closes.total - baseline.closes
        sibling_flows = baseline.report.open_flows
        sibling_closes = closes * sibling_flows / max(self._open_flows, sibling_flows, 1)
        forwards = (sibling.forwards.total - baseline.forwards) * len(self._live_siblings)
        return max(0.0, sibling_flows + arrivals - sibling_closes + forwards)

    def _eligible(self, now: float) -> list[AgentNumber]:
        oldest = now - self._settings.report_lifetime_s
        eligible = []
        for number in self._live_siblings:
            baseline = self._sibling_by_number[number].baseline
            if baseline is None or baseline.as_of < oldest:
                continue
            if self._estimated_flows(number) < baseline.report.connections:
                eligible.append(number)
        return eligible

    def _apply_report(self, event: SiblingReported, now: float) -> None:
        sibling = self._sibling_by_number.get(event.agent_number)
        # A late report must not restore a removed agent.
        if sibling is None:
            return
        as_of = now - event.age_s
        if sibling.baseline is not None and as_of < sibling.baseline.as_of:
            return
        sibling.baseline = ReportBaseline(
            report=event.report,
            as_of=as_of,
            arrivals=self._arrivals.total_at(as_of),
            closes=self._closes.total_at(as_of),
            forwards=sibling.forwards.total_at(as_of),
        )

    def _change_sibling(self, event: SiblingChanged) -> None:
        if event.state is SiblingState.GONE:
            self._sibling_by_number.pop(event.agent_number, None)
        else:
            sibling = self._sibling_by_number.setdefault(event.agent_number, Sibling())
            sibling.state = event.state
        self._live_siblings = sorted(
            number
            for number, sibling in self._sibling_by_number.items()
            if sibling.state is SiblingState.LIVE
        )

    def _close_flow(self, now: float) -> None:
        self._open_flows = max(0, self._open_flows - 1)
        self._closes.add(now)
        if self._rebalancer.close_flow():
            self._moved.add(now)

    def _rebalance(self, now: float) -> list[PlacementAction]:
        if now < self._next_check_at:
            return []
        self._next_check_at = now + REBALANCE_INTERVAL_S
        siblings = self._eligible(now)
        has_enough_reports = 2 * len(siblings) >= len(self._live_siblings) > 0
        if self._is_draining or not has_enough_reports or self._slow_start_share(now) < 1:
            self._rebalancer.pause()
            return []
        baselines = [
            baseline
            for number in siblings
            if (baseline := self._sibling_by_number[number].baseline)
        ]
        as_of = sum(baseline.as_of for baseline in baselines) / len(baselines)
        own_flows_then = self._open_flows_at(as_of)
        flows = own_flows_then + sum(baseline.report.open_flows for baseline in baselines)
        weight = self._own_weight(now) + sum(
            self._weight_of(number, now + REBALANCE_LEAD_S) for number in siblings
        )
        target = flows * self._own_weight(now) / weight
        moved = self._moved.total - self._moved.total_at(as_of)
        count = self._rebalancer.check(open_flows=own_flows_then - moved, target=target, now=now)
        return [RequestReconnect(count)] if count else []

    def _open_flows_at(self, at: float) -> int:
        """Return this agent's number of open flows at ``at``, the time of the siblings' reports.

        Rebalancing compares counts of the same time. Estimates of the present rise with each flow
        that reconnects, so agents that had not begun to request reconnects would never begin.
        """
        closed = self._closes.total - self._closes.total_at(at)
        opened = self._opens.total - self._opens.total_at(at)
        return self._open_flows + closed - opened

    def _own_weight(self, now: float) -> float:
        return self._settings.connections * self._slow_start_share(now)

    def _slow_start_share(self, now: float) -> float:
        elapsed_s = now - self._cold_since
        slow_start_s = self._settings.slow_start_s
        if elapsed_s >= slow_start_s:
            return 1.0
        return grown_share(INITIAL_SHARE, elapsed_s=elapsed_s, slow_start_s=slow_start_s)
