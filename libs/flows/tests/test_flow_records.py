from __future__ import annotations

import pytest

from laburnumbridge.flows import AgentRanking
from laburnumbridge.flows import FlowKey
from laburnumbridge.flows import FlowRecords

AGENTS = [f"10.0.0.{number}" for number in range(8)]
FLOW = FlowKey(bytes(12))
RANKING = AgentRanking(agents=AGENTS)


@pytest.fixture
def records() -> FlowRecords:
    holder = RANKING.keepers(FLOW, len(AGENTS))[-1]
    return FlowRecords(agent=holder)


class TestDue:
    def test_the_keepers_of_a_flow_are_told(self, records):
        # Guards against searches that find no record.
        due = records.due({FLOW: 0.0}, RANKING, 0.5)
        assert due == {keeper: [FLOW] for keeper in RANKING.keepers(FLOW, 2)}

    def test_a_short_flow_isnt_told(self, records):
        # Guards against two datagrams for each request that has a flow of its own.
        assert records.due({FLOW: 0.0}, RANKING, 0.2) == {}

    def test_a_flow_is_told_again_before_its_record_expires(self, records):
        # Guards against keepers that started anew and never learn of a flow.
        records.due({FLOW: 0.0}, RANKING, 0.5)
        assert records.due({FLOW: 0.0}, RANKING, 5.0) == {}
        assert records.due({FLOW: 0.0}, RANKING, 5.5)

    def test_all_flows_are_told_anew(self, records):
        # Guards against records at agents that are no longer the keepers.
        records.due({FLOW: 0.0}, RANKING, 0.5)
        records.tell_anew()
        assert records.due({FLOW: 0.0}, RANKING, 0.6)


class TestKept:
    def test_a_record_that_isnt_refreshed_expires(self, records):
        # Guards against packets that are sent to an agent that held the flow long ago.
        records.keep(FLOW, "10.0.0.1", 0.0)
        assert records.find(FLOW, 14.9) == "10.0.0.1"
        assert records.find(FLOW, 15.0) is None
