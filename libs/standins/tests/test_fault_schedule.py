from __future__ import annotations

import itertools

from laburnumbridge.standins.flows.fault_schedule import FaultKind
from laburnumbridge.standins.flows.fault_schedule import make_schedule
from laburnumbridge.standins.flows.invariant_checks import EVACUATE_S

SECONDS = 20.0


class TestSchedule:
    def test_seed_determines_the_faults(self) -> None:
        # Guards against failing seeds that can't be reproduced.
        assert make_schedule(seed=7, seconds=SECONDS) == make_schedule(seed=7, seconds=SECONDS)
        assert make_schedule(seed=7, seconds=SECONDS) != make_schedule(seed=8, seconds=SECONDS)

    def test_all_faults_end_before_the_schedule_does(self) -> None:
        # Guards against faults that are still active in the calm period at the end of a soak.
        for seed in range(50):
            faults = make_schedule(seed=seed, seconds=SECONDS)
            assert all(fault.at + fault.duration_s < SECONDS for fault in faults)

    def test_fifty_seeds_cover_each_kind_and_overlapping_faults(self) -> None:
        # Guards against kinds that are never injected, and against faults that never overlap.
        kinds = set()
        for seed in range(50):
            faults = make_schedule(seed=seed, seconds=SECONDS)
            kinds.update(fault.kind for fault in faults)
            pairs = list(itertools.pairwise(faults))
            assert any(second.at < first.at + first.duration_s for first, second in pairs)
        assert kinds == set(FaultKind)

    def test_twenty_seeds_have_evacuations_that_are_long_enough_to_be_checked(self) -> None:
        # Guards against a check of evacuations that none of them reaches.
        faults = [one for seed in range(20) for one in make_schedule(seed=seed, seconds=SECONDS)]
        evacuations = [fault for fault in faults if fault.kind is FaultKind.EVACUATE]
        assert sum(fault.duration_s > EVACUATE_S for fault in evacuations) >= 10
        assert any(fault.duration_s < 1.0 for fault in evacuations)
