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

    def count(
        self, name: str, label: str = "", amount: int = 1, *, priority: int | None = None
    ) -> None:
        """Add ``amount`` to a counter; ``label`` is the value of its label ``reason``."""
        is_plain = not label and priority is None
        key = name if is_plain else self._key(name, label, priority)
        self._counter_by_name[key] = self._counter_by_name.get(key, 0) + amount

    def gauge(self, name: str, value: float, *, priority: int | None = None) -> None:
        """Set a gauge."""
        self._gauge_by_name[self._key(name, "", priority)] = value

    def observe(self, name: str, seconds: float, *, priority: int | None = None) -> None:
        """Add one latency to a histogram."""
        key = self._key(name, "", priority)
        buckets = self._buckets_by_name.setdefault(key, [0] * (len(LATENCY_BOUNDS_S) + 1))
        buckets[bisect_left(LATENCY_BOUNDS_S, seconds)] += 1
        self._sum_by_name[key] = self._sum_by_name.get(key, 0.0) + seconds

    def value(self, name: str, label: str = "", *, priority: int | None = None) -> int:
        """Return the value of a counter, 0 if it was never counted."""
        return self._counter_by_name.get(self._key(name, label, priority), 0)

    @staticmethod
    def _key(name: str, reason: str, priority: int | None) -> str:
        if priority is None:
            return f'{name}{{reason="{reason}"}}' if reason else name
        if not reason:
            return f'{name}{{priority="{priority}"}}'
        return f'{name}{{reason="{reason}",priority="{priority}"}}'

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
        for key, buckets in sorted(self._buckets_by_name.items()):
            name, _, labels = key.removesuffix("}").partition("{")
            own_labels = f"{{{labels}}}" if labels else ""
            before_bound = f"{labels}," if labels else ""
            total = 0
            for bound, count in zip((*LATENCY_BOUNDS_S, "+Inf"), buckets, strict=True):
                total += count
                lines.append(f'laburnumbridge_{name}_bucket{{{before_bound}le="{bound}"}} {total}')
            lines.append(f"laburnumbridge_{name}_sum{own_labels} {self._sum_by_name[key]:.6f}")
            lines.append(f"laburnumbridge_{name}_count{own_labels} {total}")
        return ("\n".join(lines) + "\n").encode()
