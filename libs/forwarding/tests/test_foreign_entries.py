from __future__ import annotations

import pytest
from msgspec.structs import replace

from laburnumbridge.core import Event
from laburnumbridge.standins.flows.process_settings import SECOND_SERVICE_NAME
from laburnumbridge.standins.flows.process_settings import SERVICE
from laburnumbridge.standins.flows.process_settings import UPSTREAM_PORT
from laburnumbridge.standins.flows.simulated_fleet import SimulatedFleet

FLOWS = 24
OTHER_PORT = 9100
UNCONFIGURED = "exporter"
UNUSED_ADDRESS = "10.9.0.1"


@pytest.fixture
def fleet(tmp_path):
    fleet = SimulatedFleet(directory=tmp_path, agents=3, second_service_agents=2)
    fleet.start()
    return fleet


def put_foreign(fleet, address: str, **changes: object) -> None:
    """Publish an entry of another writer for the VM at ``address``."""
    entry = replace(fleet.entry(address), name="other-writer", **changes)
    fleet.platform.put(entry)
    fleet.simulation.run_for(0.5)


def open_flows(fleet):
    flows = [fleet.client.open_flow(SERVICE) for _ in range(FLOWS)]
    for flow in flows:
        flow.request(b"first " + flow.key)
    fleet.simulation.run_for(2.0)
    return flows


def restart_balancers(fleet) -> None:
    for balancer in fleet.balancers:
        fleet.kill(balancer)
        fleet.start_process(balancer)
    fleet.simulation.run_for(1.0)


class TestEntryAtTheAddressOfAnUpstream:
    """An entry of another writer names the VM of an upstream that lives."""

    @pytest.fixture(
        params=[
            {"service": UNCONFIGURED, "port": OTHER_PORT},
            {"service": UNCONFIGURED},
            {"service": UNCONFIGURED, "is_draining": True},
            {"service": SECOND_SERVICE_NAME, "port": OTHER_PORT},
            {"service": SECOND_SERVICE_NAME},
            {"port": OTHER_PORT, "is_draining": True},
        ],
        ids=str,
    )
    def foreign(self, request):
        return request.param

    def test_its_open_flows_survive_a_restart_of_the_balancers(self, fleet, foreign):
        # Guards against an entry that hides the upstream at its address: a search passed it by, and
        # its flows were reset.
        flows = open_flows(fleet)
        put_foreign(fleet, fleet.agents[0], **foreign)
        restart_balancers(fleet)
        for flow in flows:
            flow.request(b"second " + flow.key)
        fleet.simulation.run_for(2.0)
        assert [flow.key for flow in flows if flow.was_reset or len(flow.answers) != 2] == []

    def test_it_still_gets_new_flows(self, fleet, foreign):
        # Guards against an upstream that serves nobody because of another writer's entry.
        put_foreign(fleet, fleet.agents[0], **foreign)
        flows = open_flows(fleet)
        assert all(len(flow.answers) == 1 for flow in flows)
        holders = {fleet.holder(flow.key) for flow in flows}
        assert holders == {*fleet.agents[:3]}

    def test_the_upstream_isnt_hidden_after_the_entry_has_gone(self, fleet, foreign):
        # Guards against an address that stays unused once two entries named it.
        put_foreign(fleet, fleet.agents[0], **foreign)
        fleet.platform.remove("other-writer")
        fleet.simulation.run_for(0.5)
        holders = {fleet.holder(flow.key) for flow in open_flows(fleet)}
        assert holders == {*fleet.agents[:3]}


