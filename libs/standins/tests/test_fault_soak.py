"""A short seeded soak on real processes, and the checks that it makes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from laburnumbridge.standins.flows.fault_soak import FaultSoak
from laburnumbridge.standins.flows.invariant_checks import SoakFindings
from laburnumbridge.standins.flows.invariant_checks import check_invariants
from laburnumbridge.standins.flows.process_settings import SERVICE
from laburnumbridge.standins.flows.simulated_fleet import SimulatedFleet

if TYPE_CHECKING:
    from pathlib import Path

SECONDS = 8.0
# Bounds hanging only: the outcome counts here, and the soak by hand bounds the time.
HANG_S = 60.0


class TestSeeds:
    @pytest.mark.parametrize("seed", [1, 2])
    def test_no_invariant_is_violated(self, tmp_path: Path, seed: int) -> None:
        # Guards against faults of real sockets, signals and processes that simulated ones hide.
        findings = FaultSoak(directory=tmp_path, seed=seed, seconds=SECONDS, timeout_s=HANG_S).run()
        assert findings.violations == []
        assert findings.counts["answered"] > 0


class TestChecks:
    """Each check finds what it is there for."""

    @pytest.fixture
    def fleet(self, tmp_path: Path) -> SimulatedFleet:
        fleet = SimulatedFleet(directory=tmp_path)
        fleet.start()
        return fleet

    def test_a_request_that_ran_twice_is_found(self, fleet: SimulatedFleet) -> None:
        # Guards against a check that counts runs of one upstream only.
        first, second, *_ = fleet.upstream_by_address.values()
        first.started_requests.append(b"r1")
        second.started_requests.append(b"r1")
        findings = SoakFindings()
        check_invariants([], [first, second], findings)
        assert findings.violations == ["request r1 ran 2 times"]

    def test_the_answer_to_another_request_is_found(self, fleet: SimulatedFleet) -> None:
        # Guards against answers that are only counted.
        flow = fleet.client.open_flow(SERVICE)
        flow.answers[b"r1"] = b"answer to r2"
        findings = SoakFindings()
        check_invariants([flow], [], findings)
        assert len(findings.violations) == 1

    @pytest.mark.parametrize("has_crashed", [False, True])
    def test_a_reset_counts_unless_the_upstream_has_gone(
        self, fleet: SimulatedFleet, has_crashed: bool
    ) -> None:
        # Guards against broken flows that pass, and against blame for an upstream's own crash.
        flow = fleet.client.open_flow(SERVICE)
        flow.request(b"r1")
        fleet.simulation.run_for(0.2)
        holder = fleet.upstream_by_address[fleet.holder(flow.key)]
        if has_crashed:
            holder.crash()
        flow.was_reset = True
        findings = SoakFindings()
        check_invariants([flow], fleet.upstream_by_address.values(), findings)
        assert len(findings.violations) == (0 if has_crashed else 1)
        assert findings.counts["reset_open"] == 1
