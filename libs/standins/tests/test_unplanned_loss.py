"""One upstream VM of seven is lost without warning, as processes on loopback."""

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
# A client is told of the loss of its upstream within this time.
TOLD_BOUND_S = 3.0
# Bounds hanging only: an idle flow ends after 9 s.
RECONNECT_TIMEOUT_S = 20.0
QUIET_S = 2.0


class TestUnplannedLoss:
    @pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP], ids=["kill", "stop"])
    async def test_only_own_flows_break_and_clients_are_told(
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
            own = desk.seen.flows_by_upstream[LOST]
            assert own > 0
            lost_at = asyncio.get_running_loop().time()
            harness.signal(LOST, number)
            async with asyncio.timeout(RECONNECT_TIMEOUT_S):
                while desk.seen.broken < own or self._open_elsewhere(desk) < FLOWS:
                    await asyncio.sleep(0.1)
            await asyncio.sleep(QUIET_S)
        finally:
            await asyncio.gather(desk.close(), store.close())
            await harness.close()
        assert dict(desk.seen.broken_by_upstream) == {LOST: own}
        assert store.seen.broken == 0
        assert desk.seen.wrong_service == 0
        told_after_s = sorted(round(at - lost_at, 2) for at in desk.seen.broken_at)
        assert told_after_s[-1] <= TOLD_BOUND_S, told_after_s

    @staticmethod
    def _open_elsewhere(fleet: ClientFleet) -> int:
        counts = fleet.seen.flows_by_upstream
        return sum(count for name, count in counts.items() if name != LOST)
