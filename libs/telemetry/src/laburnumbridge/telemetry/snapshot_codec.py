"""Builds, writes and reads snapshots."""

from __future__ import annotations

from math import isfinite
from typing import TYPE_CHECKING

import msgspec

from laburnumbridge.telemetry.errors import MalformedHistogramError
from laburnumbridge.telemetry.errors import SnapshotRejectedError
from laburnumbridge.telemetry.histogram_codec import decode_histogram
from laburnumbridge.telemetry.histogram_codec import encode_histogram
from laburnumbridge.telemetry.process_snapshot import MinuteCounts
from laburnumbridge.telemetry.process_snapshot import ProcessFacts
from laburnumbridge.telemetry.process_snapshot import ProcessSnapshot
from laburnumbridge.telemetry.process_snapshot import SeriesSnapshot

if TYPE_CHECKING:
    from laburnumbridge.telemetry.metric_registry import MetricRegistry
    from laburnumbridge.telemetry.metric_registry import SeriesKey

_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(ProcessSnapshot)


def take_snapshot(
    *, registry: MetricRegistry, facts: ProcessFacts, now: float, with_series: bool = True
) -> ProcessSnapshot:
    """Return a snapshot of the metrics of a process; ``now`` is in seconds since the epoch.

    Without series a snapshot has a few hundred bytes and suffices for the status of the fleet.
    Gauges that aren't finite are left out, as JSON can't represent them.
    """
    keys = registry.outcomes_by_series if with_series else ()
    ordered = sorted(keys, key=lambda key: (key.service, key.plan))
    return ProcessSnapshot(
        facts=facts,
        taken_at=now,
        counters=registry.all_counters(),
        gauges={name: value for name, value in registry.gauges.items() if isfinite(value)},
        refusals_by_reason=dict(registry.refusals_by_reason),
        series=tuple(_take_series(registry, key) for key in ordered),
    )


def encode_snapshot(snapshot: ProcessSnapshot) -> bytes:
    """Return the snapshot as JSON."""
    return _ENCODER.encode(snapshot)


def decode_snapshot(data: bytes, *, process: str) -> ProcessSnapshot:
    """Decode a snapshot of ``process``; raises SnapshotRejectedError."""
    try:
        snapshot = _DECODER.decode(data)
        for series in snapshot.series:
            if series.latency is not None:
                decode_histogram(series.latency)
    except (msgspec.DecodeError, MalformedHistogramError, RecursionError) as error:
        raise SnapshotRejectedError(process=process, reason=str(error)) from error
    return snapshot


def _take_series(registry: MetricRegistry, key: SeriesKey) -> SeriesSnapshot:
    histogram = registry.latency_by_series.get(key)
    window = registry.window_by_series.get(key)
    counts_by_minute = window.counts_by_minute if window else {}
    return SeriesSnapshot(
        service=key.service,
        plan=key.plan,
        outcomes=dict(registry.outcomes_by_series[key]),
        latency=encode_histogram(histogram) if histogram else None,
        counts_by_minute={
            minute: MinuteCounts(counts.total, counts.failed, counts.slow)
            for minute, counts in counts_by_minute.items()
        },
    )
