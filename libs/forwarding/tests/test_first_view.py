from __future__ import annotations

from functools import partial

import pytest
from msgspec.structs import replace

from laburnumbridge.catalog.reader_election import START_WAIT_S
from laburnumbridge.catalog.update_codec import COMPRESSED_FLAG
from laburnumbridge.core import Event
from laburnumbridge.forwarding.view_sharing import FIRST_VIEW_MAX_WAIT_S
from laburnumbridge.forwarding.view_sharing import FIRST_VIEW_TIMEOUT_S
from laburnumbridge.forwarding.view_sharing import REFUSED_RETRY_INTERVAL_S
from laburnumbridge.standins.flows.process_settings import CONTROL_PORT
from laburnumbridge.standins.flows.process_settings import SERVICE
from laburnumbridge.standins.flows.simulated_fleet import SimulatedFleet
from laburnumbridge.standins.flows.simulation import LATENCY_S
from laburnumbridge.standins.flows.simulation import SimulatedStream

ROUTES = tuple((f"198.18.{number // 250}.{number % 250}", 443) for number in range(1_640))


class LongConfigurationFleet(SimulatedFleet):
    """A fleet with 1,640 routes, in which some processes run the previous version."""

    previous_version: frozenset[str] = frozenset()

    def start_process(self, address):
        super().start_process(address)
        if address in self.previous_version:
            catalog = self.process_by_address[address].view.catalog
            heartbeat = catalog.heartbeat
            catalog.heartbeat = lambda now: replace(heartbeat(now), accepts_compressed=False)


@pytest.fixture
def long_updates(monkeypatch):
    """Return the sources and targets of compressed updates, in the order of sending."""
    updates = []
    send = SimulatedStream.send

    def record(stream, data):
        if data[0] & (COMPRESSED_FLAG >> 24):
            updates.append((stream.loop.address, stream.remote_address))
        send(stream, data)

    monkeypatch.setattr(SimulatedStream, "send", record)
    return updates


class TestCompression:
    @pytest.mark.parametrize("is_previous_first", [True, False])
    def test_only_processes_that_accept_it_get_compressed_updates(
        self, tmp_path, long_updates, is_previous_first
    ):
        # Guards against a rolling upgrade in which processes of the previous version lose their
        # connections, whether they have the view or need it.
        fleet = LongConfigurationFleet(directory=tmp_path, balancers=4, agents=2)
        first, later = fleet.balancers[:2], fleet.balancers[2:]
        fleet.previous_version = frozenset(first if is_previous_first else later)
        fleet.client.start()
        fleet.configure(version=1, endpoints=(SERVICE, *ROUTES))
        for address in fleet.agents:
            fleet.start_upstream(address)
        for address in (*first, *fleet.agents):
            fleet.start_process(address)
        fleet.simulation.run_for(1.0)
        fleet.platform.is_unresponsive = True  # so that peers are the only source
        for address in later:
            fleet.start_process(address)
        fleet.simulation.run_for(1.0)
        for process in fleet.process_by_address.values():
            assert len(process.view.catalog.configuration.routes) == len(ROUTES) + 1
        receivers = {target for _source, target in long_updates}
        assert not receivers & fleet.previous_version
        if not is_previous_first:
            assert receivers >= set(fleet.agents)


