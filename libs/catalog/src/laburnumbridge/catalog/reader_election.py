"""The election of the processes that read the platform."""

from __future__ import annotations

from laburnumbridge.core import hash64

FRESH_S = 2.3
"""A view confirmed longer ago than this is not fresh. A watch confirms it each 1.2 s and peers tell
it twice a second; a leaving upstream must be known everywhere within 3 s, also when the platform
turns all seeds away at once."""
ENTRY_FIRST_WAIT_S = 0.05
"""A process that can't work without a view waits one round trip to its peers for it."""
ENTRY_FIRST_SPREAD_S = 0.1
FIRST_WAIT_S = 0.4
"""At its start any other process waits this long for its peers' view; they start within 0.3 s."""
FIRST_SPREAD_S = 0.6
SPREAD_S = 0.4
"""Processes without fresh news begin to read spread over this time, so that the first serve the
others."""


class ReaderElection:
    """Decides whether a process reads the platform or leaves that to its peers.

    Each call to the platform counts, so few processes read: those that the settings name as
    seeds. Another process reads only while it gets no fresh view, and it stops when a process of
    higher rank confirms the view. Seeds rank before others, then the name decides. A process that
    ``needs_view`` to do anything reads right at its start when no peer answers: two calls by each
    balancer are 1,560 at full size, less than the platform answers in a second.
    """

    def __init__(self, *, process: str, needs_view: bool, now: float) -> None:
        self._process = process
        self._started_at = now
        spread = hash64(process.encode()) / (1 << 64)
        self._first_wait_s = FIRST_WAIT_S + spread * FIRST_SPREAD_S
        if needs_view:
            self._first_wait_s = ENTRY_FIRST_WAIT_S + spread * ENTRY_FIRST_SPREAD_S
        self._patience_s = FRESH_S + spread * SPREAD_S
        self._is_seed = False
        self._confirmed_elsewhere_at: float | None = None

    def reader_name(self, *, is_seed: bool) -> str:
        """Return the name under which this process confirms a view; it sorts by rank."""
        return f"{0 if is_seed else 1}/{self._process}"

    def on_confirmed(self, confirmed_by: str, age_s: float, now: float) -> None:
        """Note that a peer's news was confirmed by the reader ``confirmed_by``."""
        own_name = self.reader_name(is_seed=self._is_seed)
        if not confirmed_by or confirmed_by.endswith(f"/{self._process}"):
            return
        if confirmed_by > own_name:
            return
        confirmed_at = now - age_s
        if self._confirmed_elsewhere_at is None or confirmed_at > self._confirmed_elsewhere_at:
            self._confirmed_elsewhere_at = confirmed_at

    def should_read(self, *, is_seed: bool, now: float) -> bool:
        """Return whether the process reads the platform now."""
        self._is_seed = is_seed
        if is_seed:
            return True
        if self._confirmed_elsewhere_at is None:
            return now - self._started_at > self._first_wait_s
        return now - self._confirmed_elsewhere_at > self._patience_s
