"""Outlier detection: ejects an upstream whose requests seem to fail."""

from __future__ import annotations

from collections import deque

QUICK_ANSWER_SHARE = 0.25
"""An answer in less than this share of the baseline counts as a failure. Error answers arrive after
2 ms; of proper answers 3% arrive in a quarter of the usual 75 ms."""
RECENT_ANSWERS = 16
"""Number of answers kept; an idle upstream that fails answers this many in 0.2 to 0.4 s."""
RECENT_S = 3.0
"""Answers older than this are ignored: they don't show a fault that begins or ends now."""
EJECTION_FAILURES = 5
"""Failures among the last 16 answers that eject an upstream. With 3% quick answers by chance one
window in 10,000 has five; with 40% failed requests four windows in five have."""
RECOVERY_FAILURES = 1
RECOVERY_ANSWERS = 12
"""Open flows stay at an ejected upstream. Among this many of their answers, at most
``RECOVERY_FAILURES`` failures end the ejection early. An upstream that fails 40% of its requests
passes this in one of fifty cases."""
EXTENSION_FAILURES = 2
"""This many recent failures of open flows at the end of an ejection start the next one."""
EJECTION_S = 3.0
"""Length of the first ejection; after it new flows test the upstream, also without open flows."""
MAX_EJECTION_S = 24.0
"""Limit of the backoff, three doublings; an upstream that still fails costs five requests in this
time."""
BACKOFF_RESET_S = 20.0
"""The backoff restarts if an upstream is ejected later than this after its last ejection ended."""
BASELINE_ANSWERS = 16
"""Below this number of answers there is no baseline, and no answer counts as quick."""
BASELINE_WEIGHT = 0.005
"""Weight of one answer in the baseline: five seconds of answers four times as slow move it by
half."""


class OutlierDetector:
    """Detects a failing upstream from its answers to requests, since health answers may be false.

    An upstream that fails its requests immediately always looks idle, so placement by load would
    send it most new flows. The contents of answers are private to the two ends of a flow. What can
    be observed is an answer far sooner than requests take, or a reset in its place. The baseline
    is the mean time of the upstream's own answers.
    """

    def __init__(self) -> None:
        self._recent: deque[tuple[float, bool]] = deque(maxlen=RECENT_ANSWERS)
        self._baseline_answers = 0
        self._baseline_s = 0.0
        self._ejected_until: float | None = None
        self._ejection_s = EJECTION_S
        self._ejection_ended_at: float | None = None

    @property
    def baseline_s(self) -> float:
        """Mean seconds to the first byte of a proper answer; 0 before the first one."""
        return self._baseline_s

    def counts(self, now: float) -> tuple[int, int]:
        """Return the number of recent failures and the number of recent answers and resets."""
        recent = [failed for at, failed in self._recent if now - at <= RECENT_S]
        return sum(recent), len(recent)

    def on_answer(self, seconds: float, now: float, *, has_waited: bool = False) -> None:
        """Record an answer that began ``seconds`` after its request.

        Requests that ``has_waited`` marks as delayed by full slots don't change the baseline:
        after an overload normal answers would look quick.
        """
        has_baseline = self._baseline_answers >= BASELINE_ANSWERS
        is_quick = has_baseline and seconds < QUICK_ANSWER_SHARE * self._baseline_s
        if not is_quick and not has_waited:
            self._baseline_answers += 1
            weight = max(1 / self._baseline_answers, BASELINE_WEIGHT)
            self._baseline_s += (seconds - self._baseline_s) * weight
        self._record(is_quick, now)

    def on_reset(self, now: float) -> None:
        """Record a request that the upstream ended with a reset."""
        self._record(True, now)

    def _record(self, is_failed: bool, now: float) -> None:
        self._recent.append((now, is_failed))
        failed, recent = self.counts(now)
        if self._ejected_until is None:
            if failed >= EJECTION_FAILURES:
                self._eject(now)
        elif recent >= RECOVERY_ANSWERS and failed <= RECOVERY_FAILURES:
            self._end_ejection(now)

    def _eject(self, now: float) -> None:
        is_backoff_over = (
            self._ejection_ended_at is None or now - self._ejection_ended_at > BACKOFF_RESET_S
        )
        doubled_s = min(self._ejection_s * 2, MAX_EJECTION_S)
        self._ejection_s = EJECTION_S if is_backoff_over else doubled_s
        self._ejected_until = now + self._ejection_s
        self._recent.clear()

    def _end_ejection(self, now: float) -> None:
        self._ejected_until = None
        self._ejection_ended_at = now
        self._recent.clear()

    def is_failing(self, now: float) -> bool:
        """Return whether the upstream is ejected, so that new flows should go to others."""
        if self._ejected_until is not None and now >= self._ejected_until:
            failed, _ = self.counts(now)
            self._end_ejection(now)
            if failed >= EXTENSION_FAILURES:
                self._eject(now)
        return self._ejected_until is not None
