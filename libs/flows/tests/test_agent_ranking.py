from __future__ import annotations

from laburnumbridge.flows import AgentRanking
from laburnumbridge.flows import FlowKey

AGENTS = [f"10.0.0.{number}" for number in range(20)]
FLOW = FlowKey(bytes(range(12)))


def search(ranking: AgentRanking, start: str) -> list[str]:
    visited = [start]
    while (following := ranking.next_after(FLOW, visited[-1])) is not None:
        visited.append(following)
    return visited


class TestSearchOrder:
    def test_it_visits_every_agent_once(self):
        # Guards against a search that misses the agent of a flow or never ends.
        ranking = AgentRanking(agents=AGENTS)
        first = ranking.first(FLOW)
        assert first is not None
        assert sorted(search(ranking, first)) == sorted(AGENTS)

    def test_it_starts_at_the_directory_nodes(self):
        # Guards against records at agents that a search reaches late.
        ranking = AgentRanking(agents=AGENTS)
        directory_nodes = ranking.directory_nodes(FLOW, 2)
        assert search(ranking, directory_nodes[0])[:2] == directory_nodes

    def test_an_unlisted_agent_has_the_same_next_agent(self):
        # Guards against searches that loop between agents with different views.
        complete = AgentRanking(agents=AGENTS)
        order = complete.directory_nodes(FLOW, len(AGENTS))
        without = AgentRanking(agents=[agent for agent in AGENTS if agent != order[4]])
        assert without.next_after(FLOW, order[4]) == order[5]

    def test_removing_an_agent_keeps_the_order_of_the_others(self):
        # Guards against directory nodes that all change when one agent leaves.
        order = AgentRanking(agents=AGENTS).directory_nodes(FLOW, len(AGENTS))
        fewer = AgentRanking(agents=order[1:]).directory_nodes(FLOW, len(AGENTS))
        assert fewer == order[1:]

    def test_an_empty_ranking_returns_none(self):
        # Guards against an error for a service that has no upstream.
        assert AgentRanking().first(FLOW) is None
        assert AgentRanking().next_after(FLOW, "10.0.0.1") is None
