"""Outlier detection: whether the requests at an upstream seem to fail."""

from __future__ import annotations

from collections import deque

QUICK_SHARE = 0.25
"""Error answers come after 2 ms; of proper ones 3% come in a quarter of the usual 75 ms."""
RECENT_ANSWERS = 16
"""An idle upstream that fails answers so many requests in 0.2 to 0.4 s."""
RECENT_S = 3.0
"""Older answers say nothing of a fault that begins or ends now."""
FAILED_TO_EJECT = 5
"""Of 16: with 3% quick answers by chance one window in 10,000 has five, and of an upstream that
fails 40% of its requests four windows in five."""
FAILED_TO_RETURN = 1
RETURN_ANSWERS = 12
"""Open flows stay at an ejected upstream; so many of their answers show that it has recovered. An
upstream that fails 40% of its requests passes in one of fifty cases."""
FAILED_TO_STAY = 2
"""So many failures among the last requests of open flows prolong an ejection that ends."""
EJECTION_S = 3.0
"""After this new flows try an upstream without open flows again."""
LONGEST_EJECTION_S = 24.0
"""Three doublings; an upstream that fails each time costs five requests in this time."""
FORGIVEN_S = 20.0
"""An upstream that has not failed for so long starts with the shortest ejection again."""
BASELINE_ANSWERS = 16
"""Below this number of answers the usual time isn't known."""
BASELINE_WEIGHT = 0.005
"""Of each answer in the usual time: five seconds of answers four times as slow move it by half."""


class OutlierDetector:
    """Judges an upstream by the requests that pass, since health answers may be false.

    Answers the load of an upstream that fails its requests at once: it always looks idle, so that
    placement by load would send it most new flows. The bytes of answers belong to the two ends of
    a flow; what can be seen is that an answer comes far sooner than requests take, or a reset
    instead. The usual time is learnt from the upstream's own answers.
    """

    def __init__(self) -> None:
        self._recent: deque[tuple[float, bool]] = deque(maxlen=RECENT_ANSWERS)
        self._answers = 0
        self._usual_s = 0.0
        self._ejected_until: float | None = None
        self._ejection_s = EJECTION_S
        self._returned_at: float | None = None

    @property
    def baseline_s(self) -> float:
        """Mean seconds to the first byte of a proper answer; 0 before one was seen."""
        return self._usual_s

    def counts(self, now: float) -> tuple[int, int]:
        """Return how many recent requests failed, and how many there were."""
        recent = [failed for at, failed in self._recent if now - at <= RECENT_S]
        return sum(recent), len(recent)

    def answered(self, seconds: float, now: float, *, has_waited: bool = False) -> None:
        """Note an answer that began ``seconds`` after its request.

        A request that ``has_waited`` for a slot doesn't tell the usual time: after an overload
        normal answers would look quick.
        """
        is_known = self._answers >= BASELINE_ANSWERS
        is_quick = is_known and seconds < QUICK_SHARE * self._usual_s
        if not is_quick and not has_waited:
            self._answers += 1
            weight = max(1 / self._answers, BASELINE_WEIGHT)
            self._usual_s += (seconds - self._usual_s) * weight
        self._add(is_quick, now)

    def failed(self, now: float) -> None:
        """Note a request that the upstream ended with a reset."""
        self._add(True, now)

    def _add(self, is_failed: bool, now: float) -> None:
        self._recent.append((now, is_failed))
        failed, recent = self.counts(now)
        if self._ejected_until is None:
            if failed >= FAILED_TO_EJECT:
                self._eject(now)
        elif recent >= RETURN_ANSWERS and failed <= FAILED_TO_RETURN:
            self._return(now)

    def _eject(self, now: float) -> None:
        was_forgiven = self._returned_at is None or now - self._returned_at > FORGIVEN_S
        doubled_s = min(self._ejection_s * 2, LONGEST_EJECTION_S)
        self._ejection_s = EJECTION_S if was_forgiven else doubled_s
        self._ejected_until = now + self._ejection_s
        self._recent.clear()

    def _return(self, now: float) -> None:
        self._ejected_until = None
        self._returned_at = now
        self._recent.clear()

    def is_failing(self, now: float) -> bool:
        """Return whether new flows should go elsewhere."""
        if self._ejected_until is not None and now >= self._ejected_until:
            failed, _ = self.counts(now)
            self._return(now)
            if failed >= FAILED_TO_STAY:
                self._eject(now)
        return self._ejected_until is not None
