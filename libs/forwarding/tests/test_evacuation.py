from __future__ import annotations

import pytest
from msgspec.structs import replace

from laburnumbridge.catalog import Catalog
from laburnumbridge.catalog.evacuations import EvacuationState
from laburnumbridge.core import Event
from laburnumbridge.standins.flows.process_settings import PEER_PORT
from laburnumbridge.standins.flows.process_settings import SERVICE
from laburnumbridge.standins.flows.process_settings import UPSTREAM_PORT
from laburnumbridge.standins.flows.simulated_fleet import CLIENT
from laburnumbridge.standins.flows.simulated_fleet import SimulatedFleet
from laburnumbridge.standins.flows.stand_in_packets import StandInPacketCodec

DOMAINS = ("north", "south")
EVACUATE_S = 5.0  # from the operator's write until no opening reaches the domain


@pytest.fixture
def fleet(tmp_path):
    fleet = SimulatedFleet(directory=tmp_path, failure_domains=DOMAINS)
    fleet.start()
    return fleet


def openings(fleet, domain):
    return sum(
        len(upstream.openings)
        for address, upstream in fleet.upstream_by_address.items()
        if fleet.failure_domain(address) == domain
    )


def open_flows(fleet, count=20, interval_s=0.02):
    flows = []
    for _ in range(count):
        flows.append(fleet.client.open_flow(SERVICE))
        flows[-1].request(b"r" + flows[-1].key)
        fleet.simulation.run_for(interval_s)
    return flows


class OutdatedState(EvacuationState):
    """Evacuations of a process that hears of no change."""

    def merge(self, register, now):
        return False


def freeze_evacuations(fleet, address, *domains):
    state = fleet.process_by_address[address].view.catalog._evacuation_state = OutdatedState()
    state.domains = frozenset(domains)


def assert_nothing_opens(fleet, domain, **options):
    before = openings(fleet, domain)
    flows = open_flows(fleet, **options)
    fleet.simulation.run_for(1.0)
    assert openings(fleet, domain) == before
    assert all(len(flow.answers) == 1 for flow in flows)


class TestEvacuation:
    def test_new_flows_avoid_the_domain_and_open_flows_stay(self, fleet):
        # Guards against openings in an evacuated domain, against balancers that leave it to the
        # agents to hand them over, against open flows that are reset by an evacuation, and against
        # a domain that stays out of use after it.
        opened = open_flows(fleet)
        fleet.simulation.run_for(0.5)
        fleet.platform.evacuate("north")
        fleet.simulation.run_for(1.0)
        assert_nothing_opens(fleet, "north")
        assert not fleet.lines(Event.FLOW_HANDED_OVER, "evacuated")
        for flow in opened:
            flow.request(b"second" + flow.key)
        fleet.simulation.run_for(2.0)
        assert all(len(flow.answers) == 2 for flow in opened)
        fleet.platform.evacuate("north", is_evacuated=False)
        fleet.simulation.run_for(3.0)
        before = openings(fleet, "north")
        open_flows(fleet)
        assert openings(fleet, "north") > before

    def test_held_openings_are_handed_over(self, tmp_path):
        # Guards against an opening that starts in the domain after it was evacuated, since it was
        # held there until a slot was free.
        fleet = SimulatedFleet(
            directory=tmp_path, agents=2, slots=1, work_s=0.8, failure_domains=DOMAINS
        )
        fleet.start()
        flows = open_flows(fleet, count=5, interval_s=0.0)
        fleet.simulation.run_for(0.1)
        before = openings(fleet, "north")
        assert before
        fleet.platform.evacuate("north")
        fleet.simulation.run_for(4.5)
        assert openings(fleet, "north") == before
        assert all(flow.answers or flow.was_reset for flow in flows)
        assert fleet.lines(Event.FLOW_HANDED_OVER, "evacuated")


@pytest.fixture
def limited_fleet(tmp_path):
    limits = {"warm_up_overage": 1.5, "warm_up_slack": 5}
    fleet = SimulatedFleet(
        directory=tmp_path, agents=3, failure_domains=DOMAINS, extra_settings=limits
    )
    fleet.start()
    fleet.configure(version=2, warm_up_s=2.0)
    fleet.simulation.run_for(1.0)
    return fleet


