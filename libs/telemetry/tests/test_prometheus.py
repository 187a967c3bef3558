from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import aiohttp
import pytest
from prometheus_client import CollectorRegistry
from prometheus_client import generate_latest

from laburnumbridge.telemetry import MetricRegistry
from laburnumbridge.telemetry import MetricsAddressInUseError
from laburnumbridge.telemetry import MetricsEndpoint
from laburnumbridge.telemetry import Outcome
from laburnumbridge.telemetry import PrometheusCollector
from laburnumbridge.telemetry import SeriesKey

if TYPE_CHECKING:
    from syrupy.assertion import SnapshotAssertion


def make_registry() -> MetricRegistry:
    registry = MetricRegistry()
    registry.count("packets_dropped.bad_tag", 3)
    registry.count("packets_dropped-bad_tag", 1)
    registry.set_gauge("open_flows", 12)
    registry.refusals_by_reason["queue_full"] += 2
    for latency_s, outcome in (
        (0.0009, Outcome.ANSWERED),
        (0.2, Outcome.ANSWERED),
        (90.0, Outcome.CUT),
        (0.1, Outcome.CANCELLED),
    ):
        series = SeriesKey("mappe", 'pub"lic')
        registry.record_request(series, outcome, latency_s=latency_s, objective_ms=250, now=0)
    return registry


class TestPrometheusCollector:
    def test_exposition(self, snapshot: SnapshotAssertion) -> None:
        # Two counters whose names differ only in characters that aren't allowed are added up.
        collectors = CollectorRegistry()
        collectors.register(PrometheusCollector(registry=make_registry()))
        assert generate_latest(collectors).decode() == snapshot


class TestMetricsEndpoint:
    async def test_serves_figures_until_it_is_closed(self) -> None:
        registry = make_registry()
        endpoint = MetricsEndpoint(registry=registry, host="127.0.0.1", port=0)
        await endpoint.start()
        registry.set_gauge("open_flows", 13)
        url = f"http://127.0.0.1:{endpoint.port}/metrics"
        async with aiohttp.ClientSession() as session:
            async with session.get(url) as answer:
                assert answer.headers["Content-Type"].startswith("text/plain")
                assert "laburnumbridge_open_flows 13.0" in await answer.text()
            await endpoint.close()
            await endpoint.close()
            with pytest.raises(aiohttp.ClientConnectionError):
                await session.get(url)

    async def test_an_address_in_use_is_a_typed_error(self) -> None:
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            port = taken.getsockname()[1]
            endpoint = MetricsEndpoint(registry=make_registry(), host="127.0.0.1", port=port)
            with pytest.raises(MetricsAddressInUseError, match="metrics_address"):
                await endpoint.start()