class TestDrainingUpstream:
    @pytest.mark.parametrize(
        "foreign",
        [
            {"port": OTHER_PORT},
            {"service": UNCONFIGURED},
            {"service": SECOND_SERVICE_NAME},
            {"started_ms": 0},
        ],
        ids=str,
    )
    def test_an_entry_of_another_writer_doesnt_end_its_draining(self, fleet, foreign):
        # Guards against new flows at an upstream that drains, because an entry at its address says
        # that some upstream there is ready.
        fleet.platform.put(fleet.entry(fleet.agents[0], is_draining=True))
        fleet.simulation.run_for(0.5)
        put_foreign(fleet, fleet.agents[0], **foreign)
        flows = open_flows(fleet)
        assert all(len(flow.answers) == 1 for flow in flows)
        assert fleet.agents[0] not in {fleet.holder(flow.key) for flow in flows}


class TestUnconfiguredService:
    def test_its_entries_get_no_packets(self, fleet):
        # Guards against searches that end at an address where no agent runs: packets would be lost
        # there, and the client of a flow that nobody holds would wait for its deadline.
        put_foreign(fleet, UNUSED_ADDRESS, service=UNCONFIGURED)
        flows = open_flows(fleet)
        restart_balancers(fleet)
        lost = fleet.holder(flows[0].key)
        fleet.remove_vm(lost)
        fleet.simulation.run_for(1.0)
        for flow in flows:
            flow.request(b"second " + flow.key)
        fleet.simulation.run_for(2.0)
        for flow in flows:
            is_lost = fleet.holder(flow.key) == lost
            assert flow.was_reset is is_lost
            assert len(flow.answers) == (1 if is_lost else 2)

    def test_it_is_logged_with_its_reason(self, fleet):
        # Guards against an entry that is ignored without a trace.
        put_foreign(fleet, UNUSED_ADDRESS, service=UNCONFIGURED)
        lines = fleet.lines(Event.ITEM_IGNORED)
        assert len(lines) == len(fleet.process_by_address)
        assert {line["key"] for line in lines} == {"other-writer"}
        assert UNCONFIGURED in str(lines[0]["reason"])

    def test_its_entries_are_used_once_the_service_is_configured(self, fleet):
        # Guards against upstreams that register before the operator adds their service.
        added = "10.2.0.9"
        fleet.agents.append(added)
        fleet.start_upstream(added)
        fleet.platform.put(replace(fleet.entry(added), service=UNCONFIGURED))
        fleet.start_process(added)
        fleet.simulation.run_for(0.5)
        fleet.configure(version=2, weight_by_service={UNCONFIGURED: 1})
        fleet.simulation.run_for(0.5)
        agents = {
            candidate.agent
            for process in fleet.process_by_address.values()
            for candidate in process.directory.candidates(UNCONFIGURED, fleet.simulation.now)
        }
        assert agents == {added}

    def test_open_flows_of_a_service_that_is_dropped_stay(self, fleet):
        # Guards against flows that are reset when the operator drops the service that they were
        # opened to and keeps their route.
        flows = open_flows(fleet)
        fleet.configure(
            version=2,
            weight_by_service={SECOND_SERVICE_NAME: 1},
            services=(SECOND_SERVICE_NAME,),
        )
        fleet.simulation.run_for(0.5)
        restart_balancers(fleet)
        for flow in flows:
            flow.request(b"second " + flow.key)
        fleet.simulation.run_for(2.0)
        assert [flow.key for flow in flows if flow.was_reset or len(flow.answers) != 2] == []


class TestOneAddressAndPort:
    def test_the_later_start_speaks_for_it(self, fleet):
        # Guards against the entry of an upstream that has ended, which is still listed after
        # another one has started at its address.
        ended = replace(fleet.entry(fleet.agents[0]), name="ended", is_draining=True, started_ms=1)
        started = replace(fleet.entry(fleet.agents[0]), started_ms=2)
        for entries in ((ended, started), (started, ended)):
            for entry in entries:
                fleet.platform.put(entry)
            fleet.simulation.run_for(0.5)
            for process in fleet.process_by_address.values():
                entry = process.directory.entry(started.address, UPSTREAM_PORT, started.service)
                assert entry is not None
                assert entry.name == started.name