def opened_by_second(fleet, address, seconds):
    """Open 40 flows a second; return the openings at ``address`` in each window of 50 ms."""
    counts = []
    for _ in range(int(seconds / 0.05)):
        before = len(fleet.upstream_by_address[address].openings)
        open_flows(fleet, count=2, interval_s=0.025)
        counts.append(len(fleet.upstream_by_address[address].openings) - before)
    return counts


def most_in_a_second(counts):
    return max(sum(counts[start : start + 20]) for start in range(len(counts)))


def open_at_cold_upstreams(fleet):
    """Return the flows, and the most openings that one upstream got within 0.9 s."""
    for address in fleet.agents:
        fleet.platform.put(replace(fleet.entry(address), warm_up_left_ms=2_000, started_ms=2))
    fleet.simulation.run_for(0.5)
    before = [len(upstream.openings) for upstream in fleet.upstream_by_address.values()]
    flows = open_flows(fleet, count=40, interval_s=0.01)
    fleet.simulation.run_for(0.5)
    after = [len(upstream.openings) for upstream in fleet.upstream_by_address.values()]
    return flows, max(end - start for start, end in zip(before, after, strict=True))


class TestTrackedFlows:
    @pytest.mark.parametrize("is_closed", [True, False])
    def test_an_opening_of_a_flow_that_is_still_tracked(self, fleet, is_closed):
        # Guards against an opening from a port that its client has used before, which reached an
        # evacuated upstream since the agent there still tracked the earlier flow.
        opened = open_flows(fleet)
        fleet.platform.evacuate("north")
        fleet.simulation.run_for(EVACUATE_S)
        if is_closed:
            for flow in opened:
                flow.close()
            fleet.simulation.run_for(0.5)
        delivered = []

        def record_openings(datagram, endpoint):
            is_upstream = endpoint[1] == UPSTREAM_PORT
            if is_upstream and StandInPacketCodec().decode_from_client(datagram).is_opening:
                delivered.append(fleet.failure_domain(endpoint[0]))
            return False

        fleet.simulation.should_drop = record_openings
        for flow in opened:
            flow.open()
            fleet.simulation.run_for(0.05)
        assert "north" not in delivered


class TestExchange:
    def test_no_snapshot_is_sent(self, fleet, monkeypatch):
        # Guards against peers that seem to lag after an evacuation: each got the whole view, of
        # 100 KB and more, over links of 5 Mbit/s.
        snapshots = []
        monkeypatch.setattr(Catalog, "snapshot", lambda self, now: snapshots.append(now))
        for is_evacuated in (True, False):
            fleet.platform.evacuate("north", is_evacuated=is_evacuated)
            fleet.simulation.run_for(2.0)
        assert not snapshots


