"""HTTP endpoint from which Prometheus scrapes the metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from prometheus_client import CollectorRegistry
from prometheus_client import generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from laburnumbridge.telemetry.errors import MetricsAddressInUseError
from laburnumbridge.telemetry.prometheus_collector import PrometheusCollector

if TYPE_CHECKING:
    from laburnumbridge.telemetry.metric_registry import MetricRegistry

PATH = "/metrics"
_CLOSE_S = 1.0


class MetricsEndpoint:
    """Serves ``GET /metrics`` on one address in the text exposition format."""

    def __init__(self, *, registry: MetricRegistry, host: str, port: int) -> None:
        self._collectors = CollectorRegistry()
        self._collectors.register(PrometheusCollector(registry=registry))
        self._host = host
        self._port = port
        self._runner: web.AppRunner | None = None

    @property
    def port(self) -> int:
        """Port in use; it differs from the requested one only if that is 0."""
        if self._runner is None or not self._runner.addresses:
            return self._port
        return int(self._runner.addresses[0][1])

    async def start(self) -> None:
        """Bind the address; raises MetricsAddressInUseError."""
        application = web.Application()
        application.router.add_get(PATH, self._answer)
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=_CLOSE_S)
        await runner.setup()
        try:
            await web.TCPSite(runner, self._host, self._port).start()
        except OSError as error:
            await runner.cleanup()
            raise MetricsAddressInUseError(
                address=f"{self._host}:{self._port}", reason=error.strerror or str(error)
            ) from error
        self._runner = runner

    async def close(self) -> None:
        """Release the address; may be called more than once."""
        runner, self._runner = self._runner, None
        if runner is not None:
            await runner.cleanup()

    async def _answer(self, _request: web.Request) -> web.Response:
        body = generate_latest(self._collectors)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})
