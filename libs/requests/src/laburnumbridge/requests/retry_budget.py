"""Limits the number of retries."""

from __future__ import annotations

RETRY_SHARE = 0.1  # retries per request; more would amplify the load of a failing service
MIN_RETRIES_PER_S = 1.0  # keeps retries possible at low request rates
MAX_TOKENS = 20.0  # bounds the burst of retries after a time without any


class RetryBudget:
    """A token bucket that fills by requests and by time; each retry takes one token."""

    def __init__(self, *, now: float) -> None:
        self._tokens = MIN_RETRIES_PER_S
        self._filled_at = now

    def count_request(self, now: float) -> None:
        """Add the tokens that one request earns."""
        self._fill(now)
        self._tokens = min(MAX_TOKENS, self._tokens + RETRY_SHARE)

    def try_take(self, now: float) -> bool:
        """Take one token, or return False when the budget is used up."""
        self._fill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _fill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._filled_at)
        self._filled_at = max(now, self._filled_at)
        # Time alone fills the bucket to one second's worth, so that idle time saves up no burst.
        by_time = min(elapsed_s * MIN_RETRIES_PER_S, max(0.0, MIN_RETRIES_PER_S - self._tokens))
        self._tokens += by_time