class TestLimitOfColdUpstreams:
    def test_a_domain_that_is_taken_back(self, limited_fleet):
        # Guards against a burst of openings at upstreams that became cold while they had none,
        # and against a limit that outlasts the warm-up.
        fleet = limited_fleet
        fleet.platform.evacuate("south")
        fleet.simulation.run_for(EVACUATE_S)
        fleet.platform.evacuate("south", is_evacuated=False)
        address = fleet.agents[1]
        assert most_in_a_second(opened_by_second(fleet, address, 2.0)) <= 5
        fleet.simulation.run_for(3.0)
        assert most_in_a_second(opened_by_second(fleet, address, 2.0)) > 5

    def test_an_agent_that_restarts_beside_a_cold_upstream(self, limited_fleet):
        # Guards against twice the openings, since the new process doesn't know of the first ones.
        fleet = limited_fleet
        address = fleet.agents[1]
        fleet.platform.put(replace(fleet.entry(address), warm_up_left_ms=4_000, started_ms=2))
        counts = opened_by_second(fleet, address, 0.6)
        fleet.kill(address)
        fleet.start_process(address)
        counts += opened_by_second(fleet, address, 2.0)
        assert 0 < most_in_a_second(counts) <= 5

    def test_all_upstreams_are_cold(self, limited_fleet):
        # Guards against openings that are passed on without an end, that get neither an answer nor
        # a refusal, or that exceed the limit where no upstream has room.
        flows, most = open_at_cold_upstreams(limited_fleet)
        assert most == 5
        limited_fleet.simulation.run_for(3.0)
        assert all(flow.answers or flow.was_reset for flow in flows)
        assert sum(bool(flow.answers) for flow in flows) >= 5 * len(limited_fleet.agents)

    def test_copies_count_and_open_no_second_flow(self, limited_fleet):
        # Guards against copies that exceed the limit, and against one that opens its flow at a
        # second upstream, since the first was at its limit.
        fleet = limited_fleet
        codec, delivered = StandInPacketCodec(), []

        def drop_opening_answers(datagram, endpoint):
            if endpoint[1] == UPSTREAM_PORT and codec.decode_from_client(datagram).is_opening:
                delivered.append((endpoint[0], fleet.simulation.now))
            return endpoint == CLIENT and codec.decode_from_upstream(datagram).is_opening_answer

        fleet.simulation.should_drop = drop_opening_answers
        flows, _ = open_at_cold_upstreams(fleet)
        assert fleet.lines(Event.PACKET_DROPPED, "warming_up")
        for address, start in delivered:
            times = [at for other, at in delivered if other == address]
            assert sum(start <= at < start + 1.0 for at in times) <= 5
        holders = [
            sum(flow.key in upstream.openings for upstream in fleet.upstream_by_address.values())
            for flow in flows
        ]
        assert max(holders) == 1

    def test_there_is_no_limit_without_the_setting(self, fleet):
        # Guards against a deployment without the bounds whose new upstreams get fewer openings.
        fleet.configure(version=2, warm_up_s=2.0)
        _, most = open_at_cold_upstreams(fleet)
        assert most > 5

    def test_there_is_no_limit_if_the_operator_publishes_none(self, limited_fleet):
        # Guards against a service whose upstreams have all restarted and that then takes hardly
        # any flow, since the limit that is published as 0 leaves the slack only.
        limited_fleet.configure(version=3, warm_up_s=2.0, openings_per_s=0.0)
        _, most = open_at_cold_upstreams(limited_fleet)
        assert most > 5


class TestReports:
    def test_each_process_reports_a_change_once(self, fleet):
        # Guards against an operator who can't see whether the fleet has heard of an evacuation.
        fleet.platform.evacuate("north")
        fleet.simulation.run_for(2.0)
        processes = fleet.process_by_address.values()
        assert len(fleet.lines(Event.EVACUATION_CHANGED, "evacuated")) == len(processes)
        for process in processes:
            page = process.metrics.render().decode()
            assert "laburnumbridge_failure_domains_evacuated 1\n" in page
            assert 'laburnumbridge_failure_domain_evacuated{domain="north"} 1\n' in page
        fleet.platform.evacuate("north", is_evacuated=False)
        fleet.simulation.run_for(2.0)
        assert len(fleet.lines(Event.EVACUATION_CHANGED, "taken_back")) == len(processes)
        assert b"failure_domains_evacuated 0\n" in next(iter(processes)).metrics.render()

    def test_an_unknown_domain_is_logged_and_evacuates_nothing(self, fleet):
        # Guards against a misspelt name that the operator takes for an evacuation.
        fleet.platform.evacuate("nroth")
        fleet.simulation.run_for(2.0)
        open_flows(fleet)
        (key,) = {line["key"] for line in fleet.lines(Event.ITEM_IGNORED)}
        assert key == "nroth"
        assert len(fleet.lines(Event.ITEM_IGNORED)) == len(fleet.process_by_address)
        assert not fleet.lines(Event.EVACUATION_CHANGED)
        assert not fleet.lines(Event.FLOW_RESET)
        for is_evacuated in (False, True):
            fleet.platform.evacuate("nroth", is_evacuated=is_evacuated)
            fleet.simulation.run_for(2.0)
        assert len(fleet.lines(Event.ITEM_IGNORED)) == 2 * len(fleet.process_by_address)

    def test_a_process_that_starts_knows_the_domain_of_its_upstreams(self, fleet):
        # Guards against a warning at each start of a reader, which has the operator's items before
        # it has the upstreams.
        fleet.platform.evacuate("south")
        fleet.simulation.run_for(2.0)
        for balancer in fleet.balancers:
            fleet.kill(balancer)
            fleet.start_process(balancer)
        fleet.simulation.run_for(2.0)
        assert len(fleet.lines(Event.EVACUATION_CHANGED)) >= len(fleet.process_by_address)
        assert not fleet.lines(Event.ITEM_IGNORED)


