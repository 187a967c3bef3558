"""The reports that an agent has sent to the current holder."""

from __future__ import annotations

from laburnumbridge.limits.timing import RENEW_S
from laburnumbridge.limits.timing import RETRY_S
from laburnumbridge.limits.timing import TERM_S

# A holder with a report unanswered for this long, three round trips, counts as unresponsive.
HOLDER_TIMEOUT_S = 0.01


class ReportLog:
    """Records when each report was sent, and the latest one that was answered."""

    def __init__(self) -> None:
        self._sent_at_by_sequence: dict[int, float] = {}
        self._last_answered = 0
        self._last_sequence = 0
        self._unanswered = 0
        self._unanswered_since = 0.0
        self.last_sent_at = float("-inf")

    def record_sent(self, sequence: int, now: float) -> None:
        """Record a sent report, and remove those older than a term."""
        while self._sent_at_by_sequence:
            oldest = next(iter(self._sent_at_by_sequence))
            if self._sent_at_by_sequence[oldest] > now - TERM_S:
                break
            del self._sent_at_by_sequence[oldest]
        self._sent_at_by_sequence[sequence] = now
        self._last_sequence = sequence
        if self._unanswered == 0:
            self._unanswered_since = now
        self._unanswered += 1
        self.last_sent_at = now

    def sent_at(self, sequence: int) -> float | None:
        """Return when a report was sent (monotonic seconds).

        None if it is older than a term or was sent to another holder.
        """
        return self._sent_at_by_sequence.get(sequence)

    def record_answer(self, sequence: int) -> None:
        """Record the answer to a report."""
        self._last_answered = max(self._last_answered, sequence)
        self._unanswered = 0

    def is_holder_responsive(self, now: float) -> bool:
        """Return whether the current holder answers.

        Credit is returned only to a responsive holder: an unavailable one can't grant it to
        others, and the next holder accounts only for credit that is still held.
        """
        if self._last_answered == 0:
            return False
        return self._unanswered == 0 or now < self._unanswered_since + HOLDER_TIMEOUT_S

    def retry_at(self) -> float | None:
        """Return when to repeat the last report (monotonic seconds), or None if it was answered.

        The interval doubles with each unanswered report, up to ``RENEW_S``.
        """
        if self._last_answered >= self._last_sequence:
            return None
        exponent = min(max(self._unanswered - 1, 0), 10)
        return self.last_sent_at + min(RETRY_S * float(2**exponent), RENEW_S)

    def clear(self) -> None:
        """Remove all reports, after a change of holder or a pause of the process."""
        self._sent_at_by_sequence.clear()
        self._last_answered = self._last_sequence = 0
        self._unanswered = 0
