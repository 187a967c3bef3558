"""Base class of the balancer and the agent."""

from __future__ import annotations

import signal
from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING
from typing import Any

from laburnumbridge.core import Event
from laburnumbridge.core import unpack_ipv4
from laburnumbridge.forwarding.endpoints import parse_endpoint
from laburnumbridge.forwarding.errors import InvalidSettingsError
from laburnumbridge.forwarding.forwarding_settings import load_forwarding_settings
from laburnumbridge.forwarding.forwarding_settings import read_settings
from laburnumbridge.forwarding.http_server import HttpServer
from laburnumbridge.forwarding.internal_errors import InternalErrors
from laburnumbridge.forwarding.metrics import Metrics
from laburnumbridge.forwarding.service_directory import ServiceDirectory
from laburnumbridge.forwarding.view_sharing import ViewSharing

if TYPE_CHECKING:
    from os import PathLike

    from laburnumbridge.catalog import CatalogUpdate
    from laburnumbridge.catalog import PlatformCodec
    from laburnumbridge.flows import FlowKey
    from laburnumbridge.flows import PacketCodec
    from laburnumbridge.flows import UpstreamSelector
    from laburnumbridge.forwarding.decision_log import DecisionLog
    from laburnumbridge.forwarding.endpoints import Endpoint
    from laburnumbridge.forwarding.forwarding_settings import ForwardingSettings
    from laburnumbridge.forwarding.network import Loop
    from laburnumbridge.forwarding.network import Network

PLACE_PATH = "/place"
CHECK_INTERVAL_S = 0.5
"""Settings may change without a signal, so the small file is read this often, which is cheap."""
PAUSE_THRESHOLD_S = 0.2
"""A timer that is later than this is logged: packets of clients have waited for as long."""

STOP_MARGIN_S = 1.0
"""A stop ends this long before the grace period, after which the platform kills the process."""


def flow_text(flow: FlowKey) -> str:
    """Return the id of a flow in logs: ``address:port>address:port`` of client and service."""
    client = f"{unpack_ipv4(flow[0:4])}:{int.from_bytes(flow[4:6], 'big')}"
    service = f"{unpack_ipv4(flow[6:10])}:{int.from_bytes(flow[10:12], 'big')}"
    return f"{client}>{service}"


