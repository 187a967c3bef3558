from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from laburnumbridge.flows import AgentRanking
from laburnumbridge.flows import FlowKey
from laburnumbridge.flows import SearchOrder
from laburnumbridge.flows.peer_datagrams import SearchStage

AGENTS = [f"10.0.0.{number}" for number in range(12)]
FLOWS = st.binary(min_size=12, max_size=12).map(FlowKey)
VIEWS = st.lists(st.sampled_from(AGENTS), unique=True)
STAGES_BEFORE_WALK = (SearchStage.DIRECT, SearchStage.RECORDED, SearchStage.DIRECTORY)
STARTS = st.sampled_from(STAGES_BEFORE_WALK)


def order(
    agents: list[str], service_agents: list[str], all_agents: list[str] | None = None
) -> SearchOrder:
    return SearchOrder(
        agents=AgentRanking(agents=agents),
        service_agents=AgentRanking(agents=service_agents),
        all_agents=None if all_agents is None else AgentRanking(agents=all_agents),
    )


def search(flow, view_of, agent: str, stage: SearchStage) -> list[tuple[str, SearchStage]]:
    """Return the agents that get the packet; ``view_of`` gives each agent's order of search."""
    visited = [(agent, stage)]
    while len(visited) < 100:
        step = view_of(visited[-1][0]).next_step(flow, agent=visited[-1][0], stage=visited[-1][1])
        if step is None:
            return visited
        visited.append((step.agent, step.stage))
    raise AssertionError("the search doesn't end")


class TestOrder:
    @settings(derandomize=True, deadline=None)
    @given(FLOWS, VIEWS, st.data(), STARTS)
    def test_each_agent_is_tried_once_those_of_the_service_first(self, flow, agents, data, start):
        # Guards against a flow that is open at an agent which no search reaches, and against
        # packets that pass the agents of other services before those of their own.
        if not agents:
            return
        service = data.draw(st.lists(st.sampled_from(agents), unique=True))
        one = order(agents, service)
        first = data.draw(st.sampled_from(agents))
        visited = search(flow, lambda _agent: one, first, start)
        tried = [agent for agent, stage in visited if stage is not SearchStage.DIRECTORY]
        assert set(tried) == set(agents)
        walked = [agent for agent, stage in visited if stage not in STAGES_BEFORE_WALK]
        assert len(walked) == len(set(walked))
        assert set(walked[: len(set(service) & set(walked))]) <= set(service)

    @settings(derandomize=True, deadline=None)
    @given(FLOWS, st.dictionaries(st.sampled_from(AGENTS), st.tuples(VIEWS, VIEWS)), STARTS)
    def test_a_search_between_agents_with_different_views_ends(self, flow, views, start):
        # Guards against packets that circle between agents whose views differ.
        nothing = order([], [])
        order_by_agent = {
            agent: order(list({*agents, *service}), service)
            for agent, (agents, service) in views.items()
        }
        for agent in views:
            search(flow, lambda one: order_by_agent.get(one, nothing), agent, start)

    def test_the_directory_nodes_are_asked_before_the_walk(self):
        # Guards against a walk over the agents of a service for a flow with a record.
        flow = FlowKey(bytes(12))
        one = order(AGENTS, AGENTS[:6])
        nodes = AgentRanking(agents=AGENTS).directory_nodes(flow, 2)
        step = one.first_step(flow)
        assert step is not None
        assert (step.agent, step.stage) == (nodes[0], SearchStage.DIRECTORY)
        visited = search(flow, lambda _agent: one, step.agent, step.stage)
        assert [agent for agent, stage in visited if stage is SearchStage.DIRECTORY] == nodes
        elsewhere = next(agent for agent in AGENTS if agent not in nodes)
        step = one.next_step(flow, agent=elsewhere, stage=SearchStage.DIRECT)
        assert step is not None
        assert step.agent == nodes[0]

    @settings(derandomize=True, deadline=None)
    @given(FLOWS, VIEWS, VIEWS, st.data(), STARTS)
    def test_agents_of_other_services_are_tried_last(self, flow, agents, further, data, start):
        # Guards against a walk that ends with the agents of configured services.
        everyone = list({*agents, *further})
        if not everyone:
            return
        service = data.draw(st.lists(st.sampled_from(agents), unique=True)) if agents else []
        one = order(agents, service, everyone)
        visited = search(flow, lambda _agent: one, data.draw(st.sampled_from(everyone)), start)
        tried = [agent for agent, stage in visited if stage is not SearchStage.DIRECTORY]
        assert set(tried) == set(everyone)

    @pytest.mark.parametrize("count", range(6))
    def test_a_search_begins_elsewhere_if_few_agents_are_configured(self, count):
        # Guards against packets that are lost while the only agents of the configuration restart.
        one = order(AGENTS[:count], AGENTS[:count], AGENTS)
        starts = [one.first_step(FlowKey(bytes(12)), attempt=number) for number in range(4)]
        agents = {step.agent for step in starts if step is not None}
        assert len(agents) == 4
        assert set(AGENTS[:count]) <= agents or agents <= set(AGENTS[:count])

    def test_without_agents_there_is_no_step(self):
        # Guards against an error in a process that has no view yet.
        assert order([], []).first_step(FlowKey(bytes(12))) is None
        step = order([], []).next_step(
            FlowKey(bytes(12)), agent=AGENTS[0], stage=SearchStage.DIRECT
        )
        assert step is None
