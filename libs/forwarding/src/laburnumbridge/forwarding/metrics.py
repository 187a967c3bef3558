"""Counters and latency histograms in the text format of Prometheus."""

from __future__ import annotations

from bisect import bisect_left

LATENCY_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.5, 5.0)


class Metrics:
    """Metrics of one process; callers use a fixed set of names, so their number is bounded.

    prometheus_client isn't used here: importing it takes 5 MB of resident memory.
    """

    def __init__(self) -> None:
        self._counter_by_name: dict[str, int] = {}
        self._gauge_by_name: dict[str, float] = {}
        self._buckets_by_name: dict[str, list[int]] = {}
        self._sum_by_name: dict[str, float] = {}

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add ``amount`` to a counter; ``label`` is the value of its label ``reason``."""
        key = f'{name}{{reason="{label}"}}' if label else name
        self._counter_by_name[key] = self._counter_by_name.get(key, 0) + amount

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauge_by_name[name] = value

    def observe(self, name: str, seconds: float) -> None:
        """Add one latency to a histogram."""
        buckets = self._buckets_by_name.setdefault(name, [0] * (len(LATENCY_BOUNDS_S) + 1))
        buckets[bisect_left(LATENCY_BOUNDS_S, seconds)] += 1
        self._sum_by_name[name] = self._sum_by_name.get(name, 0.0) + seconds

    def value(self, name: str, label: str = "") -> int:
        """Return the value of a counter, 0 if it was never counted."""
        key = f'{name}{{reason="{label}"}}' if label else name
        return self._counter_by_name.get(key, 0)

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus, encoded."""
        lines = [
            f"laburnumbridge_{name} {value}"
            for name, value in sorted(self._counter_by_name.items())
        ]
        lines += [
            f"laburnumbridge_{name} {value:g}"
            for name, value in sorted(self._gauge_by_name.items())
        ]
        for name, buckets in sorted(self._buckets_by_name.items()):
            total = 0
            for bound, count in zip((*LATENCY_BOUNDS_S, "+Inf"), buckets, strict=True):
                total += count
                lines.append(f'laburnumbridge_{name}_bucket{{le="{bound}"}} {total}')
            lines.append(f"laburnumbridge_{name}_sum {self._sum_by_name[name]:.6f}")
            lines.append(f"laburnumbridge_{name}_count {total}")
        return ("\n".join(lines) + "\n").encode()
