from __future__ import annotations

import pytest

from laburnumbridge.flows import AgentRanking
from laburnumbridge.flows import FlowKey
from laburnumbridge.flows import FlowLocations

AGENTS = [f"10.0.0.{number}" for number in range(8)]
FLOW = FlowKey(bytes(12))
RANKING = AgentRanking(agents=AGENTS)


@pytest.fixture
def locations() -> FlowLocations:
    agent = RANKING.directory_nodes(FLOW, len(AGENTS))[-1]
    return FlowLocations(agent=agent)


class TestDueAnnouncements:
    def test_a_flow_is_announced_to_its_directory_nodes(self, locations):
        # Guards against searches that find no record at the directory nodes.
        due = locations.due_announcements({FLOW: 0.0}, RANKING, 0.5)
        assert due == {node: [FLOW] for node in RANKING.directory_nodes(FLOW, 2)}

    def test_a_short_flow_isnt_announced(self, locations):
        # Guards against two more datagrams per request when each request opens a flow.
        assert locations.due_announcements({FLOW: 0.0}, RANKING, 0.2) == {}

    def test_a_flow_is_announced_again_before_its_record_expires(self, locations):
        # Guards against directory nodes that restart and then lack the record of a flow.
        locations.due_announcements({FLOW: 0.0}, RANKING, 0.5)
        assert locations.due_announcements({FLOW: 0.0}, RANKING, 5.0) == {}
        assert locations.due_announcements({FLOW: 0.0}, RANKING, 5.5)

    def test_announce_all_makes_all_flows_due(self, locations):
        # Guards against records that stay at former directory nodes only.
        locations.due_announcements({FLOW: 0.0}, RANKING, 0.5)
        locations.announce_all()
        assert locations.due_announcements({FLOW: 0.0}, RANKING, 0.6)


class TestRecords:
    def test_a_record_without_refresh_expires(self, locations):
        # Guards against packets that are sent to an agent where the flow is no longer open.
        locations.put(FLOW, "10.0.0.1", 0.0)
        assert locations.find(FLOW, 14.9) == "10.0.0.1"
        assert locations.find(FLOW, 15.0) is None
