"""Reports of a process about itself, for operators."""

from __future__ import annotations

from time import time
from typing import TYPE_CHECKING

from laburnumbridge.telemetry import DecisionRecord
from laburnumbridge.telemetry import ExplainAnswer
from laburnumbridge.telemetry import encode_answer
from laburnumbridge.telemetry import encode_snapshot
from laburnumbridge.telemetry import parse_subject
from laburnumbridge.telemetry import take_snapshot

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.telemetry import DecisionRing
    from laburnumbridge.telemetry import MetricRegistry
    from laburnumbridge.telemetry import ProcessFacts

# Keeps a response well below the 4 MB limit of gRPC.
MAX_DECISIONS = 1000


class TelemetryService:
    """Builds the JSON responses of the calls Status, Explain and Metrics.

    ``read_facts`` returns the facts that the registry doesn't hold; it is called for each
    response.
    ``clock`` returns seconds since the epoch.
    """

    def __init__(
        self,
        *,
        registry: MetricRegistry,
        ring: DecisionRing,
        read_facts: Callable[[], ProcessFacts],
        clock: Callable[[], float] = time,
    ) -> None:
        self._registry = registry
        self._ring = ring
        self._read_facts = read_facts
        self._clock = clock

    def status(self) -> bytes:
        """Return a ProcessSnapshot without series, as JSON."""
        return self._snapshot(with_series=False)

    def metrics(self) -> bytes:
        """Return a ProcessSnapshot with series by service and plan, as JSON."""
        return self._snapshot(with_series=True)

    def explain(self, subject: str) -> bytes:
        """Return an ExplainAnswer with the newest decisions about ``kind:identifier``.

        Raises InvalidSubjectError.
        """
        kind, identifier = parse_subject(subject)
        found = self._ring.find(kind, identifier)
        newest = found[-MAX_DECISIONS:]
        return encode_answer(
            ExplainAnswer(
                process=self._read_facts().name,
                decisions=tuple(DecisionRecord.of(decision) for decision in newest),
                omitted=len(found) - len(newest),
            )
        )

    def _snapshot(self, *, with_series: bool) -> bytes:
        return encode_snapshot(
            take_snapshot(
                registry=self._registry,
                facts=self._read_facts(),
                now=self._clock(),
                with_series=with_series,
            )
        )
