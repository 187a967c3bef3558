"""Moves clients to other agents by asking them to open a new connection."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from laburnumbridge.runtime.control.timer import PeriodicTimer

if TYPE_CHECKING:
    from laburnumbridge.runtime.client_connections.flow_endpoint import FlowEndpoint

# A drain requests its reconnects over this time, so that the siblings don't receive all the
# handshakes at once.
DRAIN_SPREAD_S = 10.0
STEP_S = 1.0


class FlowMover:
    """Sends GOAWAY to clients.

    It never closes a flow; the client closes it once its new connection is open.
    """

    def __init__(self, *, flows: FlowEndpoint) -> None:
        self._flows = flows
        self._per_step: int | None = None
        self._timer = PeriodicTimer(interval_s=STEP_S, callback=self._step)
        self.goaways_sent = 0

    def start(self) -> None:
        """Start the periodic step."""
        self._timer.start()

    def close(self) -> None:
        """Stop the periodic step."""
        self._timer.close()

    def move(self, count: int) -> None:
        """Send GOAWAY to up to ``count`` clients that haven't received one."""
        candidates = [c for c in self._flows.connections if c.opened and not c.going_away]
        # Fewest open requests first: these clients have the least work to finish before they move.
        candidates.sort(key=lambda connection: connection.open_requests)
        for connection in candidates[:count]:
            connection.go_away()
            self.goaways_sent += 1

    def move_all(self) -> None:
        """Send GOAWAY to every client at once."""
        self.move(len(self._flows.connections))

    def start_drain(self) -> None:
        """Send GOAWAY over DRAIN_SPREAD_S seconds; later clients get it at the next step."""
        if self._per_step is None:
            flows = len(self._flows.connections)
            self._per_step = max(1, math.ceil(flows * STEP_S / DRAIN_SPREAD_S))

    def _step(self) -> None:
        if self._per_step is not None:
            self.move(self._per_step)
