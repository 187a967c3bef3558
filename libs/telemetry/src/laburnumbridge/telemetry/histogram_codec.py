"""Encodes latency histograms as text."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

from laburnumbridge.telemetry.errors import MalformedHistogramError
from laburnumbridge.telemetry.metric_registry import HIGHEST_US
from laburnumbridge.telemetry.metric_registry import LOWEST_US
from laburnumbridge.telemetry.metric_registry import SIGNIFICANT_DIGITS

# Limits the cost of decompression; a full histogram of this layout encodes to less than 16 KiB.
MAX_ENCODED_CHARACTERS = 64 * 1024
_LAYOUT = (LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(*_LAYOUT)


def encode_histogram(histogram: HdrHistogram) -> str:
    """Return the compressed base64 encoding of hdrhistogram."""
    return str(histogram.encode().decode())


def decode_histogram(text: str) -> HdrHistogram:
    """Decode the text of ``encode_histogram``; raises MalformedHistogramError."""
    if len(text) > MAX_ENCODED_CHARACTERS:
        raise MalformedHistogramError(reason=f"{len(text)} characters are too many")
    try:
        histogram = HdrHistogram.decode(text.encode())
    # The decoder documents no exceptions; malformed input raises those of base64, zlib and ctypes.
    except Exception as error:
        raise MalformedHistogramError(reason=str(error) or type(error).__name__) from error
    layout = (
        histogram.lowest_trackable_value,
        histogram.highest_trackable_value,
        histogram.significant_figures,
    )
    if layout != _LAYOUT:
        raise MalformedHistogramError(reason=f"layout {layout} is not {_LAYOUT}")
    return histogram
