from __future__ import annotations

import itertools

from laburnumbridge.standins.flows.fault_schedule import FaultKind
from laburnumbridge.standins.flows.fault_schedule import make_schedule

SECONDS = 20.0


class TestSchedule:
    def test_a_seed_gives_the_same_faults_each_time(self) -> None:
        # Guards against failing seeds that can't be played again.
        assert make_schedule(seed=7, seconds=SECONDS) == make_schedule(seed=7, seconds=SECONDS)
        assert make_schedule(seed=7, seconds=SECONDS) != make_schedule(seed=8, seconds=SECONDS)

    def test_all_faults_end_in_time(self) -> None:
        # Guards against a calm end that isn't calm.
        for seed in range(50):
            faults = make_schedule(seed=seed, seconds=SECONDS)
            assert all(fault.at + fault.duration_s < SECONDS for fault in faults)

    def test_fifty_seeds_play_each_kind_alone_overlapping_and_in_series(self) -> None:
        # Guards against kinds that are never played, and against faults that never meet.
        kinds = set()
        for seed in range(50):
            faults = make_schedule(seed=seed, seconds=SECONDS)
            kinds.update(fault.kind for fault in faults)
            pairs = list(itertools.pairwise(faults))
            assert any(second.at < first.at + first.duration_s for first, second in pairs)
        assert kinds == set(FaultKind)
