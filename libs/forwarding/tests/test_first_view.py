from __future__ import annotations

import pytest
from msgspec.structs import replace

from laburnumbridge.catalog.update_codec import COMPRESSED_FLAG
from laburnumbridge.standins.flows.process_settings import SERVICE
from laburnumbridge.standins.flows.simulated_fleet import SimulatedFleet
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


class TestCompression:
    @pytest.fixture
    def receivers(self, monkeypatch):
        """Return the addresses that a compressed update was sent to."""
        receivers = set()
        send = SimulatedStream.send

        def record(stream, data):
            if data[0] & (COMPRESSED_FLAG >> 24):
                receivers.add(stream.remote_address)
            send(stream, data)

        monkeypatch.setattr(SimulatedStream, "send", record)
        return receivers

    @pytest.mark.parametrize("is_previous_first", [True, False])
    def test_only_processes_that_accept_it_get_compressed_updates(
        self, tmp_path, receivers, is_previous_first
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
        assert not receivers & fleet.previous_version
        if not is_previous_first:
            assert receivers >= set(fleet.agents)
