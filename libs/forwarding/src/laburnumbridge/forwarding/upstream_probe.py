"""Finds out whether the upstream's process is there."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from laburnumbridge.forwarding.stream import Stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.forwarding.endpoints import Endpoint
    from laburnumbridge.forwarding.event_loop import EventLoop
    from laburnumbridge.forwarding.event_loop import Timer

CONNECT_TIMEOUT_S = 0.5
"""On one machine a connection takes well below a millisecond."""


class ProbeOutcome(Enum):
    """What a connection attempt showed."""

    LISTENING = "listening"
    REFUSED = "refused"
    SILENT = "silent"


class UpstreamProbe:
    """Opens a TCP connection to the upstream and closes it at once, without a request.

    A refused connection proves that no process listens; silence proves nothing.
    """

    def __init__(
        self,
        *,
        loop: EventLoop,
        endpoint: Endpoint,
        on_outcome: Callable[[ProbeOutcome], None],
    ) -> None:
        self._loop = loop
        self._endpoint = endpoint
        self._on_outcome = on_outcome
        self._stream: Stream | None = None
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
        try:
            self._stream = Stream.connect(
                loop=self._loop,
                endpoint=self._endpoint,
                on_data=lambda _data: None,
                on_closed=lambda _reason: self._end(ProbeOutcome.REFUSED),
                on_connected=lambda: self._end(ProbeOutcome.LISTENING),
            )
        except ConnectionRefusedError:
            self._loop.call_later(0.0, lambda: self._end(ProbeOutcome.REFUSED))
        except OSError:
            self._loop.call_later(0.0, lambda: self._end(ProbeOutcome.SILENT))

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
