"""Tests of a short seeded soak on real processes, and of its invariant checks."""

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
# Bounds hanging only: these tests check the outcome, and a soak run by hand checks the time.
HANG_TIMEOUT_S = 60.0


class TestSeeds:
    @pytest.mark.parametrize("seed", [1, 2])
    def test_no_invariant_is_violated(self, tmp_path: Path, seed: int) -> None:
        # Guards against faults of real sockets, signals and processes that a simulation hides.
        findings = FaultSoak(
            directory=tmp_path, seed=seed, seconds=SECONDS, timeout_s=HANG_TIMEOUT_S
        ).run()
        assert findings.violations == []
        assert findings.counts["answered"] > 0


class TestInvariantChecks:
    """Each check reports the violation that it exists for."""

    @pytest.fixture
    def fleet(self, tmp_path: Path) -> SimulatedFleet:
        fleet = SimulatedFleet(directory=tmp_path)
        fleet.start()
        return fleet

    def test_request_that_ran_on_two_upstreams_is_a_violation(self, fleet: SimulatedFleet) -> None:
        # Guards against a check that counts the runs of each upstream separately.
        first, second, *_ = fleet.upstream_by_address.values()
        first.started_requests.append(b"r1")
        second.started_requests.append(b"r1")
        findings = SoakFindings()
        check_invariants([], [first, second], findings)
        assert findings.violations == ["request r1 ran 2 times"]

    def test_answer_to_another_request_is_a_violation(self, fleet: SimulatedFleet) -> None:
        # Guards against a check that counts answers but doesn't compare them with the request.
        flow = fleet.client.open_flow(SERVICE)
        flow.answers[b"r1"] = b"answer to r2"
        findings = SoakFindings()
        check_invariants([flow], [], findings)
        assert len(findings.violations) == 1

    @pytest.mark.parametrize("has_crashed", [False, True])
    def test_reset_is_a_violation_unless_the_upstream_crashed(
        self, fleet: SimulatedFleet, has_crashed: bool
    ) -> None:
        # Guards against broken flows that aren't reported, and against violations for flows that
        # were lost in a crash of their upstream.
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
