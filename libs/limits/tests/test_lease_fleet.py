from __future__ import annotations

import pytest

from laburnumbridge.standins.benchmarks.limits_fleet import LIMIT
from laburnumbridge.standins.benchmarks.limits_fleet import LeaseFleet
from laburnumbridge.standins.benchmarks.limits_fleet import Scenario

AGENTS = 5
# Above the limit throughout, so that every credit too many becomes an admission too many.
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
    def test_it_stays_within_the_grants_of_one_term(self, rate: bool, fault: str | None) -> None:
        # Guards against two holders, or a late one, that spend the limit twice for long.
        # A holder has at most the limit out at once, so a second one adds at most the limit.
        use = run(rate=rate, fault=fault).use
        assert use.over_admission <= 1.0
        assert use.offered > LIMIT

    @pytest.mark.parametrize("rate", [True, False])
    def test_loss_and_doubling_admit_nothing_above_the_limit(self, rate: bool) -> None:
        # Guards against credit that a repeated or lost message creates.
        assert run(rate=rate, loss=0.05, doubled=0.05).use.most <= LIMIT


class TestNeedlessRefusals:
    @pytest.mark.parametrize("rate", [True, False])
    @pytest.mark.parametrize("burst_s", [None, 0.7])
    def test_there_are_none_without_a_fault(self, rate: bool, burst_s: float | None) -> None:
        # Guards against credit that stays where the demand no longer is.
        use = run(rate=rate, burst_s=burst_s).use  # type: ignore[arg-type]
        assert use.refused > 0
        assert use.needless == 0

    @pytest.mark.parametrize("rate", [True, False])
    def test_the_limit_is_never_exceeded_without_a_fault(self, rate: bool) -> None:
        assert run(rate=rate).use.most <= LIMIT
