"""Whether the upstream beside an agent answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.core import Event
from laburnumbridge.forwarding.upstream_probe import ProbeOutcome
from laburnumbridge.forwarding.upstream_probe import UpstreamProbe

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.flows import FlowKey
    from laburnumbridge.flows.peer_datagrams import Envelope
    from laburnumbridge.forwarding.decision_log import DecisionLog
    from laburnumbridge.forwarding.endpoints import Endpoint
    from laburnumbridge.forwarding.metrics import Metrics
    from laburnumbridge.forwarding.network import Loop
    from laburnumbridge.forwarding.network import Network

UNANSWERED_OPENING_S = 0.08
"""An upstream answers an opening packet within a millisecond unless it is gone or stuck."""
UPSTREAM_REFUSAL_S = 0.25
"""An upstream that returned an opening packet is full or leaving; a few requests end meanwhile."""
PROBE_AGAIN_S = 0.5


class UpstreamWatch:
    """Notices an upstream that leaves opening packets unanswered, and proves that it has ended.

    Silence only keeps new flows away. A refused connection proves that no process listens, and
    ``on_down`` is called once for it. Any packet of the upstream ends both.
    """

    def __init__(
        self,
        *,
        loop: Loop,
        network: Network,
        endpoint: Endpoint,
        log: DecisionLog,
        metrics: Metrics,
        on_down: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._endpoint = endpoint
        self._log = log
        self._metrics = metrics
        self._on_down = on_down
        self._probe = UpstreamProbe(
            loop=loop, network=network, endpoint=endpoint, on_outcome=self._on_probed
        )
        self._opening_by_flow: dict[FlowKey, tuple[Envelope, float]] = {}
        self._is_silent = False
        self._refuses_until = 0.0
        self._probed_at = 0.0
        self.is_down = False

    @property
    def is_probing(self) -> bool:
        """True while a connection attempt is under way."""
        return self._probe.is_running

    def is_usable(self, now: float) -> bool:
        """Return False while something is known against the upstream."""
        return not (self._is_silent or self.is_down or now < self._refuses_until)

    def on_opening(self, flow: FlowKey, envelope: Envelope, now: float) -> None:
        """Note an opening packet that was handed to the upstream."""
        self._opening_by_flow.setdefault(flow, (envelope, now))

    def on_packet(self, flow: FlowKey) -> None:
        """Note a packet of the upstream, or one that it returned."""
        self._opening_by_flow.pop(flow, None)
        self._recover()

    def on_refusal(self, now: float) -> None:
        """Note an opening packet that the upstream returned."""
        self._refuses_until = now + UPSTREAM_REFUSAL_S

    def probe(self) -> None:
        """Begin to find out whether the upstream listens."""
        self._probed_at = self._loop.now()
        self._probe.start()

    def take_unanswered(self, now: float) -> list[Envelope]:
        """Return opening packets that the upstream has left unanswered, each once."""
        unanswered = [
            (flow, envelope)
            for flow, (envelope, since) in self._opening_by_flow.items()
            if now - since > UNANSWERED_OPENING_S
        ]
        for flow, _ in unanswered:
            del self._opening_by_flow[flow]
        if unanswered and not self._is_silent:
            self._is_silent = True
            self._log.write(Event.UPSTREAM_SILENT, upstream=self._endpoint[0])
            self.probe()
        is_suspect = self._is_silent or self.is_down
        if is_suspect and now - self._probed_at > PROBE_AGAIN_S:
            self.probe()
        return [envelope for _, envelope in unanswered]

    def close(self) -> None:
        """Abandon a connection attempt."""
        self._probe.close()

    def _recover(self) -> None:
        if self._is_silent or self.is_down:
            self._is_silent = self.is_down = False
            self._log.write(Event.UPSTREAM_STARTED, upstream=self._endpoint[0])

    def _on_probed(self, outcome: ProbeOutcome) -> None:
        self._metrics.count("upstream_probes_total", outcome.value)
        if outcome is ProbeOutcome.LISTENING:
            self._recover()
        elif outcome is ProbeOutcome.REFUSED and not self.is_down:
            self.is_down = True
            self._on_down()
