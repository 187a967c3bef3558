from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from laburnumbridge.flows import WarmUpLimiter
from laburnumbridge.flows.warm_up_limiter import WINDOW_S


class TestWarmUpLimiter:
    def test_the_first_window_counts_as_full(self):
        # Guards against an agent that restarts and doubles the openings of a cold upstream.
        limiter = WarmUpLimiter(max_openings=5, started_at=10.0)
        assert not limiter.has_room(10.0 + WINDOW_S - 0.01)
        assert limiter.has_room(10.0 + WINDOW_S)

    def test_a_limit_of_zero_admits_nothing(self):
        # Guards against an error where the bounds allow no opening.
        limiter = WarmUpLimiter(max_openings=0, started_at=0.0)
        limiter.admit(1.0)
        assert not limiter.has_room(100.0)

    def test_openings_before_the_limit_was_in_force_count(self):
        # Guards against a full window on top of the openings that came just before.
        limiter = WarmUpLimiter(max_openings=2, started_at=0.0)
        for number in range(10):
            limiter.admit(5.0 + number / 100)
        assert not limiter.has_room(5.5)
        assert limiter.has_room(5.085 + WINDOW_S)

    @settings(derandomize=True, max_examples=200)
    @given(st.integers(1, 6), st.lists(st.floats(0.0, 0.5), max_size=80))
    def test_no_window_has_more(self, max_openings, gaps):
        # Guards against two bursts at both sides of a border between fixed windows.
        limiter = WarmUpLimiter(max_openings=max_openings, started_at=-WINDOW_S)
        now, admitted = 0.0, []
        for gap in gaps:
            now += gap
            if limiter.has_room(now):
                limiter.admit(now)
                admitted.append(now)
        for start in admitted:
            assert sum(start <= at < start + 1.0 for at in admitted) <= max_openings

    def test_a_changed_limit_counts_earlier_openings(self):
        # Guards against a new configuration that lets an upstream have the openings of two limits.
        first = WarmUpLimiter(max_openings=2, started_at=-WINDOW_S)
        first.admit(0.0)
        first.admit(0.1)
        second = WarmUpLimiter(max_openings=3, started_at=-WINDOW_S, admitted_at=first.admitted_at)
        second.admit(0.2)
        assert not second.has_room(0.3)
        assert second.has_room(WINDOW_S)
