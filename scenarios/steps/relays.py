"""Distribution of the lists in a fleet of relays, and in one relay with a peer and the platform."""

from __future__ import annotations

import json

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from laburnumbridge import configuration as conf
from laburnumbridge.configuration.value_document import digest_of
from laburnumbridge.core import FailureDomain
from laburnumbridge.core import Incarnation
from laburnumbridge.core import ProcessId
from laburnumbridge.standins.benchmarks.configuration import RelayFleet
from laburnumbridge.standins.benchmarks.configuration import client_account_list
from laburnumbridge.standins.benchmarks.configuration import started_fleet

CLIENT_ACCOUNTS = 50
OWN, PEER = ProcessId("own"), ProcessId("peer")
DOMAIN = FailureDomain("osborne")


class RelaysWorld:
    """A fleet of 60 processes, and one relay whose peer and platform the steps simulate."""

    def __init__(self) -> None:
        self.fleet: RelayFleet | None = None
        self.invalid_versions: set[int] = set()
        self.in_force: list[int] = []
        self.relay = conf.ConfigurationRelay(
            process=OWN,
            incarnation=Incarnation(1),
            failure_domain=DOMAIN,
            seed=1,
            names=("guests",),
        )
        members = (conf.Member(OWN, DOMAIN), conf.Member(PEER, DOMAIN))
        self.handle(conf.MembersChanged(members))

    @property
    def running_fleet(self) -> RelayFleet:
        assert self.fleet is not None
        return self.fleet

    def handle(self, event: conf.Event) -> None:
        for action in self.relay.handle(event, 1.0):
            if isinstance(action, conf.ValidateCandidate):
                valid = action.version not in self.invalid_versions
                candidate = (action.name, action.version, action.digest)
                self.handle(conf.CandidateValidated(*candidate, valid))
            elif isinstance(action, conf.ActivateValue):
                self.in_force.append(action.version)


@pytest.fixture
def relays_world() -> RelaysWorld:
    return RelaysWorld()


@given(parsers.parse("60 processes that hold the lists and lose messages, seed {seed:d}"))
def a_fleet(relays_world: RelaysWorld, seed: int) -> None:
    relays_world.fleet = started_fleet(size=60, client_accounts=CLIENT_ACCOUNTS, seed=seed)


@given(parsers.parse("60 processes that hold the lists, lose and reorder messages, seed {seed:d}"))
def a_reordering_fleet(relays_world: RelaysWorld, seed: int) -> None:
    # Messages overtake one another by up to half a second.
    relays_world.fleet = started_fleet(
        size=60, client_accounts=CLIENT_ACCOUNTS, seed=seed, jitter_s=0.5
    )


@given(parsers.parse("a process with version {version:d} of the guests list in force"))
@when(parsers.parse("the platform offers version {version:d}"))
def platform_offers(relays_world: RelaysWorld, version: int) -> None:
    payload = client_account_list(version, CLIENT_ACCOUNTS)
    relays_world.handle(conf.PlatformAnswer("guests", version, payload))


@when(parsers.parse("a peer offers version {version:d}"))
def peer_offers(relays_world: RelaysWorld, version: int) -> None:
    payload = conf.ValueDocument.parse(client_account_list(version, CLIENT_ACCOUNTS)).encode()
    digest = digest_of(payload)
    relays_world.handle(conf.PeerValue(PEER, "guests", version, digest, payload))


@when(parsers.parse("the platform offers version {version:d}, which has an error"))
def platform_offers_invalid(relays_world: RelaysWorld, version: int) -> None:
    relays_world.invalid_versions.add(version)
    platform_offers(relays_world, version)


@when(parsers.parse("operators change the guests list to version {version:d}"))
def client_accounts_change(relays_world: RelaysWorld, version: int) -> None:
    relays_world.running_fleet.publish(
        "guests", version, client_account_list(version, CLIENT_ACCOUNTS)
    )


@when(parsers.parse("the platform lists an upstream as leaving in version {version:d}"))
def vms_change(relays_world: RelaysWorld, version: int) -> None:
    payload = json.dumps({"vms": [{"name": "agent-3", "state": "leaving"}]}).encode()
    relays_world.running_fleet.publish("vms", version, payload)


@when("the platform goes down")
def platform_down(relays_world: RelaysWorld) -> None:
    relays_world.running_fleet.platform.down = True


@when("the platform returns")
def platform_returns(relays_world: RelaysWorld) -> None:
    relays_world.running_fleet.platform.down = False


@when(parsers.parse("the platform falls back to version {version:d} of the guests list"))
def platform_stale(relays_world: RelaysWorld, version: int) -> None:
    fleet = relays_world.running_fleet
    fleet.platform.publish(
        "guests", version, client_account_list(version, CLIENT_ACCOUNTS), fleet.now
    )


@when("half of the processes restart")
def restart(relays_world: RelaysWorld) -> None:
    fleet = relays_world.running_fleet
    fleet.start(sorted(fleet.live)[::2])


@when("a partition cuts one failure domain off from the platform and the others")
def partition(relays_world: RelaysWorld) -> None:
    fleet = relays_world.running_fleet
    cut_off = {p for p, domain in fleet.domain_by_process.items() if domain == "domain-0"}
    fleet.platform.unreachable |= cut_off
    fleet.network.cut(cut_off, fleet.live - cut_off)


@when("the partition of the lists heals")
def heal(relays_world: RelaysWorld) -> None:
    relays_world.running_fleet.platform.unreachable.clear()
    relays_world.running_fleet.network.heal()


@when(parsers.parse("{seconds:d} seconds pass for the lists"))
def time_passes(relays_world: RelaysWorld, seconds: int) -> None:
    relays_world.running_fleet.run(float(seconds))


@then(parsers.parse("each change was in force everywhere within {seconds:d} seconds"))
def in_force_within(relays_world: RelaysWorld, seconds: int) -> None:
    assert max(relays_world.running_fleet.delays()) <= seconds


@then(parsers.parse("version {version:d} of the guests list is in force everywhere"))
def in_force_everywhere(relays_world: RelaysWorld, version: int) -> None:
    fleet = relays_world.running_fleet
    assert {fleet.relay_by_process[p].version("guests") for p in fleet.live} == {version}


@then("no process has gone back to an earlier version")
def no_reverts(relays_world: RelaysWorld) -> None:
    assert relays_world.running_fleet.reverts == 0


@then(parsers.parse("the versions in force were {versions}"))
def versions_in_force(relays_world: RelaysWorld, versions: str) -> None:
    assert relays_world.in_force == [int(v) for v in versions.split(" then ")]
