"""Selection of the agent that receives an opening packet."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from laburnumbridge.core import Choice
from laburnumbridge.flows.received_report import ReceivedReport
from laburnumbridge.flows.scored_candidate import ScoredCandidate
from laburnumbridge.flows.work_placement import WorkPlacement

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterator

    from laburnumbridge.flows.candidate import Candidate
    from laburnumbridge.flows.peer_datagrams import LoadReport
    from laburnumbridge.flows.work_placement import UnevennessChange

PENDING_S = 0.05
"""Two report intervals. A placement is added to the reported load for at least this time, and then
until a report has been received since the placement."""
COPY_WAIT_S = 0.15
"""A client repeats its opening packet after 0.2 s. An agent that is unresponsive until then has not
accepted the first packet."""
UNRESPONSIVE_S = 0.5
"""An agent answers packets with a load report within 0.1 s. One that hasn't after this time counts
as stopped and is unavailable for new flows."""
ISOLATION_S = 0.7
"""Several agents answer within a tenth of this time, unless the VM is cut off from all of them."""
UNAVAILABLE_REPORT_TTL_S = 3.0
"""An agent that receives no packets sends no reports. A report that it is unavailable or failing is
therefore disregarded after this time; if that still holds, the agent passes the new flow on."""
UNAVAILABLE_PENALTY = 1e6
"""Far above any busy share, so an unavailable agent is the last choice."""
FAILING_PENALTY = 1e5
"""A failing upstream is preferred to an unavailable one."""
FAILING_SHARE_LIMIT = 0.5
"""If more than this share of the upstreams seem to fail, they aren't avoided, since that would
overload the others."""
STALE_REPORT_S = 1.0
"""Age from which the busy slots of a report are disregarded; requests take a tenth of it."""
HANDOVER_S = 0.002
"""Time that an opening packet takes to another agent, with a margin for its handling."""
REFRESH_S = 0.1
"""The unevenness of a service's upstreams is computed again after this time: an agent has a tenth
of the answers of its mean in it."""


class UpstreamSelector:
    """Selects the agent for an opening packet by load, suited to many short requests on few slots.

    A flow that carries one request goes to the upstream with the lowest share of busy slots, and
    among these to the one to which fewest requests are still being sent. A long flow goes to the
    upstream with the fewest open flows per slot, since its requests arrive later. Ties are broken
    at random, so that balancers with the same view don't pick the same agent. While the upstreams
    of a service are uneven, ``WorkPlacement`` takes the place of these shares.

    ``failure_domain`` is that of this process.
    """

    def __init__(self, *, seed: int, failure_domain: str = "") -> None:
        self._choice = Choice(seed=seed)
        self._failure_domain = failure_domain
        self._has_work_reports = False
        self._placement_by_service: dict[str, WorkPlacement] = {}
        self._refreshed_at_by_service: dict[str, float] = {}
        self._unevenness_changes: list[tuple[str, UnevennessChange]] = []
        self._report_by_agent: dict[str, ReceivedReport] = {}
        self._placed_at_by_agent: dict[str, list[float]] = {}
        self._avoid_until_by_agent: dict[str, float] = {}
        self._unanswered_since_by_agent: dict[str, float] = {}
        self._sent_since_answer_at: float | None = None

    def copy(self) -> UpstreamSelector:
        """Return a selector that decides as this one would; using it doesn't change this one."""
        duplicate = UpstreamSelector(seed=0, failure_domain=self._failure_domain)
        duplicate._choice = self._choice.copy()
        duplicate._has_work_reports = self._has_work_reports
        duplicate._placement_by_service = {
            service: placement.copy() for service, placement in self._placement_by_service.items()
        }
        duplicate._refreshed_at_by_service = dict(self._refreshed_at_by_service)
        duplicate._report_by_agent = dict(self._report_by_agent)
        duplicate._placed_at_by_agent = {
            agent: list(placed_at) for agent, placed_at in self._placed_at_by_agent.items()
        }
        duplicate._avoid_until_by_agent = dict(self._avoid_until_by_agent)
        duplicate._unanswered_since_by_agent = dict(self._unanswered_since_by_agent)
        duplicate._sent_since_answer_at = self._sent_since_answer_at
        return duplicate

    def on_sent(self, agent: str, now: float) -> None:
        """Record that a packet was sent to ``agent``, which answers with a load report."""
        self._unanswered_since_by_agent.setdefault(agent, now)
        if self._sent_since_answer_at is None:
            self._sent_since_answer_at = now

    def on_received(self, agent: str, now: float) -> None:
        """Record that a datagram from ``agent`` was received."""
        self._sent_since_answer_at = None
        self._unanswered_since_by_agent.pop(agent, None)

    def is_isolated(self, now: float) -> bool:
        """Return whether no agent has answered any packet for more than ``ISOLATION_S``."""
        return self.silent_s(now) > ISOLATION_S

    def silent_s(self, now: float) -> float:
        """Return for how many seconds no agent has answered any packet; 0 if none was sent.

        The time runs from the first packet after the last answer, from whatever agent: while
        nothing is sent nothing is answered, and packets to an agent that is gone never are.
        """
        if self._sent_since_answer_at is None or not self._unanswered_since_by_agent:
            return 0.0
        return now - self._sent_since_answer_at

    def unanswered_s(self, agent: str, now: float) -> float:
        """Return for how many seconds packets to ``agent`` have been unanswered; 0 if none is."""
        return now - self._unanswered_since_by_agent.get(agent, now)

    def is_responsive(self, agent: str, now: float) -> bool:
        """Return whether a copy of an opening packet should go to ``agent`` like the first one."""
        return self.unanswered_s(agent, now) < COPY_WAIT_S

    def on_load_report(self, agent: str, report: LoadReport, now: float) -> None:
        """Store a load report, which also answers the packets sent before."""
        self.on_received(agent, now)
        received = ReceivedReport(report=report, reported_at=now)
        if report.work is not None:
            self._has_work_reports = True
            received.work = report.work
            received.work_reported_at = now
        elif (last := self._report_by_agent.get(agent)) is not None:
            received.work = last.work
            received.work_reported_at = last.work_reported_at
        self._report_by_agent[agent] = received

    def retain(self, agents: Collection[str]) -> None:
        """Remove the state of all agents that are not in ``agents``."""
        tables: tuple[dict[str, Any], ...] = (
            self._report_by_agent,
            self._placed_at_by_agent,
            self._avoid_until_by_agent,
            self._unanswered_since_by_agent,
        )
        for table in tables:
            for agent in table.keys() - agents:
                del table[agent]

    def avoid(self, agent: str, until: float) -> None:
        """Select ``agent`` before ``until`` only if all other candidates are unavailable too."""
        self._avoid_until_by_agent[agent] = until

    def choose(
        self,
        candidates: Collection[Candidate],
        *,
        is_long: bool,
        now: float,
        excluded: Collection[str] = (),
        service: str = "",
    ) -> str | None:
        """Count a placement on the best agent for a new flow and return it, or None without one.

        ``candidates`` are agents of ``service``.
        """
        best: tuple[float, ...] | None = None
        chosen = None
        for score, candidate in self._scores(
            candidates, is_long=is_long, now=now, excluded=excluded, service=service
        ):
            if best is None or score < best:
                best = score
                chosen = candidate.agent
        if chosen is not None:
            self._placed_at_by_agent.setdefault(chosen, []).append(now)
        return chosen

    def _scores(
        self,
        candidates: Collection[Candidate],
        *,
        is_long: bool,
        now: float,
        excluded: Collection[str],
        service: str,
    ) -> Iterator[tuple[tuple[float, ...], Candidate]]:
        placement = self._uneven_placement(candidates, service, now)
        mean_busy_share = 0.0 if placement else self._mean_busy_share(candidates, now)
        failing = self._failing(candidates, now)
        score: tuple[float, ...]
        for candidate in candidates:
            if candidate.agent in excluded:
                continue
            is_failing = candidate.agent in failing
            if placement is not None:
                score = self._work_score(
                    candidate, placement, is_long=is_long, is_failing=is_failing, now=now
                )
            else:
                score = self._score(
                    candidate, mean_busy_share, is_long=is_long, is_failing=is_failing, now=now
                )
            yield score, candidate

    def explain(
        self,
        candidates: Collection[Candidate],
        *,
        is_long: bool,
        now: float,
        excluded: Collection[str] = (),
        service: str = "",
        only_idle: bool = False,
    ) -> list[ScoredCandidate]:
        """Return the candidates as ``choose`` would score them, best first; nothing is changed.

        With ``only_idle`` they are those that ``choose_idle`` would score.
        """
        trial = self.copy()
        placement = trial._uneven_placement(candidates, service, now)
        if only_idle:
            candidates = trial._idle(candidates, now)
        scores = trial._scores(
            candidates, is_long=is_long, now=now, excluded=excluded, service=service
        )
        failing = trial._failing(candidates, now)
        return [
            trial._explain(
                candidate, score, placement, is_failing=candidate.agent in failing, now=now
            )
            for score, candidate in sorted(scores, key=lambda scored: scored[0])
        ]

    def _explain(
        self,
        candidate: Candidate,
        score: tuple[float, ...],
        placement: WorkPlacement | None,
        *,
        is_failing: bool,
        now: float,
    ) -> ScoredCandidate:
        agent = candidate.agent
        last = self._report_by_agent.get(agent)
        reason = self._unavailable_reason(agent, now)
        estimate = None if placement is None else placement.estimate(candidate, last, now)
        known = estimate or (last.work if last else None)
        return ScoredCandidate(
            agent=agent,
            failure_domain=candidate.failure_domain,
            slots=candidate.slots,
            is_cold=candidate.slow_start < 1.0,
            score=score,
            avoided=(() if reason is None else (reason,)) + (("failing",) if is_failing else ()),
            pending=self._pending(agent, now),
            busy=last.report.busy if last else None,
            open_flows=last.report.open_flows if last else None,
            report_age_s=now - last.reported_at if last else None,
            speed=estimate.speed if estimate else None,
            wait_s=known.wait_s if known else None,
            work_s=known.work_s if known else None,
            demand=known.demand if known else None,
        )

    def choose_idle(
        self,
        candidates: Collection[Candidate],
        *,
        now: float,
        is_long: bool = False,
        excluded: Collection[str] = (),
        service: str = "",
    ) -> str | None:
        """Like ``choose``, but only among agents whose recent report shows a free slot."""
        self._uneven_placement(candidates, service, now)  # judged by all of the service
        return self.choose(
            self._idle(candidates, now),
            is_long=is_long,
            now=now,
            excluded=excluded,
            service=service,
        )

    def _idle(self, candidates: Collection[Candidate], now: float) -> list[Candidate]:
        return [candidate for candidate in candidates if self._has_free_slot(candidate, now)]

    def _has_free_slot(self, candidate: Candidate, now: float) -> bool:
        last = self._fresh_report(candidate.agent, now)
        return (
            last is not None
            and last.report.busy + self._pending(candidate.agent, now) < candidate.slots
            and last.report.is_available
            and not last.report.is_failing
        )

    def is_full(self, candidates: Collection[Candidate], now: float) -> bool:
        """Return whether all ``candidates`` are known to have no free slot."""
        return bool(candidates) and all(self._is_full(each, now) for each in candidates)

    def _is_full(self, candidate: Candidate, now: float) -> bool:
        if self._fresh_report(candidate.agent, now) is None:
            return self.unanswered_s(candidate.agent, now) > UNRESPONSIVE_S
        return not self._has_free_slot(candidate, now)

    def is_quicker_here(
        self,
        candidates: Collection[Candidate],
        *,
        own_s: float,
        now: float,
        excluded: Collection[str],
        service: str = "",
    ) -> bool:
        """Return whether an opening is expected to be answered sooner here, within ``own_s``.

        It is compared with all others and a handover. While the upstreams of the service are even,
        the answer is False.
        """
        placement = self._uneven_placement(candidates, service, now)
        if placement is None:
            return False
        failing = self._failing(candidates, now)
        return not any(
            self._work_score(
                candidate,
                placement,
                is_long=False,
                is_failing=candidate.agent in failing,
                now=now,
            )[0]
            + HANDOVER_S
            < own_s
            for candidate in candidates
            if candidate.agent not in excluded
        )

    def is_uneven(self, service: str) -> bool:
        """Return whether flows of a service are placed by expected work."""
        placement = self._placement_by_service.get(service)
        return placement is not None and placement.is_uneven

    def take_unevenness_changes(self) -> list[tuple[str, UnevennessChange]]:
        """Return the changes since the last call, with the names of the services."""
        changes = self._unevenness_changes
        self._unevenness_changes = []
        return changes

    def _uneven_placement(
        self, candidates: Collection[Candidate], service: str, now: float
    ) -> WorkPlacement | None:
        """Return the placement by work, or None while the upstreams of the service are even."""
        if not self._has_work_reports or not candidates:
            return None
        placement = self._placement_by_service.get(service)
        if placement is None:
            placement = WorkPlacement(failure_domain=self._failure_domain)
            self._placement_by_service[service] = placement
        if now - self._refreshed_at_by_service.get(service, -REFRESH_S) >= REFRESH_S:
            self._refreshed_at_by_service[service] = now
            change = placement.refresh(candidates, self._report_by_agent, now)
            if change is not None:
                self._unevenness_changes.append((service, change))
        return placement if placement.is_uneven else None

    def is_available(self, agent: str, now: float) -> bool:
        """Return whether ``agent`` is expected to take a new flow; True if it hasn't reported."""
        return self._unavailable_reason(agent, now) is None

    def _unavailable_reason(self, agent: str, now: float) -> str | None:
        last = self._report_by_agent.get(agent)
        if (
            last is not None
            and not last.report.is_available
            and now - last.reported_at <= UNAVAILABLE_REPORT_TTL_S
        ):
            return "unavailable"
        if self._avoid_until_by_agent.get(agent, 0.0) > now:
            return "unanswered"
        return "silent" if self.unanswered_s(agent, now) > UNRESPONSIVE_S else None

    def _failing(self, candidates: Collection[Candidate], now: float) -> set[str]:
        """Return the agents that report failures; none if they exceed ``FAILING_SHARE_LIMIT``."""
        failing = {
            candidate.agent
            for candidate in candidates
            if (last := self._report_by_agent.get(candidate.agent)) is not None
            and last.report.is_failing
            and now - last.reported_at <= UNAVAILABLE_REPORT_TTL_S
        }
        return failing if len(failing) <= FAILING_SHARE_LIMIT * len(candidates) else set()

    def _mean_busy_share(self, candidates: Collection[Candidate], now: float) -> float:
        shares = [
            last.report.busy / max(candidate.slots, 1)
            for candidate in candidates
            if (last := self._fresh_report(candidate.agent, now)) is not None
        ]
        return sum(shares) / len(shares) if shares else 0.0

    def _fresh_report(self, agent: str, now: float) -> ReceivedReport | None:
        last = self._report_by_agent.get(agent)
        if last is None or now - last.reported_at > STALE_REPORT_S:
            return None
        return last

    def _score(
        self,
        candidate: Candidate,
        mean_busy_share: float,
        *,
        is_long: bool,
        is_failing: bool,
        now: float,
    ) -> tuple[float, float, float, float]:
        agent = candidate.agent
        capacity = max(candidate.slots * candidate.slow_start, 0.25)
        pending = self._pending(agent, now)
        fresh = self._fresh_report(agent, now)
        # An agent without a recent report is assumed to be as busy as the mean.
        busy = mean_busy_share * candidate.slots if fresh is None else fresh.report.busy
        last = self._report_by_agent.get(agent)
        open_flows = 0 if last is None else last.report.open_flows
        arriving = 0 if fresh is None else fresh.report.arriving
        busy_share = (busy + pending) / capacity
        flow_share = (open_flows + pending) / capacity
        arriving_share = arriving / capacity
        shares = (
            (flow_share, busy_share, arriving_share)
            if is_long
            else (busy_share, arriving_share, flow_share)
        )
        penalty = self._penalty(agent, is_failing=is_failing, now=now)
        return (penalty + shares[0], *shares[1:], self._choice.fraction())

    def _work_score(
        self,
        candidate: Candidate,
        placement: WorkPlacement,
        *,
        is_long: bool,
        is_failing: bool,
        now: float,
    ) -> tuple[float, ...]:
        agent = candidate.agent
        last = self._report_by_agent.get(agent)
        score = placement.score(
            candidate,
            last,
            pending=self._pending(agent, now),
            is_long=is_long,
            fraction=self._choice.fraction(),
            now=now,
        )
        return (self._penalty(agent, is_failing=is_failing, now=now) + score,)

    def _penalty(self, agent: str, *, is_failing: bool, now: float) -> float:
        is_unavailable = self._unavailable_reason(agent, now) is not None
        return is_unavailable * UNAVAILABLE_PENALTY + is_failing * FAILING_PENALTY

    def _pending(self, agent: str, now: float) -> int:
        placed_at = self._placed_at_by_agent.get(agent)
        if not placed_at:
            return 0
        last = self._report_by_agent.get(agent)
        # Only a report received after the placement can include it.
        while placed_at and (
            now - placed_at[0] > STALE_REPORT_S
            or (now - placed_at[0] > PENDING_S and last and last.reported_at > placed_at[0])
        ):
            placed_at.pop(0)
        return len(placed_at)
