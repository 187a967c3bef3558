from __future__ import annotations

import pytest
from msgspec.structs import replace

from laburnumbridge.standins.flows.platform_data import entry_name
from laburnumbridge.standins.flows.process_settings import SERVICE
from laburnumbridge.standins.flows.simulated_fleet import SimulatedFleet

LOST_CHANGES = 30
LEAVING, ADDED = "10.2.0.1", "10.2.0.9"


class RestoredFleet(SimulatedFleet):
    """A fleet whose platform is restored from a copy that lacks ``LOST_CHANGES`` changes."""

    def start(self) -> None:
        super().start()
        self.copy = self.platform.copy()

    def lose_changes(self) -> None:
        """Publish changes, the last one by the upstream that leaves later."""
        for version in range(2, LOST_CHANGES):
            self.configure(version=version)
        self.platform.put(self.entry(LEAVING))
        self.simulation.run_for(0.5)

    def restore(self, *, outage_s: float = 1.0, settle_s: float = 3.0) -> None:
        """Make the platform unavailable, restore it and let the processes read it."""
        self.platform.is_unresponsive = True
        self.simulation.run_for(outage_s)
        self.platform.restore(self.copy)
        self.platform.is_unresponsive = False
        self.simulation.run_for(settle_s)

    def entries(self, address: str):
        """Return the entry of the upstream at ``address`` in the view of each process."""
        return [
            process.view.catalog.entry_by_name.get(entry_name(address))
            for process in self.process_by_address.values()
        ]


@pytest.fixture
def fleet(tmp_path):
    fleet = RestoredFleet(directory=tmp_path)
    fleet.start()
    return fleet


class TestRevisionsGivenOutAgain:
    def test_an_upstream_that_drains_after_a_restore_gets_no_new_flow(self, fleet):
        fleet.lose_changes()
        fleet.restore()
        fleet.platform.put(fleet.entry(LEAVING, is_draining=True))
        fleet.simulation.run_for(1.0)
        assert all(entry.is_draining for entry in fleet.entries(LEAVING))
        flows = [fleet.client.open_flow(SERVICE) for _ in range(8)]
        fleet.simulation.run_for(0.3)
        assert LEAVING not in {fleet.holder(flow.key) for flow in flows}

    def test_an_upstream_added_after_a_restore_is_used_by_all_processes(self, fleet):
        fleet.lose_changes()
        fleet.restore()
        fleet.platform.put(fleet.entry(ADDED))
        fleet.simulation.run_for(1.0)
        assert None not in fleet.entries(ADDED)

    def test_an_upstream_added_in_the_lost_seconds_that_left_is_removed(self, fleet):
        fleet.lose_changes()
        fleet.platform.put(fleet.entry(ADDED))
        fleet.simulation.run_for(0.5)
        assert None not in fleet.entries(ADDED)
        fleet.restore()
        fleet.simulation.run_for(3.0)
        assert set(fleet.entries(ADDED)) == {None}

    @pytest.mark.parametrize("outage_s", [0.0, 0.1, 1.0, 2.2])
    def test_no_change_is_missed_if_the_revision_has_passed_the_old_one(self, fleet, outage_s):
        fleet.lose_changes()
        fleet.platform.is_unresponsive = True
        fleet.simulation.run_for(outage_s)
        fleet.platform.restore(fleet.copy)
        fleet.platform.put(fleet.entry(LEAVING, is_draining=True))
        for _ in range(2 * LOST_CHANGES):
            fleet.platform.put(fleet.entry(ADDED))
        fleet.platform.is_unresponsive = False
        fleet.simulation.run_for(3.0)
        assert all(entry.is_draining for entry in fleet.entries(LEAVING))

    def test_a_process_that_starts_after_a_restore_has_the_view_of_its_peers(self, fleet):
        fleet.lose_changes()
        fleet.restore()
        fleet.platform.put(replace(fleet.entry(LEAVING), slots=9))
        fleet.platform.unresponsive = set(fleet.agents)
        fleet.kill(fleet.agents[1])
        fleet.start_process(fleet.agents[1])
        fleet.simulation.run_for(2.0)
        assert {entry.slots for entry in fleet.entries(LEAVING)} == {9}