class ForwardingProcess(ABC):
    """Sockets, view, readiness, settings and signals of one process.

    Build it with settings that were loaded from ``settings_path``, call ``start`` and then
    ``run``, which returns when the stop that a signal begins is complete.
    """

    def __init__(
        self,
        *,
        settings: ForwardingSettings,
        settings_path: str | PathLike[str],
        packet_codec: PacketCodec,
        platform_codec: PlatformCodec,
        loop: Loop,
        network: Network,
        log: DecisionLog,
    ) -> None:
        self.loop = loop
        self._started_at = loop.now()
        self._had_first_view = False
        self._reported_collisions: list[tuple[str, ...]] = []
        self.network = network
        self.settings = settings
        self._settings_path = settings_path
        self._settings_text = b""
        self._last_check_at = 0.0
        self.packet_codec = packet_codec
        self.log = log
        self.metrics = Metrics()
        self._errors = InternalErrors(log=log, metrics=self.metrics)
        network.on_fault = self._on_network_fault
        self.is_stopping = False
        self.stopping_since = 0.0
        self._packet_port = settings.packet_port
        self.view = ViewSharing(
            loop=loop,
            network=network,
            settings=settings,
            codec=platform_codec,
            log=self.log,
            metrics=self.metrics,
            on_change=self._on_view_change,
            started_at=self._started_at,
        )
        self.directory = ServiceDirectory(catalog=self.view.catalog)
        self.peers = network.datagram_port(
            (settings.address, settings.peer_port), self.on_peer_datagram
        )
        self._ready_server = HttpServer(
            network=network,
            endpoint=parse_endpoint(settings.ready_endpoint),
            handler=self._serve_readiness,
        )
        self._metrics_server = HttpServer(
            network=network,
            endpoint=(settings.address, settings.metrics_port),
            handler=self._serve_metrics,
        )

    def start(self) -> None:
        """Open all sockets and start to follow the platform. Raises OSError."""
        self.log.start()
        self._settings_text = read_settings(self._settings_path)
        self.loop.on_signal(signal.SIGTERM, self.stop)
        self.loop.on_signal(signal.SIGINT, self.stop)
        self.loop.on_signal(signal.SIGHUP, self._reload)
        self._last_check_at = self.loop.now()
        self.loop.call_every(CHECK_INTERVAL_S, self._check_settings_and_lag)
        self.peers.start()
        self._ready_server.start()
        self._metrics_server.start()
        self.view.start()
        self.loop.on_error = self._on_internal_error
        since_start_s = round(self.loop.now() - self._started_at, 3)
        self.log.write(
            Event.PROCESS_STARTED, address=self.settings.address, since_start_s=since_start_s
        )

    def run(self) -> None:
        """Serve until the process has stopped."""
        self.loop.run()

    def close(self) -> None:
        """Close all sockets."""
        self.view.close()
        self._ready_server.close()
        self._metrics_server.close()
        self.peers.close()
        self.loop.close()
        self.log.write(Event.PROCESS_STOPPED)

    def finish(self) -> None:
        """End ``run``."""
        self.loop.stop()

    @abstractmethod
    def stop(self) -> None:
        """Begin a planned stop."""

    def begin_stop(self, **fields: Any) -> bool:
        """Record and log that a planned stop begins; return False if it has begun before."""
        if self.is_stopping:
            return False
        self.is_stopping = True
        self.stopping_since = self.loop.now()
        self.log.write(Event.PROCESS_STOPPING, **fields)
        return True

    @abstractmethod
    def on_peer_datagram(self, datagram: bytes, sender: Endpoint) -> None:
        """Handle a datagram from another process."""

    @abstractmethod
    def on_view_change(self, update: CatalogUpdate) -> None:
        """Handle an update that the directory has already applied."""

    def reset_flow(
        self, flow: FlowKey, *, acknowledged: int, reason: str, **fields: object
    ) -> bytes:
        """Count and log a reset of a flow, and return the packet that resets it."""
        route = self.directory.route(flow)
        priority = None if route is None else route.priority
        self.metrics.count("flow_resets_total", reason, priority=priority)
        self.log.write(
            Event.FLOW_RESET,
            outcome=reason,
            flow=flow_text(flow),
            revision=self.view.catalog.revision,
            view_age_s=self.view_age_s(),
            **fields,
        )
        return self.packet_codec.reset(flow, sequence=acknowledged)

    def report_unevenness(self, selector: UpstreamSelector) -> None:
        """Log the services whose upstreams ``selector`` has found to be uneven or even again."""
        for service, change in selector.take_unevenness_changes():
            self.log.write(
                Event.UPSTREAMS_UNEVEN,
                outcome="entered" if change.is_uneven else "left",
                service=service,
                slowest_s=round(change.slowest_s, 4),
                fastest_s=round(change.fastest_s, 4),
            )

    def client_endpoint(self, flow: FlowKey) -> Endpoint:
        """Return the endpoint of a flow's client."""
        return unpack_ipv4(flow[0:4]), self._packet_port

    def drop(self, reason: str, **fields: object) -> None:
        """Count and log a dropped packet."""
        self.metrics.count("packets_dropped_total", reason)
        self.log.write(Event.PACKET_DROPPED, outcome=reason, **fields)

    def view_age_s(self) -> float | None:
        """Return the age of the view in seconds, rounded, or None before the first view."""
        age_s = self.view.catalog.confirmed_age_s(self.loop.now())
        return None if age_s is None else round(age_s, 3)

    def _on_internal_error(self, error: Exception) -> None:
        self._errors.record(error, self.loop.now())

    def _on_network_fault(self, operation: str, reason: str) -> None:
        self.metrics.count("network_faults_total", f"{operation}_{reason}")
        self.log.write(Event.NETWORK_FAULT, outcome=operation, reason=reason)

    def _on_view_change(self, update: CatalogUpdate) -> None:
        self.directory.apply(update, self.loop.now())
        for entry in self.directory.unconfigured(update):
            reason = f"service {entry.service!r} isn't configured"
            self.log.write(Event.ITEM_IGNORED, key=entry.name, reason=reason)
        self._report_collisions()
        if not self._had_first_view and self.view.catalog.is_ready:
            self._had_first_view = True
            self.metrics.observe("first_view_seconds", self.loop.now() - self._started_at)
        self.on_view_change(update)

    def _report_collisions(self) -> None:
        """Log services that have become known and have the same tag."""
        collisions = self.directory.colliding_services
        for services in collisions:
            if services not in self._reported_collisions:
                self.log.write(Event.SERVICES_COLLIDE, services=services)
        self._reported_collisions = collisions

    def _serve_readiness(self, _path: str) -> tuple[int, bytes]:
        reason = self.unready_reason
        return (200, b"ready\n") if reason is None else (503, f"{reason}\n".encode())

    @property
    def unready_reason(self) -> str | None:
        """Why the process should get no traffic, or None when it is ready."""
        if self.is_stopping:
            return "stopping"
        if not self.view.catalog.is_ready:
            return "no view of the fleet yet"
        if self._errors.is_repeating(self.loop.now()):
            return "internal errors"
        return None

    def _serve_metrics(self, path: str) -> tuple[int, bytes]:
        if path.partition("?")[0] == PLACE_PATH:
            return self.serve_placement(path)
        return 200, self.metrics.render()

    def serve_placement(self, _path: str) -> tuple[int, bytes]:
        """Answer the query where an opening packet would be sent, which only balancers know."""
        return 404, b"only balancers answer this query\n"

    def _check_settings_and_lag(self) -> None:
        """Reload changed settings, observe the loop's lag and log a pause of the process."""
        now = self.loop.now()
        late_s = now - self._last_check_at - CHECK_INTERVAL_S
        self._last_check_at = now
        self.metrics.observe("loop_lag_seconds", max(late_s, 0.0))
        if late_s > PAUSE_THRESHOLD_S:
            self.log.write(Event.PROCESS_PAUSED, late_s=round(late_s, 3))
        self._reload()

    def _reload(self) -> None:
        try:
            text = read_settings(self._settings_path)
        except OSError as error:
            # Usually the file is being replaced; the next check is half a second later.
            self.log.write(Event.SETTINGS_RELOADED, outcome="unreadable", reason=str(error))
            return
        if text == self._settings_text:
            return
        self._settings_text = text
        try:
            settings = load_forwarding_settings(self._settings_path)
        except InvalidSettingsError as error:
            self.log.write(Event.SETTINGS_RELOADED, outcome="rejected", reason=str(error))
            return
        self.settings = settings
        self.view.reload(settings)
        self.log.write(Event.SETTINGS_RELOADED, outcome="in force", seeds=settings.seeds)
