"""The number of slots of an upstream that may be busy at a given time."""

from __future__ import annotations

import math

from laburnumbridge.admission.events import Outcome
from laburnumbridge.core import RefusalReason

# Interval between probes of an upstream that accepts no connections; each is a single request.
PROBE_INTERVAL_S = 1.0
# A single lost connection may be an idle one that the upstream closed, so probing begins only
# after this many losses in a row.
LOSSES_BEFORE_PROBING = 2
# After the Retry-After period one slot returns per step, so that the upstream isn't overloaded
# again at once. It is also the shortest pause after a shed answer.
SHED_RECOVERY_STEP_S = 1.0
# Longer Retry-After values are cut to this; the upstream prolongs the pause by shedding again.
MAX_RETRY_AFTER_S = 30.0
# A health report "down" is ignored while the last success is at most this old.
SUCCESS_EVIDENCE_S = 10.0
# The health and load endpoints lag, so their reports are ignored after these times.
HEALTH_REPORT_LIFETIME_S = 15.0
LOAD_REPORT_LIFETIME_S = 2.0

# Tolerance for rounding: a step that is due at ``now`` but not counted would leave no timer for it.
_ROUNDING_STEPS = 1e-6


def _whole_steps(elapsed_s: float, step_s: float) -> int:
    return math.floor(elapsed_s / step_s + _ROUNDING_STEPS)


class UpstreamCapacity:
    """Derives the usable slots from request outcomes, the slow start, and the upstream's reports.

    Outcomes of this agent's requests can close the upstream or limit it to one probe. Reports of
    its health and load endpoints have less effect: "down" limits it to one request until one
    succeeds, "up" only ends an earlier "down", and a load report removes one slot at most.
    """

    def __init__(self, *, slots: int, slow_start_s: float) -> None:
        self.slots = slots
        self._slow_start_s = slow_start_s
        self._cold_step_s = slow_start_s / slots
        self._cold_since = -math.inf
        self._shed_limit = slots
        self._shed_until = -math.inf
        self._consecutive_losses = 0
        self._next_probe_at: float | None = None
        self._last_success_at = -math.inf
        self._reported_down_at = -math.inf
        self._reported_overload_at = -math.inf

    @property
    def is_probing(self) -> bool:
        """True while request outcomes show that the upstream accepts no connections."""
        return self._next_probe_at is not None

    def start_cold(self, now: float) -> None:
        """Begin a slow start, and end probing."""
        self._cold_since = now
        self._consecutive_losses = 0
        self._next_probe_at = None

    def answer(self, now: float) -> None:
        """Record that the upstream answers; if it was being probed, a slow start begins."""
        self._consecutive_losses = 0
        if self.is_probing:
            # The upstream was unavailable, so it counts as restarted.
            self.start_cold(now)

    def start_probe(self, now: float) -> None:
        """Postpone the next probe by one interval, because one has been sent."""
        self._next_probe_at = now + PROBE_INTERVAL_S

    def finish(
        self, outcome: Outcome, *, running: int | None, retry_after_s: float, now: float
    ) -> None:
        """Update the capacity after a request or stream ended with ``outcome``.

        ``running`` counts the running requests including this one; it is None for a stream.
        """
        if outcome is Outcome.CONNECTION_REFUSED or outcome is Outcome.CONNECTION_LOST:
            self._record_lost_connection(outcome, now)
            return
        self.answer(now)
        if outcome is Outcome.SHED:
            self._shed(running=running, retry_after_s=retry_after_s, now=now)
        if outcome is Outcome.SUCCESS:
            self._last_success_at = now

    def report_health(self, *, is_up: bool, now: float) -> None:
        """Apply a report of the health endpoint."""
        self._reported_down_at = -math.inf if is_up else now

    def report_load(self, *, busy_slots: int, running: int, now: float) -> None:
        """Apply a report of the load endpoint.

        The upstream counts as overloaded when all its slots are busy and this agent's ``running``
        requests account for fewer.
        """
        is_overloaded = busy_slots >= self.slots and busy_slots > running
        self._reported_overload_at = now if is_overloaded else -math.inf

    def usable(self, now: float) -> int:
        """Return the number of slots that may be busy at ``now``."""
        if self._next_probe_at is not None:
            return 1 if now >= self._next_probe_at else 0
        limit = min(self._slow_start_limit(now), self._shed_limit_at(now))
        if self._is_reported_down(now):
            limit = min(limit, 1)
        if self._is_reported_overloaded(now):
            limit = min(limit, max(1, self.slots - 1))
        return limit

    def closed_until(self, now: float) -> float:
        """Return when the first slot opens (monotonic seconds), or ``now`` if one may be used."""
        if self._next_probe_at is not None:
            return max(now, self._next_probe_at)
        if self._shed_limit_at(now) == 0:
            return self._shed_until
        return now

    def refusal_reason(self, now: float) -> RefusalReason:
        """Return the reason to give when the upstream can't accept another request."""
        if self.is_probing:
            return RefusalReason.NO_UPSTREAM
        if self._shed_limit_at(now) < self.slots:
            return RefusalReason.UPSTREAM_SHEDDING
        if self._slow_start_limit(now) < self.slots:
            return RefusalReason.COLD_START
        return RefusalReason.QUEUE_FULL

    def next_change(self, now: float) -> float:
        """Return the next time after ``now`` when more slots may be usable, or infinity."""
        times = [
            self._next_cold_step(now),
            self._next_probe_at,
            self._shed_until,
            self._next_shed_step(now),
            self._reported_down_at + HEALTH_REPORT_LIFETIME_S,
            self._reported_overload_at + LOAD_REPORT_LIFETIME_S,
        ]
        return min((at for at in times if at is not None and at > now), default=math.inf)

    def _record_lost_connection(self, outcome: Outcome, now: float) -> None:
        self._consecutive_losses += 1
        is_refused = outcome is Outcome.CONNECTION_REFUSED
        if is_refused or self.is_probing or self._consecutive_losses >= LOSSES_BEFORE_PROBING:
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

    def _is_reported_down(self, now: float) -> bool:
        if now >= self._reported_down_at + HEALTH_REPORT_LIFETIME_S:
            return False
        return self._last_success_at < min(self._reported_down_at, now - SUCCESS_EVIDENCE_S)

    def _is_reported_overloaded(self, now: float) -> bool:
        return (
            now < self._reported_overload_at + LOAD_REPORT_LIFETIME_S
            and self._last_success_at < self._reported_overload_at
        )
