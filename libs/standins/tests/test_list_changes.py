"""Changes of the lists while the platform fails, with processes on loopback."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
import pytest_asyncio

from laburnumbridge.standins.client import connect
from laburnumbridge.standins.client_fleet import ClientFleet
from laburnumbridge.standins.harness import ROUTING_KEY
from laburnumbridge.standins.harness import SERVER_NAME
from laburnumbridge.standins.harness import Harness
from laburnumbridge.standins.harness import ServicePlan

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

SERVICE = "workshop-desk"
NEXT_ROUTING_KEY = "a1b2c3d4e5f60718293a4b5c6d7e8f90"
# An accepted change is in force everywhere within this time.
CHANGE_BOUND_S = 15.0
# Longer than the time in which a change spreads while the platform answers.
FAULT_S = 3.0
FLOWS = 20
# Only ends a test that hangs.
HANG_TIMEOUT_S = 30.0


@pytest_asyncio.fixture(scope="class", loop_scope="class")
async def harness(tmp_path_factory: pytest.TempPathFactory) -> AsyncIterator[Harness]:
    started = Harness(
        folder=tmp_path_factory.mktemp("lists"),
        services=(ServicePlan(name=SERVICE, upstreams=3),),
        balancers=2,
    )
    try:
        await started.start()
        yield started
    finally:
        await started.close()


def limit_requests(harness: Harness, limit: int | None) -> None:
    """Set the limit of the plan in the lists, without publishing it."""
    plan = {"name": "standard", "services": [SERVICE], "concurrent_requests": limit}
    harness.lists["plans"] = {"plans": [plan]}


async def version_in_refusal(harness: Harness) -> int:
    """Return the list version that a refusal names; the plan in force must allow no request."""
    async with asyncio.timeout(HANG_TIMEOUT_S):
        flow = await connect(
            harness.service_address(SERVICE),
            authority=harness.root_certificate,
            server_name=SERVER_NAME,
        )
        head, _ = await flow.request("GET", "/requests/refused")
        flow.disconnect()
    assert "reason=plan_concurrency" in head["laburnumbridge-refusal"]
    return int(head["laburnumbridge-refusal"].rpartition("version=")[2])


def assert_never_reverted(harness: Harness, name: str) -> None:
    for process, versions in harness.versions_in_force(name).items():
        assert versions == sorted(set(versions)), process


@pytest.mark.asyncio(loop_scope="class")
class TestListChanges:
    async def test_change_during_an_outage_is_in_force_soon_after_it(
        self, harness: Harness
    ) -> None:
        # Guards P8: readers that back off during an outage must still meet the bound after it.
        await harness.set_platform_faults(down=True)
        limit_requests(harness, 0)
        version = await harness.publish("plans")
        await asyncio.sleep(FAULT_S)
        assert max(map(max, harness.versions_in_force("plans").values())) < version
        await harness.set_platform_faults()
        await harness.wait_in_force("plans", version, timeout_s=CHANGE_BOUND_S)
        assert await version_in_refusal(harness) == version
        assert_never_reverted(harness, "plans")

    async def test_stale_answers_revert_no_list(self, harness: Harness) -> None:
        # Guards P8: the platform answers with the version before the one in force, also to a
        # process that starts meanwhile.
        limit_requests(harness, 0)
        late = harness.add_balancer()
        vms_version = await harness.publish_vms()
        version = await harness.publish("plans")
        await self._wait_others(harness, late.name, {"vms": vms_version, "plans": version})
        await harness.set_platform_faults(stale=True)
        try:
            harness.start_machine(late)
            await harness.wait_ready(late)
            version_at_start = harness.versions_in_force("plans")[late.name][-1]
            await harness.publish_balancers()
            await asyncio.sleep(FAULT_S)
            assert await version_in_refusal(harness) == version
            limit_requests(harness, None)
            newer = await harness.publish("plans")
        finally:
            await harness.set_platform_faults()
        await harness.wait_in_force("plans", newer, timeout_s=CHANGE_BOUND_S)
        for name in harness.lists:
            assert_never_reverted(harness, name)
        assert version_at_start == version

    async def test_unlisted_process_starts_with_the_version_in_force(
        self, harness: Harness
    ) -> None:
        # Guards P8: the list of VMs lags, so peers may not list a process that starts while the
        # platform is stale. They must still send it the version in force.
        limit_requests(harness, 0)
        version = await harness.publish("plans")
        await harness.wait_in_force("plans", version, timeout_s=CHANGE_BOUND_S)
        late = harness.add_balancer()
        await harness.set_platform_faults(stale=True)
        try:
            harness.start_machine(late)
            await harness.wait_ready(late)
            version_at_start = harness.versions_in_force("plans")[late.name][-1]
        finally:
            await harness.set_platform_faults()
            limit_requests(harness, None)
            await harness.publish("plans")
            await harness.publish_vms()
        assert version_at_start == version

    @staticmethod
    async def _wait_others(harness: Harness, late: str, version_by_list: dict[str, int]) -> None:
        async with asyncio.timeout(CHANGE_BOUND_S):
            for name, version in version_by_list.items():
                for process in set(harness.machines_by_name) - {late}:
                    while version not in harness.versions_in_force(name)[process]:
                        await asyncio.sleep(0.05)

    async def test_key_rotation_breaks_no_flow(self, harness: Harness) -> None:
        # Guards P1: flows keep connection IDs under the first key while the second is current,
        # and those under the second must stay valid without the first.
        earlier_fleet = ClientFleet(harness=harness, service=SERVICE, flows=FLOWS)
        later_fleet = ClientFleet(harness=harness, service=SERVICE, flows=FLOWS)
        try:
            async with asyncio.timeout(HANG_TIMEOUT_S):
                await earlier_fleet.start()
            await self._publish_keys(harness, {1: ROUTING_KEY, 2: NEXT_ROUTING_KEY})
            async with asyncio.timeout(HANG_TIMEOUT_S):
                await later_fleet.start()
            await asyncio.sleep(FAULT_S)
            await earlier_fleet.close()
            await self._publish_keys(harness, {2: NEXT_ROUTING_KEY})
            await asyncio.sleep(FAULT_S)
        finally:
            await asyncio.gather(earlier_fleet.close(), later_fleet.close())
        assert (earlier_fleet.outcomes.broken, later_fleet.outcomes.broken) == (0, 0)
        assert later_fleet.outcomes.opened == FLOWS

    @staticmethod
    async def _publish_keys(harness: Harness, keys_by_number: dict[int, str]) -> None:
        services = harness.lists["services"]
        assert isinstance(services, dict)
        services["routing_keys"] = [
            {"number": number, "key": key, "current": number == max(keys_by_number)}
            for number, key in keys_by_number.items()
        ]
        version = await harness.publish("services")
        await harness.wait_in_force("services", version, timeout_s=CHANGE_BOUND_S)
