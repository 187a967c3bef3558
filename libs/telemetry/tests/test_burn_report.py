from __future__ import annotations

import pytest

from laburnumbridge.telemetry import OutcomeWindow
from laburnumbridge.telemetry import ServiceObjectives
from laburnumbridge.telemetry import build_burn_lines

OBJECTIVES = ServiceObjectives(availability=0.999, latency_ms=250, latency_share=0.99)
HOUR_S = 3600.0


def fill(window: OutcomeWindow, *, start: float, minutes: int, failed: int, slow: int) -> None:
    for minute in range(minutes):
        for index in range(1000):
            at = start + minute * 60
            window.add(failed=index < failed, slow=index < slow, now=at)


class TestBurnLines:
    def test_a_burn_rate_of_one_leaves_no_budget_and_no_alert(self) -> None:
        window = OutcomeWindow()
        fill(window, start=0, minutes=360, failed=1, slow=10)
        lines = build_burn_lines(
            service="steg", plan="a", objectives=OBJECTIVES, window=window, now=359 * 60
        )
        for line in lines:
            assert line.burn_by_window[360] == pytest.approx(1.0)
            assert line.budget_left == pytest.approx(0.0)
            assert line.alerts == ()

    def test_an_alert_needs_both_windows(self) -> None:
        # Guards against paging for a burst of errors that has ended.
        window = OutcomeWindow()
        fill(window, start=0, minutes=50, failed=20, slow=0)
        during = build_burn_lines(
            service="steg", plan="a", objectives=OBJECTIVES, window=window, now=49 * 60
        )
        assert during[0].alerts == ("page", "ticket")
        fill(window, start=50 * 60, minutes=10, failed=0, slow=0)
        after = build_burn_lines(
            service="steg", plan="a", objectives=OBJECTIVES, window=window, now=59 * 60
        )
        assert "page" not in after[0].alerts

    def test_minutes_older_than_the_longest_window_are_removed(self) -> None:
        # Guards against memory that grows with the age of a process.
        window = OutcomeWindow()
        for hour in range(100):
            window.add(failed=False, slow=False, now=hour * HOUR_S)
        assert len(window.counts_by_minute) <= 7

    def test_windows_of_several_processes_add_up(self) -> None:
        first, second = OutcomeWindow(), OutcomeWindow()
        first.add(failed=True, slow=False, now=30)
        second.add(failed=False, slow=True, now=45)
        first.merge(second.counts_by_minute.items())
        total = first.over(5, now=59)
        assert (total.total, total.failed, total.slow) == (2, 1, 1)
