from __future__ import annotations

from laburnumbridge.placement.count_history import BUCKET_S
from laburnumbridge.placement.count_history import CountHistory


class TestCountHistory:
    def test_past_totals_are_accurate_to_one_bucket(self) -> None:
        # Guards against corrections for the wrong time, which would move flows unnecessarily.
        history = CountHistory()
        assert history.total_at(0) == 0
        for step in range(3000):
            history.add(step * 0.01)
        for at in (10.0, 12.34, 25.0, 29.99):
            assert 0 <= at / 0.01 - history.total_at(at) <= BUCKET_S / 0.01 + 1
        assert history.total_at(31.0) == history.total == 3000
