"""One upstream VM of seven is lost without warning, with processes on loopback."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import pytest

from laburnumbridge.standins.client_fleet import ClientFleet
from laburnumbridge.standins.harness import Harness
from laburnumbridge.standins.harness import ServicePlan

if TYPE_CHECKING:
    from pathlib import Path

FLOWS = 140
SERVICES = (
    ServicePlan(name="workshop-desk", upstreams=7),
    ServicePlan(name="certificate-store", upstreams=2),
)
LOST = "workshop-desk-4"
# A client detects the loss of its upstream within this time.
DETECTED_BOUND_S = 3.0
# Only ends a test that hangs: an idle flow ends after 9 s.
RECONNECT_TIMEOUT_S = 20.0
OBSERVATION_S = 2.0


class TestUnplannedLoss:
    @pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP], ids=["kill", "stop"])
    async def test_only_flows_of_the_lost_vm_break_and_clients_detect_it(
        self, tmp_path: Path, number: signal.Signals
    ) -> None:
        # Guards against a loss that breaks flows of other upstreams, and against clients that wait
        # for an idle timeout. A stopped VM sends no "port closed": the probes must detect it.
        harness = Harness(folder=tmp_path, services=SERVICES)
        desk = ClientFleet(harness=harness, service="workshop-desk", flows=FLOWS)
        store = ClientFleet(harness=harness, service="certificate-store", flows=10)
        try:
            await harness.start()
            async with asyncio.timeout(RECONNECT_TIMEOUT_S):
                await asyncio.gather(desk.start(), store.start())
            flows_on_lost = desk.outcomes.flows_by_upstream[LOST]
            assert flows_on_lost > 0
            lost_at = asyncio.get_running_loop().time()
            harness.signal(LOST, number)
            async with asyncio.timeout(RECONNECT_TIMEOUT_S):
                while desk.outcomes.broken < flows_on_lost or self._open_elsewhere(desk) < FLOWS:
                    await asyncio.sleep(0.1)
            await asyncio.sleep(OBSERVATION_S)
        finally:
            await asyncio.gather(desk.close(), store.close())
            await harness.close()
        assert dict(desk.outcomes.broken_by_upstream) == {LOST: flows_on_lost}
        assert store.outcomes.broken == 0
        assert desk.outcomes.wrong_service == 0
        detected_after_s = sorted(round(at - lost_at, 2) for at in desk.outcomes.broken_at)
        assert detected_after_s[-1] <= DETECTED_BOUND_S, detected_after_s

    @staticmethod
    def _open_elsewhere(fleet: ClientFleet) -> int:
        counts = fleet.outcomes.flows_by_upstream
        return sum(count for name, count in counts.items() if name != LOST)
