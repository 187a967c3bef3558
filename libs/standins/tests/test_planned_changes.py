"""The whole system as processes on loopback, under changes that may break no flow."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from laburnumbridge.standins.client_fleet import ClientFleet
from laburnumbridge.standins.harness import Harness

if TYPE_CHECKING:
    from pathlib import Path

FLOWS = 200
SETTLE_S = 2.0
FREEZE_S = 5.0
# A leaving upstream receives no new work after this time.
LEAVING_BOUND_S = 3.0
# The agent first spreads its reconnect requests to clients over 10 s.
MOVED_BOUND_S = 30.0
# Only ends a test that hangs: a balancer stops one second after its last packet.
STOPPED_BOUND_S = 20.0


class TestPlannedChanges:
    async def test_no_flow_breaks_and_none_reaches_another_service(self, tmp_path: Path) -> None:
        # Guards P1, P2, P6 and P7 on real packets: a balancer killed, one frozen, one added, the
        # platform down and an upstream drained, under 200 flows with a reading each second.
        harness = Harness(folder=tmp_path)
        desk = ClientFleet(harness=harness, service="workshop-desk", flows=FLOWS, requests_per_s=20)
        store = ClientFleet(harness=harness, service="certificate-store", flows=40)
        try:
            await harness.start()
            await asyncio.gather(desk.start(), store.start())
            await self._kill_balancer(harness)
            await self._freeze_balancer(harness)
            await self._add_balancer(harness)
            await self._stop_balancer(harness)
            await self._take_platform_down(harness)
            await self._drain_upstream(harness, desk)
        finally:
            await asyncio.gather(desk.close(), store.close())
            await harness.close()
        for outcomes in (desk.outcomes, store.outcomes):
            assert dict(outcomes.break_reasons) == {}
            assert (outcomes.broken, outcomes.wrong_service, outcomes.requests_cut) == (0, 0, 0)
            assert outcomes.requests_unknown == 0
        assert desk.outcomes.requests_run > 0

    async def _kill_balancer(self, harness: Harness) -> None:
        harness.signal("balancer-1", signal.SIGKILL)
        await asyncio.sleep(SETTLE_S)
        await harness.publish_balancers(without=("balancer-1",))
        await harness.publish_vms(without=("balancer-1",))

    async def _freeze_balancer(self, harness: Harness) -> None:
        harness.signal("balancer-2", signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        harness.signal("balancer-2", signal.SIGCONT)

    async def _add_balancer(self, harness: Harness) -> None:
        machine = harness.add_balancer()
        harness.start_machine(machine)
        await harness.wait_ready(machine)
        await harness.publish_balancers(without=("balancer-1",))
        await harness.publish_vms(without=("balancer-1",))

    async def _stop_balancer(self, harness: Harness) -> None:
        """Stop a balancer gracefully; the fabric still sends it packets for two seconds."""
        stopping = harness.machines_by_name["balancer-3"].processes[-1]
        harness.signal("balancer-3", signal.SIGTERM)
        await asyncio.sleep(SETTLE_S)
        assert stopping.poll() is None
        await harness.publish_balancers(without=("balancer-1", "balancer-3"))
        await harness.publish_vms(without=("balancer-1", "balancer-3"))
        async with asyncio.timeout(STOPPED_BOUND_S):
            while stopping.poll() is None:
                await asyncio.sleep(0.2)
        assert stopping.returncode == 0

    async def _take_platform_down(self, harness: Harness) -> None:
        await harness.set_platform_faults(down=True)
        await asyncio.sleep(SETTLE_S)
        await harness.set_platform_faults()

    async def _drain_upstream(self, harness: Harness, desk: ClientFleet) -> None:
        leaving = "workshop-desk-3"
        harness.machines_by_name[leaving].state = "leaving"
        await harness.publish_vms(without=("balancer-1", "balancer-3"))
        await asyncio.sleep(LEAVING_BOUND_S)
        later_fleet = ClientFleet(harness=harness, service="workshop-desk", flows=30)
        try:
            await later_fleet.start()
            assert later_fleet.outcomes.flows_by_upstream[leaving] == 0
            assert later_fleet.outcomes.broken == 0
        finally:
            await later_fleet.close()
        async with asyncio.timeout(MOVED_BOUND_S):
            while desk.outcomes.flows_by_upstream[leaving]:
                await asyncio.sleep(0.5)
        assert desk.outcomes.moved > 0
