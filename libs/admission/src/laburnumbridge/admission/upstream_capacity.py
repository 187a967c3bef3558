"""How many slots of the upstream may be used at present."""

from __future__ import annotations

import math

from laburnumbridge.admission.events import Outcome
from laburnumbridge.core import RefusalReason

# While the upstream takes no connection, one request at a time tests it, this far apart.
PROBE_INTERVAL_S = 1.0
# One lost connection may be an idle connection that the upstream closed; two are no accident.
LOST_BEFORE_PROBING = 2
# After the Retry-After the slots return one by one, so that the upstream isn't flooded again.
SHED_RECOVERY_STEP_S = 1.0
# An upstream that asks for a longer pause gets it by shedding again.
MAX_RETRY_AFTER_S = 30.0
# A success this recent outweighs a health report "down".
OWN_EVIDENCE_S = 10.0
# Health and load endpoints lag; older reports say nothing.
HEALTH_HINT_S = 15.0
LOAD_HINT_S = 2.0

# A step due at ``now`` must count at ``now`` in spite of rounding, or its timer is never set again.
_ROUNDING_STEPS = 1e-6


def _whole_steps(elapsed_s: float, step_s: float) -> int:
    return math.floor(elapsed_s / step_s + _ROUNDING_STEPS)


class UpstreamCapacity:
    """Derives the usable slots from own outcomes, the slow start and hints.

    Own outcomes can close the upstream or limit it to one probe. Hints are weaker: "down" limits
    it to one request until one succeeds, a load report takes one slot at most, "up" only ends an
    earlier "down".
    """

    def __init__(self, *, slots: int, slow_start_s: float) -> None:
        self.slots = slots
        self._slow_start_s = slow_start_s
        self._cold_step_s = slow_start_s / slots
        self._cold_since = -math.inf
        self._shed_limit = slots
        self._shed_until = -math.inf
        self._lost_in_a_row = 0
        self._next_probe_at: float | None = None
        self._success_at = -math.inf
        self._down_at = -math.inf
        self._overload_at = -math.inf

    @property
    def is_probing(self) -> bool:
        """True while own outcomes say that the upstream takes no connections."""
        return self._next_probe_at is not None

    def start_cold(self, now: float) -> None:
        """Begin a slow start."""
        self._cold_since = now
        self._lost_in_a_row = 0
        self._next_probe_at = None

    def answer(self, now: float) -> None:
        """Take note that the upstream answers."""
        self._lost_in_a_row = 0
        if self.is_probing:
            # An upstream that was away has restarted.
            self.start_cold(now)

    def start_probe(self, now: float) -> None:
        """Put off the next probe, because one is on its way."""
        self._next_probe_at = now + PROBE_INTERVAL_S

    def finish(
        self, outcome: Outcome, *, running: int | None, retry_after_s: float, now: float
    ) -> None:
        """Weigh the outcome of one of ``running`` requests, itself included, or of a stream."""
        if outcome is Outcome.CONNECTION_REFUSED or outcome is Outcome.CONNECTION_LOST:
            self._count_lost(outcome, now)
            return
        self.answer(now)
        if outcome is Outcome.SHED:
            self._shed(running=running, retry_after_s=retry_after_s, now=now)
        if outcome is Outcome.SUCCESS:
            self._success_at = now

    def report_health(self, *, is_up: bool, now: float) -> None:
        """Take a hint from the health endpoint."""
        self._down_at = -math.inf if is_up else now

    def report_load(self, *, busy_slots: int, running: int, now: float) -> None:
        """Take a hint from the load endpoint: more slots busy than own requests explain."""
        is_overloaded = busy_slots >= self.slots and busy_slots > running
        self._overload_at = now if is_overloaded else -math.inf

    def usable(self, now: float) -> int:
        """Return the slots that may be busy at ``now``."""
        if self._next_probe_at is not None:
            return 1 if now >= self._next_probe_at else 0
        limit = min(self._slow_start_limit(now), self._shed_limit_at(now))
        if self._is_down_hinted(now):
            limit = min(limit, 1)
        if self._is_overload_hinted(now):
            limit = min(limit, max(1, self.slots - 1))
        return limit

    def closed_until(self, now: float) -> float:
        """Return when the first slot opens again, or ``now`` if one is usable."""
        if self._next_probe_at is not None:
            return max(now, self._next_probe_at)
        if self._shed_limit_at(now) == 0:
            return self._shed_until
        return now

    def refusal_reason(self, now: float) -> RefusalReason:
        """Return why the upstream can't take more than it does."""
        if self.is_probing:
            return RefusalReason.NO_UPSTREAM
        if self._shed_limit_at(now) < self.slots:
            return RefusalReason.UPSTREAM_SHEDDING
        if self._slow_start_limit(now) < self.slots:
            return RefusalReason.COLD_START
        return RefusalReason.QUEUE_FULL

    def next_change(self, now: float) -> float:
        """Return a time after ``now`` by which more slots may be usable, or infinity."""
        times = [
            self._next_cold_step(now),
            self._next_probe_at,
            self._shed_until,
            self._next_shed_step(now),
            self._down_at + HEALTH_HINT_S,
            self._overload_at + LOAD_HINT_S,
        ]
        return min((at for at in times if at is not None and at > now), default=math.inf)

    def _count_lost(self, outcome: Outcome, now: float) -> None:
        self._lost_in_a_row += 1
        is_refused = outcome is Outcome.CONNECTION_REFUSED
        if is_refused or self.is_probing or self._lost_in_a_row >= LOST_BEFORE_PROBING:
            self._next_probe_at = now + PROBE_INTERVAL_S

    def _shed(self, *, running: int | None, retry_after_s: float, now: float) -> None:
        limit = self._shed_limit_at(now)
        if running is None:
            self._shed_limit = max(min(limit, 1), limit - 1)
        else:
            self._shed_limit = max(0, min(limit, running) - 1)
        pause_s = min(max(retry_after_s, SHED_RECOVERY_STEP_S), MAX_RETRY_AFTER_S)
        self._shed_until = max(self._shed_until, now + pause_s)

    def _shed_limit_at(self, now: float) -> int:
        if now < self._shed_until:
            return self._shed_limit
        if self._shed_limit >= self.slots:
            return self.slots
        steps = _whole_steps(now - self._shed_until, SHED_RECOVERY_STEP_S)
        return min(self.slots, self._shed_limit + 1 + steps)

    def _next_shed_step(self, now: float) -> float | None:
        if now < self._shed_until or self._shed_limit_at(now) >= self.slots:
            return None
        steps = self._shed_limit_at(now) - self._shed_limit
        return self._shed_until + steps * SHED_RECOVERY_STEP_S

    def _cold_steps(self, now: float) -> int:
        if now >= self._cold_since + self._slow_start_s:
            return self.slots
        return _whole_steps(now - self._cold_since, self._cold_step_s)

    def _next_cold_step(self, now: float) -> float | None:
        steps = self._cold_steps(now)
        if steps >= self.slots - 1:
            return None
        return self._cold_since + self._cold_step_s * (steps + 1)

    def _slow_start_limit(self, now: float) -> int:
        return min(self.slots, 1 + self._cold_steps(now))

    def _is_down_hinted(self, now: float) -> bool:
        if now >= self._down_at + HEALTH_HINT_S:
            return False
        return self._success_at < min(self._down_at, now - OWN_EVIDENCE_S)

    def _is_overload_hinted(self, now: float) -> bool:
        return now < self._overload_at + LOAD_HINT_S and self._success_at < self._overload_at
