"""Asks clients to open a new connection before they leave this one."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from laburnumbridge.runtime.control.timer import PeriodicTimer

if TYPE_CHECKING:
    from laburnumbridge.runtime.client_connections.flow_endpoint import FlowEndpoint

# Spreads the handshakes of a drained upstream's clients over the siblings in time.
DRAIN_SPREAD_S = 10.0
STEP_S = 1.0


class FlowMover:
    """Sends GOAWAY; it never closes a flow, the client does when its new one is open."""

    def __init__(self, *, flows: FlowEndpoint) -> None:
        self._flows = flows
        self._per_step: int | None = None
        self._timer = PeriodicTimer(interval_s=STEP_S, callback=self._step)
        self.asked = 0

    def start(self) -> None:
        """Begin to step."""
        self._timer.start()

    def close(self) -> None:
        """Stop stepping."""
        self._timer.close()

    def move(self, count: int) -> None:
        """Ask up to ``count`` clients that were not asked before."""
        candidates = [c for c in self._flows.connections if c.opened and not c.going_away]
        # Fewest open requests first: these clients have the least to carry over.
        candidates.sort(key=lambda connection: connection.open_requests)
        for connection in candidates[:count]:
            connection.go_away()
            self.asked += 1

    def move_all(self) -> None:
        """Ask every client at once."""
        self.move(len(self._flows.connections))

    def start_drain(self) -> None:
        """Ask every client over DRAIN_SPREAD_S, and those that still come at once."""
        if self._per_step is None:
            flows = len(self._flows.connections)
            self._per_step = max(1, math.ceil(flows * STEP_S / DRAIN_SPREAD_S))

    def _step(self) -> None:
        if self._per_step is not None:
            self.move(self._per_step)
