"""Tracks whether the upstream beside an agent answers."""

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

OPENING_TIMEOUT_S = 0.08
"""An upstream that leaves an opening packet unanswered for longer is unresponsive: unless it has
ended or is stuck, it answers within a millisecond."""
REFUSAL_BACKOFF_S = 0.25
"""After an upstream returned an opening packet it gets no new flow for this long: it is full or
leaving, and a few requests end meanwhile."""
PROBE_INTERVAL_S = 0.5


class UpstreamWatch:
    """Detects an upstream that leaves opening packets unanswered, and probes whether it has ended.

    An unresponsive upstream only gets no new flows. If a probe's connection is refused, no process
    listens: the upstream is down, and ``on_down`` is called once; ``on_up`` is called when it runs
    again. Any packet from the upstream ends
    both states, and so does a probe that connects.
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
        on_up: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._endpoint = endpoint
        self._log = log
        self._metrics = metrics
        self._on_down = on_down
        self._on_up = on_up
        self._probe = UpstreamProbe(
            loop=loop, network=network, endpoint=endpoint, on_outcome=self._on_probed
        )
        self._opening_by_flow: dict[FlowKey, tuple[Envelope, float]] = {}
        self._is_unresponsive = False
        self._refused_until = 0.0
        self._probed_at = 0.0
        self.is_down = False

    @property
    def is_probing(self) -> bool:
        """True while a connection attempt is under way."""
        return self._probe.is_running

    def is_usable(self, now: float) -> bool:
        """Return False while the upstream is unresponsive, down or backing off after a refusal."""
        return not (self._is_unresponsive or self.is_down or now < self._refused_until)

    def on_opening(self, flow: FlowKey, envelope: Envelope, now: float) -> None:
        """Note an opening packet that was handed to the upstream."""
        self._opening_by_flow.setdefault(flow, (envelope, now))

    def on_packet(self, flow: FlowKey) -> None:
        """Note a packet from the upstream, or one that it returned."""
        self._opening_by_flow.pop(flow, None)
        self._recover()

    def on_refusal(self, now: float) -> None:
        """Note an opening packet that the upstream returned."""
        self._refused_until = now + REFUSAL_BACKOFF_S

    def probe(self) -> None:
        """Start a connection attempt, unless one is under way."""
        self._probed_at = self._loop.now()
        self._probe.start()

    def take_unanswered(self, now: float) -> list[Envelope]:
        """Return opening packets that the upstream has left unanswered, each once.

        Also probes an upstream that is unresponsive or down.
        """
        unanswered = [
            (flow, envelope)
            for flow, (envelope, since) in self._opening_by_flow.items()
            if now - since > OPENING_TIMEOUT_S
        ]
        for flow, _ in unanswered:
            del self._opening_by_flow[flow]
        if unanswered and not self._is_unresponsive:
            self._is_unresponsive = True
            self._log.write(Event.UPSTREAM_SILENT, upstream=self._endpoint[0])
            self.probe()
        needs_probe = self._is_unresponsive or self.is_down
        if needs_probe and now - self._probed_at > PROBE_INTERVAL_S:
            self.probe()
        return [envelope for _, envelope in unanswered]

    def close(self) -> None:
        """Abandon a running connection attempt."""
        self._probe.close()

    def _recover(self) -> None:
        if self._is_unresponsive or self.is_down:
            if self.is_down:
                self._on_up()
            self._is_unresponsive = self.is_down = False
            self._log.write(Event.UPSTREAM_STARTED, upstream=self._endpoint[0])

    def _on_probed(self, outcome: ProbeOutcome) -> None:
        self._metrics.count("upstream_probes_total", outcome.value)
        if outcome is ProbeOutcome.LISTENING:
            self._recover()
        elif outcome is ProbeOutcome.REFUSED and not self.is_down:
            self.is_down = True
            self._on_down()