class TestFailures:
    def test_a_reader_that_is_cut_off(self, fleet):
        # Guards against an evacuation that waits for the one reader whose platform is silent.
        fleet.platform.unresponsive.add(fleet.balancers[0])
        fleet.simulation.run_for(0.5)
        fleet.platform.evacuate("north")
        fleet.simulation.run_for(EVACUATE_S)
        assert_nothing_opens(fleet, "north")

    def test_a_balancer_with_an_outdated_view(self, fleet):
        # Guards against openings in the domain while a balancer hasn't heard of the evacuation:
        # the agent with the newer view hands them over.
        freeze_evacuations(fleet, fleet.balancers[2])
        fleet.rotation = [fleet.balancers[2]]
        fleet.platform.evacuate("north")
        fleet.simulation.run_for(1.0)
        assert_nothing_opens(fleet, "north")
        assert fleet.lines(Event.FLOW_HANDED_OVER, "evacuated")

    def test_agents_whose_views_contradict_each_other(self, fleet):
        # Guards against an opening packet that two agents pass to and fro without an end, each of
        # them with another domain evacuated.
        for address in fleet.agents:
            freeze_evacuations(fleet, address, fleet.failure_domain(address))
        sent = []
        fleet.simulation.should_drop = lambda datagram, endpoint: (
            sent.append(datagram) if endpoint[1] == PEER_PORT else None
        )
        flow = fleet.client.open_flow(SERVICE)
        fleet.simulation.run_for(0.1)
        assert flow.was_reset
        assert len(sent) < 60

    def test_all_balancers_restart(self, fleet):
        # Guards against balancers that forward openings before they know of the evacuation.
        fleet.platform.evacuate("north")
        fleet.simulation.run_for(EVACUATE_S)
        for balancer in fleet.balancers:
            fleet.kill(balancer)
            fleet.start_process(balancer)
        assert_nothing_opens(fleet, "north")

    def test_a_removal_that_the_history_lacks(self, fleet):
        # Guards against a domain that stays evacuated for good, since its removal was compacted
        # away while no reader reached the platform.
        fleet.platform.evacuate("north")
        fleet.simulation.run_for(1.0)
        fleet.platform.is_unresponsive = True
        fleet.simulation.run_for(2.5)
        fleet.platform.evacuate("north", is_evacuated=False)
        fleet.platform.forget_removed_evacuations()
        fleet.platform.compact()
        fleet.platform.is_unresponsive = False
        fleet.simulation.run_for(5.0)
        before = openings(fleet, "north")
        open_flows(fleet)
        assert openings(fleet, "north") > before

    def test_an_evacuation_taken_back_within_a_second(self, fleet):
        # Guards against processes that keep the earlier of two changes.
        fleet.platform.evacuate("north")
        fleet.simulation.run_for(0.4)
        fleet.platform.evacuate("north", is_evacuated=False)
        fleet.simulation.run_for(EVACUATE_S)
        catalogs = [process.view.catalog for process in fleet.process_by_address.values()]
        assert not any(catalog.evacuated_domains for catalog in catalogs)
        before = openings(fleet, "north")
        open_flows(fleet)
        assert openings(fleet, "north") > before

    def test_two_domains_with_nothing_left(self, fleet):
        # Guards against clients that wait where no upstream is left, and against an upstream that
        # is used because all are evacuated.
        for domain in DOMAINS:
            fleet.platform.evacuate(domain)
        fleet.simulation.run_for(EVACUATE_S)
        before = [openings(fleet, domain) for domain in DOMAINS]
        flow = fleet.client.open_flow(SERVICE)
        fleet.simulation.run_for(0.05)
        assert flow.was_reset
        assert fleet.lines(Event.FLOW_RESET, "evacuated")
        assert [openings(fleet, domain) for domain in DOMAINS] == before

    def test_a_restore_from_a_copy_without_the_item(self, fleet):
        # Guards against openings in the domain until the operator has written the item again.
        copy = fleet.platform.copy()
        fleet.platform.evacuate("north")
        fleet.simulation.run_for(EVACUATE_S)
        fleet.platform.restore(copy)
        assert_nothing_opens(fleet, "north", count=40)
        fleet.platform.evacuate("north")
        fleet.simulation.run_for(2.0)
        assert_nothing_opens(fleet, "north")
