from __future__ import annotations

from laburnumbridge.flows import AgentRanking
from laburnumbridge.flows import FlowKey

AGENTS = [f"10.0.0.{number}" for number in range(20)]
FLOW = FlowKey(bytes(range(12)))


def walk(ranking: AgentRanking, start: str) -> list[str]:
    visited = [start]
    while (following := ranking.next_after(FLOW, visited[-1])) is not None:
        visited.append(following)
    return visited


class TestWalk:
    def test_it_visits_every_agent_once(self):
        # Guards against a search that misses the agent of a flow or never ends.
        ranking = AgentRanking(agents=AGENTS)
        first = ranking.first(FLOW)
        assert first is not None
        assert sorted(walk(ranking, first)) == sorted(AGENTS)

    def test_it_starts_at_the_directory_nodes(self):
        # Guards against records that lie where no search looks first.
        ranking = AgentRanking(agents=AGENTS)
        directory_nodes = ranking.directory_nodes(FLOW, 2)
        assert walk(ranking, directory_nodes[0])[:2] == directory_nodes

    def test_an_agent_that_isnt_listed_passes_on_in_the_same_direction(self):
        # Guards against loops between agents whose views differ.
        whole = AgentRanking(agents=AGENTS)
        order = whole.directory_nodes(FLOW, len(AGENTS))
        without = AgentRanking(agents=[agent for agent in AGENTS if agent != order[4]])
        assert without.next_after(FLOW, order[4]) == order[5]

    def test_a_removed_agent_moves_no_other(self):
        # Guards against records that all move when one agent leaves.
        order = AgentRanking(agents=AGENTS).directory_nodes(FLOW, len(AGENTS))
        fewer = AgentRanking(agents=order[1:]).directory_nodes(FLOW, len(AGENTS))
        assert fewer == order[1:]

    def test_without_agents_there_is_no_first(self):
        # Guards against an error for a service that has no upstream.
        assert AgentRanking().first(FLOW) is None
        assert AgentRanking().next_after(FLOW, "10.0.0.1") is None
