"""Tests of a short seeded soak on real processes, and of its invariant checks."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from laburnumbridge.standins.flows.fault_soak import FaultSoak
from laburnumbridge.standins.flows.invariant_checks import EVACUATE_S
from laburnumbridge.standins.flows.invariant_checks import Evacuation
from laburnumbridge.standins.flows.invariant_checks import SoakFindings
from laburnumbridge.standins.flows.invariant_checks import check_evacuations
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

    def test_no_opening_reaches_an_evacuated_domain(self, tmp_path: Path) -> None:
        # Guards against openings in an evacuated domain while processes are stopped and cut off;
        # the only evacuation of this seed ends 1.7 s after the check of it begins.
        findings = FaultSoak(
            directory=tmp_path, seed=39, seconds=SECONDS, timeout_s=HANG_TIMEOUT_S
        ).run()
        assert findings.counts["evacuations_checked"] == 1
        assert findings.violations == []


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

    def test_opening_in_an_evacuated_domain_is_a_violation(self, fleet: SimulatedFleet) -> None:
        # Guards against a check that never sees an opening, and against violations in the five
        # seconds after the write, after the removal or in another domain.
        start = fleet.simulation.now
        for _ in range(8):
            fleet.client.open_flow(SERVICE)
        fleet.simulation.run_for(0.5)
        count_by_since = {}
        for since in (start - EVACUATE_S, start, start - 3 * EVACUATE_S):
            findings = SoakFindings()
            evacuation = Evacuation(domain="north", since=since, until=since + 2 * EVACUATE_S)
            for domain in ("north", "south"):
                upstreams = fleet.upstream_by_address.values()
                check_evacuations([evacuation], upstreams, lambda _, one=domain: one, findings)
            count_by_since[since - start] = len(findings.violations)
        assert count_by_since == {-EVACUATE_S: 8, 0.0: 0, -3 * EVACUATE_S: 0}

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
