from __future__ import annotations

import pytest

from laburnumbridge.standins.benchmarks.placement import BOUND
from laburnumbridge.standins.benchmarks.placement import PlacementSimulation
from laburnumbridge.standins.benchmarks.placement import Policy


class TestImbalance:
    @pytest.mark.parametrize("report_age_s", [0.0, 1.0, 5.0])
    def test_drain_join_and_crash_stay_within_the_bound(self, report_age_s: float) -> None:
        # Guards against herding on old reports, and against flows that don't move after a join.
        simulation = PlacementSimulation(policy=Policy.PLACED, report_age_s=report_age_s)
        simulation.run()
        assert max(sample.imbalance_by_share for sample in simulation.samples) <= BOUND
        assert simulation.broken_by_plan() == 0
