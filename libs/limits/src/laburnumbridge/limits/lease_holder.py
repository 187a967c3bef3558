"""The holder of the leases of one plan."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.limits.actions import SendGrant
from laburnumbridge.limits.actions import SendQuery
from laburnumbridge.limits.contact_view import ContactView
from laburnumbridge.limits.events import FleetChanged
from laburnumbridge.limits.events import PlansChanged
from laburnumbridge.limits.events import ReportReceived
from laburnumbridge.limits.events import Tick
from laburnumbridge.limits.fair_shares import fair_level
from laburnumbridge.limits.held_agent import HeldAgent
from laburnumbridge.limits.limit_kind import LimitKind
from laburnumbridge.limits.messages import Grant
from laburnumbridge.limits.messages import GrantLine
from laburnumbridge.limits.messages import Query
from laburnumbridge.limits.timing import CLOCK_JUMP_S
from laburnumbridge.limits.timing import DENY_AFTER_S
from laburnumbridge.limits.timing import DENY_LATEST_S
from laburnumbridge.limits.timing import RENEW_S
from laburnumbridge.limits.timing import TERM_S
from laburnumbridge.limits.timing import TICK_S
from laburnumbridge.limits.timing import TIGHT_S

if TYPE_CHECKING:
    from laburnumbridge.core import Incarnation
    from laburnumbridge.core import PlanName
    from laburnumbridge.core import ProcessId
    from laburnumbridge.limits.actions import HolderAction
    from laburnumbridge.limits.events import HolderEvent
    from laburnumbridge.limits.held_line import HeldLine
    from laburnumbridge.limits.messages import Report
    from laburnumbridge.limits.plan_limits import PlanLimits

# Bounds the work of one tick when a holder starts in a large fleet.
QUERIES_PER_TICK = 1000
# Reserves leave 1 / this of the limit free for agents that run short.
KEPT_DIVISOR = 20
# A recall is repeated before the agents stop returning unused credit.
RECALL_INTERVAL_S = TIGHT_S / 2
# The largest part of an agent's credit that one rebalancing takes is 1 / this.
REBALANCE_DIVISOR = 4


class LeaseHolder:
    """Grants credit of one plan to the agents that admit.

    The sum of what is out never grows above the budget. A holder that starts, or that notices a
    pause of its own process, grants only what agents report to hold until all listed agents
    have reported or a term has passed.
    """

    def __init__(self, *, plan: PlanName, holder: ProcessId, incarnation: Incarnation) -> None:
        self._plan = plan
        self._holder = holder
        self._incarnation = incarnation
        self._list_version = 0
        self._limit_by_kind: dict[LimitKind, int] = {}
        self._agent_by_id: dict[ProcessId, HeldAgent] = {}
        self._contact = ContactView()
        self._sequence = 0
        self._started = False
        self._last_event_at = float("inf")
        self._next_tick_at = float("-inf")
        self._recalled_at = float("-inf")
        self._rebalanced_at = float("-inf")
        self._tight_until_by_kind: dict[LimitKind, float] = {}
        # When each agent ran short of a limit, the longest wait first.
        self._short_since: dict[LimitKind, dict[ProcessId, float]] = {k: {} for k in LimitKind}
        # Sums of what counts against the limit, of all agents and of the reachable ones.
        self._total_by_kind = dict.fromkeys(LimitKind, 0)
        self._here_by_kind = dict.fromkeys(LimitKind, 0)
        # What agents reported at first in a recovery; it may move between them.
        self._accounted_by_kind = dict.fromkeys(LimitKind, 0)

    @property
    def agents_held(self) -> int:
        """The number of agents with state here."""
        return len(self._agent_by_id)

    def out(self, kind: LimitKind) -> int:
        """Return what counts against a limit: credit out, and work open without a lease."""
        return self._total_by_kind[kind]

    def next_due(self, now: float) -> float:
        """Return when the next ``Tick`` is due (monotonic seconds)."""
        first = [next(iter(short.values())) for short in self._short_since.values() if short]
        return min([max(self._next_tick_at, now), *(since + DENY_LATEST_S for since in first)])

    def handle(self, event: HolderEvent, now: float) -> list[HolderAction]:
        """Apply one event; ``now`` is monotonic seconds."""
        actions: list[HolderAction] = []
        if now - self._last_event_at > CLOCK_JUMP_S:
            actions.extend(self._recover(now))
        self._last_event_at = now
        match event:
            case ReportReceived(report):
                actions.extend(self._take_report(report, now))
            case PlansChanged(list_version, limits_by_plan):
                limits = limits_by_plan.get(self._plan)
                actions.extend(self._change_limits(list_version, limits, now))
            case FleetChanged(listed, reachable):
                actions.extend(self._change_fleet(listed, reachable, now))
            case Tick():
                actions.extend(self._tick(now))
        return actions

    def _recover(self, now: float) -> list[HolderAction]:
        self._contact.start_recovery(now)
        self._accounted_by_kind = dict.fromkeys(LimitKind, 0)
        return self._query_unheard()

    def _query_unheard(self) -> list[HolderAction]:
        query = Query(plan=self._plan, holder=self._holder, incarnation=self._incarnation)
        return [SendQuery(agent, query) for agent in self._contact.unheard()[:QUERIES_PER_TICK]]

    def _change_limits(
        self, list_version: int, limits: PlanLimits | None, now: float
    ) -> list[HolderAction]:
        if list_version <= self._list_version:
            return []
        self._list_version = list_version
        self._limit_by_kind = {}
        for kind in LimitKind:
            limit = None if limits is None else limits.limit(kind)
            if limit is not None:
                self._limit_by_kind[kind] = limit
        return self._recall_excess(now) + self._serve_short(now)

    def _change_fleet(
        self, listed: frozenset[ProcessId], reachable: frozenset[ProcessId], now: float
    ) -> list[HolderAction]:
        self._contact.replace(listed, reachable, now)
        for agent in [agent for agent in self._agent_by_id if not self._contact.knows(agent)]:
            # An unlisted agent may still use its lease, so it is dropped when that has ended.
            if self._agent_by_id[agent].expires_at <= now:
                self._drop(agent)
        self._sum_up()
        if not self._started:
            self._started = True
            return self._recover(now)
        return self._query_unheard() + self._serve_short(now)

    def _tick(self, now: float) -> list[HolderAction]:
        actions = self._deny_overdue(now, DENY_LATEST_S)
        if now < self._next_tick_at:
            return actions
        self._next_tick_at = now + TICK_S
        self._contact.advance(now)
        for agent, held in list(self._agent_by_id.items()):
            # Another holder may renew the leases of a lost agent until the budget shrinks.
            if held.expires_at > now or self._contact.lost_lately(agent):
                continue
            held.lapse()
            if held.empty or not self._contact.knows(agent):
                self._drop(agent)
        self._sum_up()
        actions.extend(self._query_unheard())
        actions.extend(self._recall_excess(now))
        actions.extend(self._rebalance(now))
        actions.extend(self._serve_short(now))
        return actions

    def _take_report(self, report: Report, now: float) -> list[HolderAction]:
        held = self._agent_by_id.setdefault(report.agent, HeldAgent())
        applied = (report.applied_incarnation, report.applied_sequence)
        confirmed = held.sent_sequence == 0 or applied == (self._incarnation, held.sent_sequence)
        self._add(report.agent, held, -1)
        taken = held.take_report(report, confirmed=confirmed)
        self._add(report.agent, held, 1)
        if not taken:
            return []
        # The agent counts the term from when it sent the report, so its lease ends before this.
        held.expires_at = now + TERM_S
        if self._contact.heard(report.agent):
            self._accounted_by_kind = {
                kind: accounted + held.committed(kind)
                for kind, accounted in self._accounted_by_kind.items()
            }
        if not report.lines_by_kind and held.empty:
            self._drop(report.agent)
            return self._serve_short(now)
        short = [self._answer_line(report.agent, held, kind, now) for kind in self._limit_by_kind]
        # Others that wait are served first, so that the answer has what is left for the agent.
        actions = self._serve_short(now)
        if actions:
            actions.extend(self._deny_overdue(now, DENY_AFTER_S))
        recalls = self._recall(report.agent, now) if any(short) else []
        return [*actions, self._grant(report.agent, held, now), *recalls]

    def _answer_line(self, agent: ProcessId, held: HeldAgent, kind: LimitKind, now: float) -> bool:
        """Raise the share towards what is wanted; return True if that ran short."""
        line = held.line(kind)
        limit = self._limit_by_kind[kind]
        if not self._short_since[kind].keys() - {agent}:
            self._raise(agent, line, kind, min(line.needed, limit) - line.share, now)
            self._raise(
                agent,
                line,
                kind,
                min(line.wanted, limit) - line.share,
                now,
                keep=limit // KEPT_DIVISOR,
            )
        if line.share >= min(line.needed, limit):
            self._short_since[kind].pop(agent, None)
        else:
            self._short_since[kind].setdefault(agent, now)
        if agent not in self._short_since[kind]:
            return False
        self._tight_until_by_kind[kind] = now + TIGHT_S
        return True

    def _raise(
        self,
        agent: ProcessId,
        line: HeldLine,
        kind: LimitKind,
        missing: int,
        now: float,
        *,
        keep: int = 0,
    ) -> None:
        """Raise a share by what is missing, as far as there is more free credit than ``keep``."""
        # What was granted and is not confirmed as replaced is still counted.
        room = max(0, self._free(kind, now) - keep) + line.committed - line.share
        before = line.committed
        line.share += max(0, min(missing, room))
        line.out = max(line.out, line.share)
        change = line.committed - before
        self._total_by_kind[kind] += change
        if self._contact.reaches(agent):
            self._here_by_kind[kind] += change

    def _free(self, kind: LimitKind, now: float) -> int:
        limit = self._limit_by_kind[kind]
        free = min(
            self._contact.budget(limit) - self._here_by_kind[kind],
            limit - self._total_by_kind[kind],
        )
        if self._contact.recovering(now):
            return min(free, self._accounted_by_kind[kind] - self._total_by_kind[kind])
        return free

    def _serve_short(self, now: float) -> list[HolderAction]:
        """Divide free credit among the agents that ran short, longest wait first."""
        served: set[ProcessId] = set()
        for kind, limit in self._limit_by_kind.items():
            waiting = list(self._short_since[kind])
            for position, agent in enumerate(waiting):
                free = self._free(kind, now)
                if free <= 0:
                    break
                line = self._agent_by_id[agent].line(kind)
                part = -(-free // (len(waiting) - position))
                before = line.share
                self._raise(agent, line, kind, min(line.needed, limit, before + part) - before, now)
                if line.share > before:
                    served.add(agent)
                if line.share >= min(line.needed, limit):
                    del self._short_since[kind][agent]
        return [self._grant(agent, self._agent_by_id[agent], now) for agent in sorted(served)]

    def _drop(self, agent: ProcessId) -> None:
        del self._agent_by_id[agent]
        for short in self._short_since.values():
            short.pop(agent, None)

    def _deny_overdue(self, now: float, wait_s: float) -> list[HolderAction]:
        overdue: dict[ProcessId, set[LimitKind]] = {}
        for kind, short in self._short_since.items():
            for agent in [a for a, since in short.items() if since + wait_s <= now]:
                del short[agent]
                line = self._agent_by_id[agent].line(kind)
                line.denied += max(0, line.needed - line.share)
                overdue.setdefault(agent, set()).add(kind)
        return [
            self._grant(agent, self._agent_by_id[agent], now, exhausted=frozenset(kinds))
            for agent, kinds in overdue.items()
        ]

    def _recall(self, asker: ProcessId, now: float) -> list[HolderAction]:
        """Ask the other agents for unused credit when a limit has run short."""
        if now < self._recalled_at + RECALL_INTERVAL_S:
            return []
        self._recalled_at = now
        others = [(a, h) for a, h in self._agent_by_id.items() if a != asker and not h.empty]
        return [self._grant(agent, held, now) for agent, held in others]

    def _recall_excess(self, now: float) -> list[HolderAction]:
        """Lower all shares in proportion when more is out than the budget."""
        reduced: dict[ProcessId, HeldAgent] = {}
        share_by_kind: dict[ProcessId, dict[LimitKind, int]] = {}
        for kind, limit in self._limit_by_kind.items():
            budget = self._contact.budget(limit)
            out = self._here_by_kind[kind]
            if self._contact.recovering(now) or out <= budget:
                continue
            self._tight_until_by_kind[kind] = now + TIGHT_S
            for agent, held in self._agent_by_id.items():
                line = held.line(kind)
                if line.out:
                    reduced[agent] = held
                    share_by_kind.setdefault(agent, {})[kind] = line.out * budget // out
        return [
            self._grant(agent, held, now, lowered_by_kind=share_by_kind[agent])
            for agent, held in reduced.items()
        ]

    def _rebalance(self, now: float) -> list[HolderAction]:
        """Move credit towards agents that were denied, from those above the fair share."""
        if now < self._rebalanced_at + RENEW_S:
            return []
        self._rebalanced_at = now
        share_by_kind: dict[ProcessId, dict[LimitKind, int]] = {}
        for kind, limit in self._limit_by_kind.items():
            lines = {a: h.line(kind) for a, h in self._agent_by_id.items()}
            demand = {agent: line.used + line.denied for agent, line in lines.items()}
            denied = any(line.denied for line in lines.values())
            level = fair_level(demand, self._contact.budget(limit))
            for agent, line in lines.items():
                line.denied = 0
                if denied and line.out > level:
                    lowest = line.out - line.out // REBALANCE_DIVISOR
                    share_by_kind.setdefault(agent, {})[kind] = max(level, lowest)
        return [
            self._grant(agent, self._agent_by_id[agent], now, lowered_by_kind=shares)
            for agent, shares in share_by_kind.items()
        ]

    def _grant(
        self,
        agent: ProcessId,
        held: HeldAgent,
        now: float,
        *,
        exhausted: frozenset[LimitKind] = frozenset(),
        lowered_by_kind: dict[LimitKind, int] | None = None,
    ) -> SendGrant:
        self._sequence += 1
        held.sent_sequence = self._sequence
        lines = {}
        for kind, limit in self._limit_by_kind.items():
            line = held.line(kind)
            if lowered_by_kind is not None:
                line.share = min(line.share, lowered_by_kind.get(kind, line.share))
            lines[kind] = GrantLine(
                share=line.share,
                limit=limit,
                out=line.out,
                tight=now < self._tight_until_by_kind.get(kind, float("-inf")),
                exhausted=kind in exhausted,
                fleet_out=self._total_by_kind[kind],
            )
        grant = Grant(
            plan=self._plan,
            holder=self._holder,
            incarnation=self._incarnation,
            sequence=self._sequence,
            answers=held.answers,
            lines_by_kind=lines,
        )
        return SendGrant(agent, grant)

    def _add(self, agent: ProcessId, held: HeldAgent, sign: int) -> None:
        here = self._contact.reaches(agent)
        for kind, line in held.line_by_kind.items():
            self._total_by_kind[kind] += sign * line.committed
            if here:
                self._here_by_kind[kind] += sign * line.committed

    def _sum_up(self) -> None:
        self._total_by_kind = dict.fromkeys(LimitKind, 0)
        self._here_by_kind = dict.fromkeys(LimitKind, 0)
        for agent, held in self._agent_by_id.items():
            self._add(agent, held, 1)
