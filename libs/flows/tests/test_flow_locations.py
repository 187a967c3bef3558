from __future__ import annotations

import pytest

from laburnumbridge.flows import AgentRanking
from laburnumbridge.flows import FlowKey
from laburnumbridge.flows import FlowLocations

AGENTS = [f"10.0.0.{number}" for number in range(8)]
FLOW = FlowKey(bytes(12))
RANKING = AgentRanking(agents=AGENTS)


@pytest.fixture
def records() -> FlowLocations:
    holder = RANKING.directory_nodes(FLOW, len(AGENTS))[-1]
    return FlowLocations(agent=holder)


class TestDue:
    def test_a_flow_is_announced_to_its_directory_nodes(self, records):
        # Guards against searches that find no record.
        due = records.due_announcements({FLOW: 0.0}, RANKING, 0.5)
        assert due == {node: [FLOW] for node in RANKING.directory_nodes(FLOW, 2)}

    def test_a_short_flow_isnt_announced(self, records):
        # Guards against two datagrams for each request that has a flow of its own.
        assert records.due_announcements({FLOW: 0.0}, RANKING, 0.2) == {}

    def test_a_flow_is_announced_again_before_its_record_expires(self, records):
        # Guards against directory nodes that restarted and never learn of a flow.
        records.due_announcements({FLOW: 0.0}, RANKING, 0.5)
        assert records.due_announcements({FLOW: 0.0}, RANKING, 5.0) == {}
        assert records.due_announcements({FLOW: 0.0}, RANKING, 5.5)

    def test_all_flows_are_announced_again(self, records):
        # Guards against records at agents that are no longer the directory nodes.
        records.due_announcements({FLOW: 0.0}, RANKING, 0.5)
        records.announce_all()
        assert records.due_announcements({FLOW: 0.0}, RANKING, 0.6)


class TestKept:
    def test_a_record_that_isnt_refreshed_expires(self, records):
        # Guards against packets that are sent to an agent that held the flow long ago.
        records.put(FLOW, "10.0.0.1", 0.0)
        assert records.find(FLOW, 14.9) == "10.0.0.1"
        assert records.find(FLOW, 15.0) is None
