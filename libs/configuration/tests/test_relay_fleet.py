from __future__ import annotations

import pytest

from laburnumbridge.standins.benchmarks.configuration import FULL_FLEET
from laburnumbridge.standins.benchmarks.configuration import RelayFleet
from laburnumbridge.standins.benchmarks.configuration import client_account_list
from laburnumbridge.standins.benchmarks.configuration import cold_start_reads_s
from laburnumbridge.standins.benchmarks.configuration import outage
from laburnumbridge.standins.benchmarks.configuration import restart
from laburnumbridge.standins.benchmarks.configuration import started_fleet
from laburnumbridge.standins.benchmarks.configuration import watcher_death

# Targets of the design page, sections 1.3 (P8) and 1.10.
IN_FORCE_S = 15.0
PLATFORM_READS_S = 2_000


def check_targets(fleet: RelayFleet) -> None:
    assert max(fleet.delays()) <= IN_FORCE_S
    assert fleet.reverts == 0
    assert fleet.reads_s_max() < PLATFORM_READS_S
    assert all(fleet.relay_by_process[process].serving for process in fleet.live)


@pytest.mark.parametrize("size", [3, 10, 60])
class TestRelayFleet:
    def test_watchers_fail_at_the_moment_of_a_change(self, size: int) -> None:
        check_targets(watcher_death(size))

    def test_platform_returns_after_an_outage(self, size: int) -> None:
        check_targets(outage(size))

    def test_all_processes_restart_at_the_moment_of_a_change(self, size: int) -> None:
        check_targets(restart(size))

    def test_failure_domain_without_the_platform_receives_changes_from_peers(
        self, size: int
    ) -> None:
        fleet = started_fleet(size=size, client_accounts=50, seed=6)
        cut = {p for p, domain in fleet.domain_by_process.items() if domain == "domain-0"}
        fleet.platform.unreachable |= cut
        for version in range(2, 6):
            fleet.publish("guests", version, client_account_list(version, 50))
            fleet.run(5.0)
        fleet.run(IN_FORCE_S)
        check_targets(fleet)

    def test_failure_domain_partitioned_from_its_peers_reads_the_platform(self, size: int) -> None:
        fleet = started_fleet(size=size, client_accounts=50, seed=7)
        cut = {p for p, domain in fleet.domain_by_process.items() if domain == "domain-0"}
        fleet.network.cut(cut, fleet.live - cut)
        fleet.publish("guests", 2, client_account_list(2, 50))
        fleet.publish("plans", 2, b'{"a":2}')
        fleet.run(IN_FORCE_S)
        check_targets(fleet)

    def test_burst_of_changes_in_two_lists(self, size: int) -> None:
        fleet = started_fleet(size=size, client_accounts=50, seed=8)
        for version in range(2, 27):
            fleet.publish("guests", version, client_account_list(version, 50))
            fleet.run(0.2)
            fleet.publish("plans", version, b'{"a":%d}' % version)
            fleet.run(0.2)
        fleet.run(IN_FORCE_S)
        check_targets(fleet)


class TestFallbackRead:
    @pytest.mark.parametrize("seed", range(10, 16))
    def test_change_arrives_while_dead_watchers_are_still_listed(self, seed: int) -> None:
        # Guards against a fleet that waits for the live view, which lags, after all watchers died.
        fleet = started_fleet(size=100, client_accounts=50, seed=seed)
        fleet.kill(sorted(fleet.platform.waiting_readers()), view_after_s=60.0)
        assert len(fleet.live) >= 30
        fleet.publish("guests", 2, client_account_list(2, 50))
        fleet.run(IN_FORCE_S)
        check_targets(fleet)


class TestReordering:
    def test_reordered_messages_restore_no_earlier_version(self) -> None:
        # Messages are reordered by up to 2 s while a new version is published every 0.7 s.
        fleet = started_fleet(size=40, client_accounts=50, seed=9, jitter_s=2.0)
        for version in range(2, 22):
            fleet.publish("guests", version, client_account_list(version, 50))
            fleet.run(0.7)
        fleet.run(IN_FORCE_S)
        check_targets(fleet)


class TestColdStart:
    def test_reads_of_a_full_fleet_without_peers_stay_below_the_limit(self) -> None:
        # Guards against synchronised retries when all processes start at once and no read succeeds.
        assert cold_start_reads_s(FULL_FLEET, 3.0) < PLATFORM_READS_S
