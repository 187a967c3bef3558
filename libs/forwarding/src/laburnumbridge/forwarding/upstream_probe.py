"""Probe that checks whether a process listens at the upstream's endpoint."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.forwarding.endpoints import Endpoint
    from laburnumbridge.forwarding.network import ByteStream
    from laburnumbridge.forwarding.network import Loop
    from laburnumbridge.forwarding.network import Network
    from laburnumbridge.forwarding.network import StreamEnd
    from laburnumbridge.forwarding.network import Timer

CONNECT_TIMEOUT_S = 0.5
"""An attempt without an answer ends after this; within a VM one takes well below a millisecond."""


class ProbeOutcome(Enum):
    """Result of a connection attempt; ``SILENT`` is a time-out or any error but a refusal."""

    LISTENING = "listening"
    REFUSED = "refused"
    SILENT = "silent"


class UpstreamProbe:
    """Opens a TCP connection to the upstream and closes it at once, without a request.

    A refused connection proves that no process listens; a missing answer proves nothing.
    """

    def __init__(
        self,
        *,
        loop: Loop,
        network: Network,
        endpoint: Endpoint,
        on_outcome: Callable[[ProbeOutcome], None],
    ) -> None:
        self._loop = loop
        self._network = network
        self._endpoint = endpoint
        self._on_outcome = on_outcome
        self._stream: ByteStream | None = None
        self._timer: Timer | None = None

    @property
    def is_running(self) -> bool:
        """True while an attempt is under way."""
        return self._timer is not None

    def start(self) -> None:
        """Begin an attempt unless one is under way."""
        if self._timer is not None:
            return
        self._timer = self._loop.call_later(
            CONNECT_TIMEOUT_S, lambda: self._end(ProbeOutcome.SILENT)
        )
        self._stream = self._network.connect(self._endpoint)
        self._stream.on_connected = lambda: self._end(ProbeOutcome.LISTENING)
        self._stream.on_end = self._on_end

    def close(self) -> None:
        """Abandon the attempt without an outcome."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def _end(self, outcome: ProbeOutcome) -> None:
        if self._timer is None:
            return
        self.close()
        self._on_outcome(outcome)

    def _on_end(self, end: StreamEnd) -> None:
        self._end(ProbeOutcome.REFUSED if end.is_refused else ProbeOutcome.SILENT)
