"""The reports that an agent has sent to the present holder."""

from __future__ import annotations

from laburnumbridge.limits.timing import RENEW_S
from laburnumbridge.limits.timing import RETRY_S
from laburnumbridge.limits.timing import TERM_S


class ReportLog:
    """Remembers when each report was sent, and which are answered."""

    def __init__(self) -> None:
        self._sent_at_by_sequence: dict[int, float] = {}
        self._answered = 0
        self._last = 0
        self._unanswered = 0
        self.last_sent_at = float("-inf")

    def sent(self, sequence: int, now: float) -> None:
        """Note a report; those older than a term are forgotten."""
        while self._sent_at_by_sequence:
            oldest = next(iter(self._sent_at_by_sequence))
            if self._sent_at_by_sequence[oldest] > now - TERM_S:
                break
            del self._sent_at_by_sequence[oldest]
        self._sent_at_by_sequence[sequence] = now
        self._last = sequence
        self._unanswered += 1
        self.last_sent_at = now

    def sent_at(self, sequence: int) -> float | None:
        """Return when a report was sent, or None if it is too old or went to another holder."""
        return self._sent_at_by_sequence.get(sequence)

    def answered(self, sequence: int) -> None:
        """Note an answer."""
        self._answered = max(self._answered, sequence)
        self._unanswered = 0

    def retry_at(self) -> float | None:
        """Return when the last report is to be repeated, with backoff, or None if answered."""
        if self._answered >= self._last:
            return None
        exponent = min(max(self._unanswered - 1, 0), 10)
        return self.last_sent_at + min(RETRY_S * float(2**exponent), RENEW_S)

    def forget(self) -> None:
        """Forget all reports, after a change of holder."""
        self._sent_at_by_sequence.clear()
        self._answered = self._last
        self._unanswered = 0