class TestFirstView:
    @pytest.fixture
    def fleet(self, tmp_path):
        fleet = LongConfigurationFleet(directory=tmp_path, balancers=3, agents=2)
        fleet.configure(version=1, endpoints=(SERVICE, *ROUTES))
        fleet.client.start()
        for address in fleet.agents:
            fleet.start_upstream(address)
        return fleet

    @pytest.fixture
    def seeds_with_view(self, fleet):
        """Return two seeds with a view; the platform doesn't answer any more."""
        for address in fleet.balancers[:2]:
            fleet.start_process(address)
        fleet.simulation.run_for(1.0)
        fleet.platform.is_unresponsive = True
        return fleet.balancers[:2]

    def test_the_configuration_is_sent_once(self, fleet, seeds_with_view, long_updates):
        # Guards against two seeds on slow links that both send the view to each new process, and
        # against a process that sends what it has received to the other seed.
        long_updates.clear()
        for address in fleet.agents:
            fleet.start_process(address)
        fleet.simulation.run_for(1.0)
        assert sorted(target for _source, target in long_updates) == fleet.agents

    def test_later_changes_are_sent_without_a_request(self, fleet, seeds_with_view):
        # Guards against seeds that still take a process for one without a view, which has got it
        # from another seed: a change would then take another round trip.
        for address in fleet.agents:
            fleet.start_process(address)
        fleet.simulation.run_for(1.0)
        fleet.platform.is_unresponsive = False
        fleet.simulation.run_for(4.0)
        fleet.configure(version=2, endpoints=(SERVICE, *ROUTES[1:]))
        # The answer to the watch (4 ms), then one way from the reader to the agents.
        fleet.simulation.run_for(0.004 + 3 * LATENCY_S)
        for address in fleet.agents:
            assert fleet.process_by_address[address].view.catalog.configuration_version == 2

    def test_the_time_from_the_start_to_the_first_view_is_reported(self, fleet, seeds_with_view):
        # Guards against a slow start that can't be told from a slow platform.
        fleet.start_process(fleet.agents[0])
        fleet.simulation.run_for(1.0)
        log = fleet.log_by_address[fleet.agents[0]]
        since_start_s = {event: fields.get("since_start_s") for event, fields in log.lines}
        assert since_start_s[Event.PROCESS_STARTED] == 0.0
        first_view_s = since_start_s[Event.LIST_IN_FORCE]
        assert 0.0 < first_view_s < 1.0
        metrics = fleet.process_by_address[fleet.agents[0]].metrics.render().decode()
        assert "first_view_seconds_count 1\n" in metrics
        assert f"first_view_seconds_sum {first_view_s:.3f}" in metrics

    def test_the_platform_answers_again_while_the_fleet_starts(self, tmp_path):
        # Guards against a fleet without a view whose readers all wait 1.5 s for the answers to
        # calls that a silent platform has lost.
        fleet = SimulatedFleet(directory=tmp_path)
        fleet.platform.is_unresponsive = True
        for address in fleet.balancers:
            fleet.start_process(address)
        fleet.simulation.run_for(0.7)
        fleet.platform.is_unresponsive = False
        fleet.configure(version=1)
        for address in fleet.agents:
            fleet.start_upstream(address)
        fleet.simulation.run_for(0.5)
        assert all(
            fleet.process_by_address[address].view.catalog.is_ready for address in fleet.balancers
        )

    def test_another_seed_is_asked_when_the_first_is_lost(self, fleet, seeds_with_view):
        # Guards against a process that waits for a seed that has lost power during the answer.
        first_asked = seeds_with_view[0]
        fleet.simulation.set_rate(first_asked, 10_000.0)
        fleet.start_process(fleet.agents[0])
        agent = fleet.process_by_address[fleet.agents[0]]
        fleet.simulation.run_for(0.2)
        asked = [link.endpoint for link in agent.view._links if link.asked_for_view_at > 0.0]
        assert asked == [f"{first_asked}:{CONTROL_PORT}"]
        fleet.simulation.isolated.add(first_asked)
        # The third seed isn't running; the agent connects to the second one in this time.
        fleet.simulation.run_for(START_WAIT_S + FIRST_VIEW_TIMEOUT_S)
        assert agent.view.catalog.is_ready

    def test_a_balancer_reads_the_platform_when_the_view_of_its_peers_doesnt_arrive(
        self, fleet, seeds_with_view
    ):
        # Guards against a balancer that has no view for 2.3 s, because seeds on links that carry
        # hardly anything have confirmed theirs.
        fleet.platform.is_unresponsive = False
        for seed in seeds_with_view:
            fleet.simulation.set_rate(seed, 10_000.0)
        address = fleet.start_balancer("10.1.0.9")
        fleet.simulation.run_for(FIRST_VIEW_MAX_WAIT_S)
        assert not fleet.process_by_address[address].view.catalog.is_ready
        assert fleet.platform.calls.get(address, 0) == 0
        # The seeds' answers would take 1.4 s.
        fleet.simulation.run_for(0.25)
        assert fleet.process_by_address[address].view.catalog.is_ready

    def test_a_seed_that_starts_later_is_connected_at_once(self, fleet):
        # Guards against a start of all processes in which most wait 0.2 s for the seeds.
        fleet.start_process(fleet.agents[0])
        fleet.simulation.run_for(0.01)
        fleet.start_process(fleet.balancers[0])
        fleet.simulation.run_for(2 * REFUSED_RETRY_INTERVAL_S)
        assert any(
            link.is_connected for link in fleet.process_by_address[fleet.agents[0]].view._links
        )

    @pytest.mark.parametrize("is_seed_lost", [False, True])
    def test_all_start_at_once_with_seeds_on_slow_links(self, tmp_path, is_seed_lost):
        # Guards against balancers that have no view while they still keep the first packets, and
        # against calls to the platform beyond one reading of each balancer.
        fleet = LongConfigurationFleet(directory=tmp_path, balancers=8, agents=20)
        fleet.configure(version=1, endpoints=(SERVICE, *ROUTES))
        for number, address in enumerate(fleet.balancers):
            rate = 5_000_000 if number < 3 or number % 2 else 100_000_000
            fleet.simulation.set_rate(address, rate / 8)
        for address in fleet.agents:
            fleet.start_upstream(address)
        lost = fleet.balancers[:1] if is_seed_lost else []
        fleet.simulation.isolated.update(lost)
        started = [address for address in (*fleet.balancers, *fleet.agents) if address not in lost]
        for number, address in enumerate(started):
            delay_s = number * 7 % len(started) / len(started) * 0.3
            fleet.simulation.schedule(delay_s, partial(fleet.start_process, address))
        fleet.simulation.run_for(0.3 + START_WAIT_S)
        for address in started:
            if address in fleet.balancers:
                assert fleet.process_by_address[address].view.catalog.is_ready
                # Two listings, and the watch of a process that has completed them.
                assert fleet.platform.calls.get(address, 0) <= 3
            else:
                assert fleet.platform.calls.get(address, 0) == 0
