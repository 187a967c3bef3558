"""Election of the processes that read the platform."""

from __future__ import annotations

from laburnumbridge.core import hash64

FRESH_S = 2.3
"""A view confirmed longer ago than this is stale. A watch confirms it every 1.2 s, and peers report
it twice a second. A leaving upstream must be reported to all processes within 3 s, also when the
platform refuses all seeds at once."""
NEEDED_VIEW_WAIT_S = 0.05
"""A process that needs a view to work waits for one round trip to its peers before it reads."""
NEEDED_VIEW_SPREAD_S = 0.1
START_WAIT_S = 0.4
"""After its start any other process waits this long for a view of its peers, which start within
0.3 s."""
START_SPREAD_S = 0.6
STALE_SPREAD_S = 0.4
"""Processes with a stale view start to read spread over this time, so that the first ones supply
the others."""


class ReaderElection:
    """Decides whether a process reads the platform or leaves that to its peers.

    Each call to the platform is counted, so few processes read: those that the settings list as
    seeds. Another process reads only while it receives no fresh view, and it stops when a process
    of higher rank confirms the view. Seeds rank before others, then the name decides. A process
    that ``needs_view`` to work reads soon after its start if no peer answers. Two calls by each
    balancer are 1,560 calls at full size, fewer than the platform answers in a second.
    """

    def __init__(self, *, process: str, needs_view: bool, now: float) -> None:
        self._process = process
        self._started_at = now
        spread = hash64(process.encode()) / (1 << 64)
        self._start_wait_s = START_WAIT_S + spread * START_SPREAD_S
        if needs_view:
            self._start_wait_s = NEEDED_VIEW_WAIT_S + spread * NEEDED_VIEW_SPREAD_S
        self._stale_after_s = FRESH_S + spread * STALE_SPREAD_S
        self._is_seed = False
        self._peer_confirmed_at: float | None = None

    def reader_name(self, *, is_seed: bool) -> str:
        """Return the name under which this process confirms a view; names sort by rank."""
        return f"{0 if is_seed else 1}/{self._process}"

    def on_confirmed(self, confirmed_by: str, age_s: float, now: float) -> None:
        """Record that ``confirmed_by`` confirmed a peer's view ``age_s`` seconds ago.

        Confirmations by this process or by one of lower rank have no effect.
        """
        own_name = self.reader_name(is_seed=self._is_seed)
        if not confirmed_by or confirmed_by.endswith(f"/{self._process}"):
            return
        if confirmed_by > own_name:
            return
        confirmed_at = now - age_s
        if self._peer_confirmed_at is None or confirmed_at > self._peer_confirmed_at:
            self._peer_confirmed_at = confirmed_at

    def should_read(self, *, is_seed: bool, now: float) -> bool:
        """Return whether the process should read the platform now."""
        self._is_seed = is_seed
        if is_seed:
            return True
        if self._peer_confirmed_at is None:
            return now - self._started_at > self._start_wait_s
        return now - self._peer_confirmed_at > self._stale_after_s
