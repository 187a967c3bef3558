"""The holder of the leases of one plan."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.limits.actions import SendGrant
from laburnumbridge.limits.actions import SendQuery
from laburnumbridge.limits.agent_lease import AgentLease
from laburnumbridge.limits.contact_view import ContactView
from laburnumbridge.limits.events import FleetChanged
from laburnumbridge.limits.events import PlansChanged
from laburnumbridge.limits.events import ReportReceived
from laburnumbridge.limits.events import Tick
from laburnumbridge.limits.fair_shares import fair_level
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
    from laburnumbridge.limits.agent_line import AgentLine
    from laburnumbridge.limits.events import HolderEvent
    from laburnumbridge.limits.messages import Report
    from laburnumbridge.limits.plan_limits import PlanLimits

# Limits the work of one tick when a holder starts in a large fleet.
QUERIES_PER_TICK = 1000
# Grants of reserves leave 1 / MIN_FREE_DIVISOR of the limit free for agents that run short.
MIN_FREE_DIVISOR = 20
# A recall is repeated before the agents stop returning unused credit.
RECALL_INTERVAL_S = TIGHT_S / 2
# One rebalancing takes at most 1 / REBALANCE_DIVISOR of an agent's credit.
REBALANCE_DIVISOR = 4


class LeaseHolder:
    """Grants credit of one plan to the agents that admit its work.

    The sum of the credit out never rises above the budget. After a start, or a pause of its own
    process, the holder recovers: it grants only as much credit as agents report to hold, until all
    listed agents have reported or a term has passed.
    """

    def __init__(self, *, plan: PlanName, holder: ProcessId, incarnation: Incarnation) -> None:
        self._plan = plan
        self._holder = holder
        self._incarnation = incarnation
        self._list_version = 0
        self._limit_by_kind: dict[LimitKind, int] = {}
        self._lease_by_agent: dict[ProcessId, AgentLease] = {}
        self._contact = ContactView()
        self._sequence = 0
        self._started = False
        self._last_event_at = float("inf")
        self._next_tick_at = float("-inf")
        self._recalled_at = float("-inf")
        self._rebalanced_at = float("-inf")
        self._tight_until_by_kind: dict[LimitKind, float] = {}
        # When each agent ran short of a limit, the longest wait first.
        self._short_since_by_kind: dict[LimitKind, dict[ProcessId, float]] = {
            k: {} for k in LimitKind
        }
        # Credit that counts against the limit: of all agents, and of the reachable ones.
        self._total_by_kind = dict.fromkeys(LimitKind, 0)
        self._reachable_by_kind = dict.fromkeys(LimitKind, 0)
        # Credit in each agent's first report of a recovery; it may be granted to other agents.
        self._reported_by_kind = dict.fromkeys(LimitKind, 0)

    @property
    def agent_count(self) -> int:
        """The number of agents that the holder keeps state of."""
        return len(self._lease_by_agent)

    def out(self, kind: LimitKind) -> int:
        """Return the credit counted against a limit: credit out, and work open without a lease."""
        return self._total_by_kind[kind]

    def next_due(self, now: float) -> float:
        """Return when the next ``Tick`` is due (monotonic seconds)."""
        first = [
            next(iter(short.values())) for short in self._short_since_by_kind.values() if short
        ]
        return min([max(self._next_tick_at, now), *(since + DENY_LATEST_S for since in first)])

    def handle(self, event: HolderEvent, now: float) -> list[HolderAction]:
        """Apply one event and return the messages to send; ``now`` is in monotonic seconds."""
        actions: list[HolderAction] = []
        if now - self._last_event_at > CLOCK_JUMP_S:
            actions.extend(self._recover(now))
        self._last_event_at = now
        match event:
            case ReportReceived(report):
                actions.extend(self._apply_report(report, now))
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
        self._reported_by_kind = dict.fromkeys(LimitKind, 0)
        return self._query_unreported()

    def _query_unreported(self) -> list[HolderAction]:
        query = Query(plan=self._plan, holder=self._holder, incarnation=self._incarnation)
        return [SendQuery(agent, query) for agent in self._contact.unreported()[:QUERIES_PER_TICK]]

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
        return self._recall_excess(now) + self._serve_waiting(now)

    def _change_fleet(
        self, listed: frozenset[ProcessId], reachable: frozenset[ProcessId], now: float
    ) -> list[HolderAction]:
        self._contact.replace_fleet(listed, reachable, now)
        for agent in [
            agent
            for agent in self._lease_by_agent
            if not self._contact.is_listed_or_reachable(agent)
        ]:
            # An unlisted agent may still use its lease, so its state is kept until the lease ends.
            if self._lease_by_agent[agent].expires_at <= now:
                self._drop(agent)
        self._recompute_totals()
        if not self._started:
            self._started = True
            return self._recover(now)
        return self._query_unreported() + self._serve_waiting(now)

    def _tick(self, now: float) -> list[HolderAction]:
        actions = self._deny_overdue(now, DENY_LATEST_S)
        if now < self._next_tick_at:
            return actions
        self._next_tick_at = now + TICK_S
        self._contact.end_terms(now)
        for agent, lease in list(self._lease_by_agent.items()):
            # Another holder may renew the lease of a lost agent until the budget shrinks.
            if lease.expires_at > now or self._contact.is_recently_lost(agent):
                continue
            lease.expire()
            if lease.is_empty or not self._contact.is_listed_or_reachable(agent):
                self._drop(agent)
        self._recompute_totals()
        actions.extend(self._query_unreported())
        actions.extend(self._recall_excess(now))
        actions.extend(self._rebalance(now))
        actions.extend(self._serve_waiting(now))
        return actions

    def _apply_report(self, report: Report, now: float) -> list[HolderAction]:
        lease = self._lease_by_agent.setdefault(report.agent, AgentLease())
        applied = (report.applied_incarnation, report.applied_sequence)
        confirmed = lease.sent_sequence == 0 or applied == (self._incarnation, lease.sent_sequence)
        self._add_committed(report.agent, lease, -1)
        is_new = lease.apply_report(report, confirmed=confirmed)
        self._add_committed(report.agent, lease, 1)
        if not is_new:
            return []
        # The agent counts the term from the time it sent the report, so its lease ends earlier.
        lease.expires_at = now + TERM_S
        if self._contact.record_report(report.agent):
            self._reported_by_kind = {
                kind: reported + lease.committed(kind)
                for kind, reported in self._reported_by_kind.items()
            }
        if not report.lines_by_kind and lease.is_empty:
            self._drop(report.agent)
            return self._serve_waiting(now)
        short = [self._update_share(report.agent, lease, kind, now) for kind in self._limit_by_kind]
        # Agents that already wait are served first; the answer grants what is left.
        actions = self._serve_waiting(now)
        if actions:
            actions.extend(self._deny_overdue(now, DENY_AFTER_S))
        recalls = self._recall(report.agent, now) if any(short) else []
        return [*actions, self._grant(report.agent, lease, now), *recalls]

    def _update_share(
        self, agent: ProcessId, lease: AgentLease, kind: LimitKind, now: float
    ) -> bool:
        """Raise the share towards what is wanted; return True if the agent runs short."""
        line = lease.line(kind)
        limit = self._limit_by_kind[kind]
        if not self._short_since_by_kind[kind].keys() - {agent}:
            self._raise_share(agent, line, kind, min(line.needed, limit) - line.share, now)
            self._raise_share(
                agent,
                line,
                kind,
                min(line.wanted, limit) - line.share,
                now,
                min_free=limit // MIN_FREE_DIVISOR,
            )
        if line.share >= min(line.needed, limit):
            self._short_since_by_kind[kind].pop(agent, None)
        else:
            self._short_since_by_kind[kind].setdefault(agent, now)
        if agent not in self._short_since_by_kind[kind]:
            return False
        self._tight_until_by_kind[kind] = now + TIGHT_S
        return True

    def _raise_share(
        self,
        agent: ProcessId,
        line: AgentLine,
        kind: LimitKind,
        missing: int,
        now: float,
        *,
        min_free: int = 0,
    ) -> None:
        """Raise a share by up to ``missing``, leaving ``min_free`` units of free credit."""
        # Credit that counts for this agent already may be granted to it again: an earlier grant
        # counts until the agent confirms that it was replaced.
        room = max(0, self._free_credit(kind, now) - min_free) + line.committed - line.share
        before = line.committed
        line.share += max(0, min(missing, room))
        line.out = max(line.out, line.share)
        change = line.committed - before
        self._total_by_kind[kind] += change
        if self._contact.is_reachable(agent):
            self._reachable_by_kind[kind] += change

    def _free_credit(self, kind: LimitKind, now: float) -> int:
        limit = self._limit_by_kind[kind]
        free = min(
            self._contact.budget(limit) - self._reachable_by_kind[kind],
            limit - self._total_by_kind[kind],
        )
        if self._contact.is_recovering(now):
            return min(free, self._reported_by_kind[kind] - self._total_by_kind[kind])
        return free

    def _serve_waiting(self, now: float) -> list[HolderAction]:
        """Grant free credit in equal parts to the agents that ran short, longest wait first."""
        served: set[ProcessId] = set()
        for kind, limit in self._limit_by_kind.items():
            waiting = list(self._short_since_by_kind[kind])
            for position, agent in enumerate(waiting):
                free = self._free_credit(kind, now)
                if free <= 0:
                    break
                line = self._lease_by_agent[agent].line(kind)
                part = -(-free // (len(waiting) - position))
                before = line.share
                self._raise_share(
                    agent, line, kind, min(line.needed, limit, before + part) - before, now
                )
                if line.share > before:
                    served.add(agent)
                if line.share >= min(line.needed, limit):
                    del self._short_since_by_kind[kind][agent]
        return [self._grant(agent, self._lease_by_agent[agent], now) for agent in sorted(served)]

    def _drop(self, agent: ProcessId) -> None:
        del self._lease_by_agent[agent]
        for short in self._short_since_by_kind.values():
            short.pop(agent, None)

    def _deny_overdue(self, now: float, wait_s: float) -> list[HolderAction]:
        overdue: dict[ProcessId, set[LimitKind]] = {}
        for kind, short in self._short_since_by_kind.items():
            for agent in [a for a, since in short.items() if since + wait_s <= now]:
                del short[agent]
                line = self._lease_by_agent[agent].line(kind)
                line.denied += max(0, line.needed - line.share)
                overdue.setdefault(agent, set()).add(kind)
        return [
            self._grant(agent, self._lease_by_agent[agent], now, exhausted=frozenset(kinds))
            for agent, kinds in overdue.items()
        ]

    def _recall(self, requester: ProcessId, now: float) -> list[HolderAction]:
        """Recall unused credit from the other agents, because a limit has run short."""
        if now < self._recalled_at + RECALL_INTERVAL_S:
            return []
        self._recalled_at = now
        others = [
            (a, h) for a, h in self._lease_by_agent.items() if a != requester and not h.is_empty
        ]
        return [self._grant(agent, lease, now) for agent, lease in others]

    def _recall_excess(self, now: float) -> list[HolderAction]:
        """Lower all shares in proportion when the credit out exceeds the budget."""
        reduced: dict[ProcessId, AgentLease] = {}
        share_by_kind: dict[ProcessId, dict[LimitKind, int]] = {}
        for kind, limit in self._limit_by_kind.items():
            budget = self._contact.budget(limit)
            out = self._reachable_by_kind[kind]
            if self._contact.is_recovering(now) or out <= budget:
                continue
            self._tight_until_by_kind[kind] = now + TIGHT_S
            for agent, lease in self._lease_by_agent.items():
                line = lease.line(kind)
                if line.out:
                    reduced[agent] = lease
                    share_by_kind.setdefault(agent, {})[kind] = line.out * budget // out
        return [
            self._grant(agent, lease, now, lowered_by_kind=share_by_kind[agent])
            for agent, lease in reduced.items()
        ]

    def _rebalance(self, now: float) -> list[HolderAction]:
        """Lower shares above the fair share when other agents were denied credit."""
        if now < self._rebalanced_at + RENEW_S:
            return []
        self._rebalanced_at = now
        share_by_kind: dict[ProcessId, dict[LimitKind, int]] = {}
        for kind, limit in self._limit_by_kind.items():
            lines = {a: h.line(kind) for a, h in self._lease_by_agent.items()}
            demand = {agent: line.used + line.denied for agent, line in lines.items()}
            denied = any(line.denied for line in lines.values())
            level = fair_level(demand, self._contact.budget(limit))
            for agent, line in lines.items():
                line.denied = 0
                if denied and line.out > level:
                    lowest = line.out - line.out // REBALANCE_DIVISOR
                    share_by_kind.setdefault(agent, {})[kind] = max(level, lowest)
        return [
            self._grant(agent, self._lease_by_agent[agent], now, lowered_by_kind=shares)
            for agent, shares in share_by_kind.items()
        ]

    def _grant(
        self,
        agent: ProcessId,
        lease: AgentLease,
        now: float,
        *,
        exhausted: frozenset[LimitKind] = frozenset(),
        lowered_by_kind: dict[LimitKind, int] | None = None,
    ) -> SendGrant:
        self._sequence += 1
        lease.sent_sequence = self._sequence
        lines = {}
        for kind, limit in self._limit_by_kind.items():
            line = lease.line(kind)
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
            answers=lease.answers,
            lines_by_kind=lines,
        )
        return SendGrant(agent, grant)

    def _add_committed(self, agent: ProcessId, lease: AgentLease, sign: int) -> None:
        is_reachable = self._contact.is_reachable(agent)
        for kind, line in lease.line_by_kind.items():
            self._total_by_kind[kind] += sign * line.committed
            if is_reachable:
                self._reachable_by_kind[kind] += sign * line.committed

    def _recompute_totals(self) -> None:
        self._total_by_kind = dict.fromkeys(LimitKind, 0)
        self._reachable_by_kind = dict.fromkeys(LimitKind, 0)
        for agent, lease in self._lease_by_agent.items():
            self._add_committed(agent, lease, 1)