class TestContentOfTheCopy:
    def test_an_upstream_known_to_drain_isnt_ready_again(self, fleet):
        fleet.lose_changes()
        fleet.platform.put(fleet.entry(LEAVING, is_draining=True))
        fleet.simulation.run_for(0.5)
        fleet.restore()
        assert all(entry.is_draining for entry in fleet.entries(LEAVING))

    def test_an_upstream_that_left_isnt_used_again(self, fleet):
        fleet.lose_changes()
        fleet.deregister_upstream(LEAVING)
        fleet.simulation.run_for(0.5)
        fleet.restore()
        assert set(fleet.entries(LEAVING)) == {None}

    def test_an_upstream_removed_though_it_lives_is_used_again(self, fleet):
        fleet.lose_changes()
        fleet.deregister_upstream(LEAVING)
        fleet.simulation.run_for(0.5)
        fleet.restore()
        fleet.simulation.run_for(4.0)
        assert None not in fleet.entries(LEAVING)

    def test_an_earlier_start_doesnt_replace_a_later_one(self, fleet):
        fleet.lose_changes()
        fleet.platform.put(replace(fleet.entry(LEAVING), started_ms=7, slots=9))
        fleet.simulation.run_for(0.5)
        fleet.restore()
        assert {(entry.started_ms, entry.slots) for entry in fleet.entries(LEAVING)} == {(7, 9)}

    def test_a_confirmed_configuration_stays_in_force(self, fleet):
        fleet.lose_changes()
        fleet.restore()
        versions = {
            process.view.catalog.configuration_version
            for process in fleet.process_by_address.values()
        }
        assert versions == {LOST_CHANGES - 1}

    def test_upstreams_that_the_copy_lacks_are_kept_until_they_are_published_again(self, fleet):
        fleet.lose_changes()
        fleet.start_upstream(ADDED)
        fleet.simulation.run_for(0.5)
        fleet.platform.is_unresponsive = True
        fleet.simulation.run_for(1.0)
        fleet.platform.restore(fleet.copy)
        fleet.platform.is_unresponsive = False
        fleet.simulation.run_for(2.0)
        assert None not in fleet.entries(ADDED)
        fleet.platform.put(fleet.entry(ADDED))
        fleet.simulation.run_for(3.0)
        assert None not in fleet.entries(ADDED)


class TestProcessesStartedSince:
    """A seed that starts at the restore reads the copy and knows nothing of before."""

    def restart_seed_at_restore(self, fleet):
        seed = fleet.balancers[0]
        fleet.platform.is_unresponsive = True
        fleet.kill(seed)
        fleet.simulation.run_for(1.0)
        fleet.platform.restore(fleet.copy)
        fleet.platform.is_unresponsive = False
        fleet.start_process(seed)
        fleet.simulation.run_for(1.5)

    def test_an_upstream_that_left_isnt_used(self, fleet):
        fleet.lose_changes()
        fleet.deregister_upstream(LEAVING)
        fleet.simulation.run_for(0.5)
        self.restart_seed_at_restore(fleet)
        assert set(fleet.entries(LEAVING)) == {None}

    def test_an_upstream_that_drains_isnt_ready(self, fleet):
        fleet.lose_changes()
        fleet.platform.put(fleet.entry(LEAVING, is_draining=True))
        fleet.simulation.run_for(0.5)
        self.restart_seed_at_restore(fleet)
        assert all(entry.is_draining for entry in fleet.entries(LEAVING))

    def test_an_older_configuration_isnt_in_force(self, fleet):
        fleet.lose_changes()
        self.restart_seed_at_restore(fleet)
        views = [process.view.catalog for process in fleet.process_by_address.values()]
        assert {view.configuration_version for view in views} == {LOST_CHANGES - 1}


class TestAddressGivenToAnotherService:
    def test_the_copy_doesnt_give_it_back(self, fleet):
        fleet.lose_changes()
        fleet.deregister_upstream(LEAVING)
        new = replace(fleet.entry(LEAVING), name="up-new", service="archive", started_ms=5)
        fleet.platform.put(new)
        fleet.simulation.run_for(0.5)
        fleet.restore(settle_s=1.5)
        for process in fleet.process_by_address.values():
            services = {
                entry.service
                for entry in process.view.catalog.entry_by_name.values()
                if entry.address == LEAVING
            }
            assert services == {"archive"}
