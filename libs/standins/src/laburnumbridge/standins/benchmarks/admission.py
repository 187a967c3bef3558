"""Time of the admission decision."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from laburnumbridge.admission import Admission
from laburnumbridge.admission import AdmissionSettings
from laburnumbridge.admission import Outcome
from laburnumbridge.admission import PlanSharesChanged
from laburnumbridge.admission import RequestArrived
from laburnumbridge.admission import RequestFinished
from laburnumbridge.admission import StartRequest
from laburnumbridge.cli.benchmark import Benchmark
from laburnumbridge.core import PlanName
from laburnumbridge.core import RequestId

if TYPE_CHECKING:
    from collections.abc import Mapping

    from laburnumbridge.admission import AdmissionAction
    from laburnumbridge.cli.benchmark import Figure

SLOTS = 4
CONNECTIONS = 2000
REQUESTS = 100_000
WARM_UP_REQUESTS = 2_000
INTERVAL_S = 0.001
DEADLINE_S = 5.0
PLANS = tuple(PlanName(f"plan-{number}") for number in range(8))
MAX_NANOSECONDS = 1_000_000_000
SIGNIFICANT_DIGITS = 3


class AdmissionBenchmark(Benchmark):
    """Times one arrival, on an idle upstream and on one whose slots and queue are full."""

    name = "admission"

    def run(self) -> Mapping[str, Figure]:
        """Return median and 99th percentile of one `RequestArrived`, in microseconds."""
        return {
            "admit_us": self._describe(self._time(is_full=False)),
            "admit_full_us": self._describe(self._time(is_full=True)),
        }

    def _time(self, *, is_full: bool) -> HdrHistogram:
        histogram = HdrHistogram(1, MAX_NANOSECONDS, SIGNIFICANT_DIGITS)
        admission = self._admission()
        running: list[RequestId] = []
        for number in range(REQUESTS + WARM_UP_REQUESTS):
            now = number * INTERVAL_S
            event = RequestArrived(
                request_id=RequestId(f"r{number}"),
                plan=PLANS[number % len(PLANS)],
                deadline=now + DEADLINE_S,
            )
            before = time.perf_counter_ns()
            actions = admission.handle(event, now)
            elapsed_ns = time.perf_counter_ns() - before
            if number >= WARM_UP_REQUESTS:
                histogram.record_value(elapsed_ns)
            running += self._started(actions)
            if not is_full or number % 2:
                self._finish_one(admission, running, now)
        return histogram

    def _admission(self) -> Admission:
        settings = AdmissionSettings(slots=SLOTS, connections=CONNECTIONS)
        admission = Admission(settings=settings)
        shares = dict.fromkeys(PLANS, 1 / len(PLANS))
        event = PlanSharesChanged(guaranteed_share_by_plan=shares, list_version=1)
        admission.handle(event, 0.0)
        return admission

    def _finish_one(self, admission: Admission, running: list[RequestId], now: float) -> None:
        event = RequestFinished(request_id=running.pop(0), outcome=Outcome.SUCCESS)
        running += self._started(admission.handle(event, now))

    def _started(self, actions: list[AdmissionAction]) -> list[RequestId]:
        return [action.request_id for action in actions if isinstance(action, StartRequest)]

    def _describe(self, histogram: HdrHistogram) -> Figure:
        return {
            "median": histogram.get_value_at_percentile(50) / 1000,
            "p99": histogram.get_value_at_percentile(99) / 1000,
        }
