"""The reports that an agent has sent to the present holder."""

from __future__ import annotations

from laburnumbridge.limits.timing import RENEW_S
from laburnumbridge.limits.timing import RETRY_S
from laburnumbridge.limits.timing import TERM_S

# A holder that leaves reports unanswered for longer counts as out of contact; three round trips.
CONTACT_S = 0.01


class ReportLog:
    """Remembers when each report was sent, and which are answered."""

    def __init__(self) -> None:
        self._sent_at_by_sequence: dict[int, float] = {}
        self._answered = 0
        self._last = 0
        self._unanswered = 0
        self._unanswered_since = 0.0
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
        if self._unanswered == 0:
            self._unanswered_since = now
        self._unanswered += 1
        self.last_sent_at = now

    def sent_at(self, sequence: int) -> float | None:
        """Return when a report was sent, or None if it is too old or went to another holder."""
        return self._sent_at_by_sequence.get(sequence)

    def answered(self, sequence: int) -> None:
        """Note an answer."""
        self._answered = max(self._answered, sequence)
        self._unanswered = 0

    def in_contact(self, now: float) -> bool:
        """Tell whether the present holder answers.

        Credit is returned only then: a holder that is gone can't grant it to others, and the
        next holder accounts only for credit that is still held.
        """
        if self._answered == 0:
            return False
        return self._unanswered == 0 or now < self._unanswered_since + CONTACT_S

    def retry_at(self) -> float | None:
        """Return when the last report is to be repeated, with backoff, or None if answered."""
        if self._answered >= self._last:
            return None
        exponent = min(max(self._unanswered - 1, 0), 10)
        return self.last_sent_at + min(RETRY_S * float(2**exponent), RENEW_S)

    def forget(self) -> None:
        """Forget all reports, after a change of holder."""
        self._sent_at_by_sequence.clear()
        self._answered = self._last = 0
        self._unanswered = 0
