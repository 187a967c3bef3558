from __future__ import annotations

import pytest

from laburnumbridge.standins.benchmarks.limits_fleet import LIMIT
from laburnumbridge.standins.benchmarks.limits_fleet import LeaseFleet
from laburnumbridge.standins.benchmarks.limits_fleet import Scenario

AGENTS = 5
# The load is always above the limit, so that any credit beyond the limit leads to an admission
# beyond it.
OVERLOAD = 1.3
FAULTS = [None, "holder lost", "holder paused", "partition"]


def run(
    *, rate: bool, load: float = OVERLOAD, fault: str | None = None, **more: float
) -> LeaseFleet:
    fleet = LeaseFleet(
        Scenario(
            name="test",
            agents=AGENTS,
            rate=rate,
            load=lambda _: load,
            fault=fault,
            run_s=7.5 if fault else 3.0,
            **more,  # type: ignore[arg-type]
        )
    )
    fleet.run()
    return fleet


class TestOverAdmission:
    @pytest.mark.parametrize("rate", [True, False])
    @pytest.mark.parametrize("fault", FAULTS)
    def test_over_admission_is_at_most_the_limit(self, rate: bool, fault: str | None) -> None:
        # Guards against a second or delayed holder that grants the limit again beyond one term.
        # A holder has at most the limit out at once, so a second one adds at most the limit.
        use = run(rate=rate, fault=fault).use
        assert use.over_admission <= 1.0
        assert use.offered > LIMIT

    @pytest.mark.parametrize("rate", [True, False])
    def test_lost_and_duplicated_messages_admit_nothing_above_the_limit(self, rate: bool) -> None:
        # Guards against extra credit created by a repeated or lost message.
        assert run(rate=rate, loss=0.05, doubled=0.05).use.most <= LIMIT


class TestNeedlessRefusals:
    @pytest.mark.parametrize("rate", [True, False])
    @pytest.mark.parametrize("burst_s", [None, 0.7])
    def test_no_needless_refusal_without_a_fault(self, rate: bool, burst_s: float | None) -> None:
        # Guards against credit that stays with agents that no longer have demand.
        use = run(rate=rate, burst_s=burst_s).use  # type: ignore[arg-type]
        assert use.refused > 0
        assert use.needless == 0

    @pytest.mark.parametrize("rate", [True, False])
    def test_the_limit_is_never_exceeded_without_a_fault(self, rate: bool) -> None:
        assert run(rate=rate).use.most <= LIMIT
