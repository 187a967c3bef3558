"""Which agent gets an opening packet."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from laburnumbridge.core import Choice

if TYPE_CHECKING:
    from collections.abc import Collection

    from laburnumbridge.flows.peer_datagrams import LoadReport

PENDING_S = 0.05
"""How long an own placement counts before the agent's report shows it: two report intervals."""
COPY_S = 0.15
"""A client copies its opening packet after 0.2 s: an agent silent until then has not taken it."""
SILENCE_S = 0.5
"""An agent answers packets with a load report within 0.1 s; one that doesn't stands still."""
CUT_OFF_S = 0.7
"""Several agents answer within a tenth of this unless the VM is cut off from all of them."""
REFUSAL_STANDS_S = 3.0
"""An agent that gets no packets sends no reports, so one that took or served nothing is tried
again after this; if that still holds, it passes the new flow on."""
UNAVAILABLE_PENALTY = 1e6
"""Busy shares stay far below: an agent that takes nothing is the last choice."""
FAILING_PENALTY = 1e5
"""An upstream that fails some requests comes before one that takes none."""
FAILING_SHARE_LIMIT = 0.5
"""If more upstreams than this share seem to fail, avoiding them would overload the others."""
STALE_REPORT_S = 1.0
"""After this a report of busy slots says nothing: requests take a tenth of it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """An agent that may take a new flow.

    ``slow_start`` lies in (0, 1]; a starting upstream counts as having that share of its slots.
    """

    agent: str
    failure_domain: str
    slots: int
    slow_start: float


@dataclass(kw_only=True, slots=True)
class _KnownLoad:
    report: LoadReport
    reported_at: float


class UpstreamSelector:
    """Places opening packets by load; answers the load of many short requests on few slots.

    A flow that carries one request goes to the upstream with the most free slots. A long flow goes
    to the upstream with the fewest open flows for its slots, since its requests come later.
    Ties go to a hash of the flow, so that balancers with the same view don't pick the same agent.
    """

    def __init__(self, *, seed: int) -> None:
        self._choice = Choice(seed=seed)
        self._load_by_agent: dict[str, _KnownLoad] = {}
        self._placed_by_agent: dict[str, list[float]] = {}
        self._avoid_until_by_agent: dict[str, float] = {}
        self._unanswered_since_by_agent: dict[str, float] = {}
        self._heard_at: float | None = None

    def on_sent(self, agent: str, now: float) -> None:
        """Note that a packet went to ``agent``, which shall answer with a load report."""
        self._unanswered_since_by_agent.setdefault(agent, now)

    def on_received(self, agent: str, now: float) -> None:
        """Note that a datagram from ``agent`` was received."""
        self._heard_at = now
        self._unanswered_since_by_agent.pop(agent, None)

    def is_isolated(self, now: float) -> bool:
        """Return whether packets went out and no agent at all has answered since."""
        if not self._unanswered_since_by_agent:
            return False
        unanswered_s = now - min(self._unanswered_since_by_agent.values())
        unheard_s = unanswered_s if self._heard_at is None else now - self._heard_at
        return min(unanswered_s, unheard_s) > CUT_OFF_S

    def silence_s(self, agent: str, now: float) -> float:
        """Return how long ``agent`` has left packets unanswered."""
        return now - self._unanswered_since_by_agent.get(agent, now)

    def is_responsive(self, agent: str, now: float) -> bool:
        """Return whether a copy of an opening packet should follow the first one to ``agent``."""
        return self.silence_s(agent, now) < COPY_S

    def on_load_report(self, agent: str, report: LoadReport, now: float) -> None:
        """Take in a load report."""
        self.on_received(agent, now)
        self._load_by_agent[agent] = _KnownLoad(report=report, reported_at=now)

    def retain(self, agents: Collection[str]) -> None:
        """Drop the state of all agents that are not in ``agents``."""
        tables: tuple[dict[str, Any], ...] = (
            self._load_by_agent,
            self._placed_by_agent,
            self._avoid_until_by_agent,
            self._unanswered_since_by_agent,
        )
        for table in tables:
            for agent in table.keys() - agents:
                del table[agent]

    def avoid(self, agent: str, until: float) -> None:
        """Place nothing on ``agent`` before ``until`` while another one can take it."""
        self._avoid_until_by_agent[agent] = until

    def choose(
        self,
        candidates: Collection[Candidate],
        *,
        is_long: bool,
        now: float,
        excluded: Collection[str] = (),
    ) -> str | None:
        """Return the agent for a new flow, or None if there is no candidate."""
        best: tuple[float, float, float] | None = None
        chosen = None
        usual_share = self._mean_busy_share(candidates, now)
        failing = self._failing(candidates, now)
        for candidate in candidates:
            if candidate.agent in excluded:
                continue
            is_failing = candidate.agent in failing
            score = self._score(
                candidate, usual_share, is_long=is_long, is_failing=is_failing, now=now
            )
            if best is None or score < best:
                best = score
                chosen = candidate.agent
        if chosen is not None:
            self._placed_by_agent.setdefault(chosen, []).append(now)
        return chosen

    def choose_idle(
        self, candidates: Collection[Candidate], *, now: float, excluded: Collection[str] = ()
    ) -> str | None:
        """Return an agent that has reported a free slot lately, or None."""
        idle = [
            candidate
            for candidate in candidates
            if (known := self._fresh_load(candidate.agent, now)) is not None
            and known.report.busy + self._pending(candidate.agent, now) < candidate.slots
            and known.report.is_available
            and not known.report.is_failing
        ]
        return self.choose(idle, is_long=False, now=now, excluded=excluded)

    def _failing(self, candidates: Collection[Candidate], now: float) -> set[str]:
        """Return the candidates that seem to fail their requests, unless these are too many."""
        failing = {
            candidate.agent
            for candidate in candidates
            if (known := self._load_by_agent.get(candidate.agent)) is not None
            and known.report.is_failing
            and now - known.reported_at <= REFUSAL_STANDS_S
        }
        return failing if len(failing) <= FAILING_SHARE_LIMIT * len(candidates) else set()

    def _mean_busy_share(self, candidates: Collection[Candidate], now: float) -> float:
        shares = [
            known.report.busy / max(candidate.slots, 1)
            for candidate in candidates
            if (known := self._fresh_load(candidate.agent, now)) is not None
        ]
        return sum(shares) / len(shares) if shares else 0.0

    def _fresh_load(self, agent: str, now: float) -> _KnownLoad | None:
        known = self._load_by_agent.get(agent)
        if known is None or now - known.reported_at > STALE_REPORT_S:
            return None
        return known

    def _score(
        self,
        candidate: Candidate,
        usual_share: float,
        *,
        is_long: bool,
        is_failing: bool,
        now: float,
    ) -> tuple[float, float, float]:
        agent = candidate.agent
        capacity = max(candidate.slots * candidate.slow_start, 0.25)
        pending = self._pending(agent, now)
        fresh = self._fresh_load(agent, now)
        # An agent of which nothing is known lately is neither idle nor full.
        busy = usual_share * candidate.slots if fresh is None else fresh.report.busy
        known = self._load_by_agent.get(agent)
        open_flows = 0 if known is None else known.report.open_flows
        available = (
            known is None or known.report.is_available or now - known.reported_at > REFUSAL_STANDS_S
        )
        if self._avoid_until_by_agent.get(agent, 0.0) > now:
            available = False
        if self.silence_s(agent, now) > SILENCE_S:
            available = False
        busy_share = (busy + pending) / capacity
        flow_share = (open_flows + pending) / capacity
        shares = (flow_share, busy_share) if is_long else (busy_share, flow_share)
        penalty = (not available) * UNAVAILABLE_PENALTY + is_failing * FAILING_PENALTY
        return (penalty + shares[0], shares[1], self._choice.fraction())

    def _pending(self, agent: str, now: float) -> int:
        placed = self._placed_by_agent.get(agent)
        if not placed:
            return 0
        known = self._load_by_agent.get(agent)
        # A report that is older than the placement can't contain it.
        while placed and (
            now - placed[0] > STALE_REPORT_S
            or (now - placed[0] > PENDING_S and known and known.reported_at > placed[0])
        ):
            placed.pop(0)
        return len(placed)
