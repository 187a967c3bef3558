from __future__ import annotations

from itertools import permutations
from itertools import product

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from laburnumbridge.flows import Ask
from laburnumbridge.flows import FlowInquiry
from laburnumbridge.flows import InquiryResult
from laburnumbridge.flows.flow_inquiry import ANSWER_TIMEOUT_S
from laburnumbridge.flows.flow_inquiry import REPEAT_INTERVAL_S
from laburnumbridge.flows.flow_inquiry import REPEATS
from laburnumbridge.flows.peer_datagrams import FlowPresence

AGENTS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
FIRST, SECOND, THIRD = AGENTS
LIMIT_S = (REPEATS + 1) * (REPEAT_INTERVAL_S + 2 * ANSWER_TIMEOUT_S)


def run(inquiry, answer_by_agent, *, unaware=(), order=None):
    """Play an inquiry and return its result, its duration and the number of queries.

    ``answer_by_agent`` has a presence and the agent that a record names; agents that aren't in it
    stay silent. Answers arrive in the order ``order`` of the agents.
    """
    now, queries = 100.0, 0
    for _ in range(100):
        action = inquiry.step(now)
        if isinstance(action, InquiryResult):
            return action, now - 100.0, queries
        if isinstance(action, Ask):
            queries += len(action.agents)
            for agent in sorted(action.agents, key=(order or AGENTS).index):
                if agent in unaware:
                    inquiry.on_unaware(agent)
                elif agent in answer_by_agent:
                    inquiry.on_answer(agent, *answer_by_agent[agent])
            continue
        assert inquiry.next_at > now
        now = inquiry.next_at
    raise AssertionError("the inquiry doesn't end")


def inquiry(**options):
    return FlowInquiry(agents=AGENTS, listed=AGENTS, **options)


ABSENT = (FlowPresence.ABSENT, FIRST)
ANSWERS = [
    None,
    *((presence, FIRST) for presence in FlowPresence if presence is not FlowPresence.RECORDED),
    *((FlowPresence.RECORDED, agent) for agent in AGENTS),
]


class TestAnswers:
    @pytest.mark.parametrize("order", list(permutations(AGENTS)))
    def test_every_combination_of_answers_ends_at_the_right_agent(self, order):
        # Guards against packets for upstreams that don't hold the flow, against resets of flows
        # that may be open, and against searches that don't end: all answers in all orders.
        for answers in product(ANSWERS, repeat=len(AGENTS)):
            answer_by_agent = {
                agent: answer for agent, answer in zip(AGENTS, answers, strict=True) if answer
            }
            result, seconds, _ = run(inquiry(), answer_by_agent, order=order)
            assert seconds <= LIMIT_S
            presence_by_agent = {agent: answer[0] for agent, answer in answer_by_agent.items()}
            if result.holder is not None:
                # Not an agent that denies the flow.
                assert presence_by_agent.get(result.holder) is not FlowPresence.ABSENT
            elif not result.uncertain and not result.silent:
                # The flow may be reset: each agent has denied it.
                assert set(presence_by_agent.values()) == {FlowPresence.ABSENT}
            has_open = FlowPresence.OPEN in presence_by_agent.values()
            is_recorded = FlowPresence.RECORDED in presence_by_agent.values()
            if has_open and not is_recorded:
                assert presence_by_agent[result.holder] is FlowPresence.OPEN

    def test_a_wrong_record_isnt_followed(self):
        # Guards against a packet at the upstream that had the client's port before.
        answers = {FIRST: (FlowPresence.RECORDED, SECOND), SECOND: ABSENT}
        result, _, _ = run(inquiry(), {**answers, THIRD: (FlowPresence.OPEN, THIRD)})
        assert result.holder == THIRD

    def test_a_silent_agent_doesnt_end_the_search(self):
        # Guards against a search that stops at an agent which is being restarted.
        result, seconds, _ = run(inquiry(), {FIRST: ABSENT, THIRD: (FlowPresence.OPEN, THIRD)})
        assert result == InquiryResult(holder=THIRD, is_open=True)
        assert seconds == 0

    def test_a_silent_agent_is_asked_again_before_others_get_the_packet(self):
        # Guards against packets at wrong upstreams while the flow's own agent restarts.
        answers = {FIRST: (FlowPresence.UNCERTAIN, FIRST), THIRD: ABSENT}
        result, seconds, _ = run(inquiry(), answers)
        assert result.silent == (SECOND,)
        assert result.uncertain == (FIRST,)
        assert seconds >= REPEATS * REPEAT_INTERVAL_S

    def test_agents_of_the_previous_version_arent_waited_for(self):
        # Guards against a slow search in each step of an upgrade.
        result, seconds, _ = run(inquiry(), {FIRST: ABSENT}, unaware=(SECOND, THIRD))
        assert result.unaware == (SECOND, THIRD)
        assert seconds == 0


class TestOptionalAgents:
    def test_their_silence_doesnt_keep_the_search_from_ending(self):
        # Guards against clients of lost flows that wait since another writer has published an
        # address without an agent.
        answers = {FIRST: ABSENT, SECOND: ABSENT}
        result, seconds, queries = run(inquiry(optional={THIRD}), answers)
        assert (result.holder, result.silent, result.uncertain) == (None, (), ())
        assert seconds <= 2 * ANSWER_TIMEOUT_S
        assert queries == len(AGENTS)

    def test_their_answer_counts(self):
        # Guards against the flows of an agent that was taken for nonexistent.
        answers = {FIRST: ABSENT, SECOND: ABSENT, THIRD: (FlowPresence.OPEN, THIRD)}
        assert run(inquiry(optional={THIRD}), answers)[0].holder == THIRD


class TestSize:
    @pytest.mark.parametrize("size", [10, 100, 1_000, 8_500])
    @given(seed=st.integers(0, 1_000))
    @settings(derandomize=True, max_examples=5, deadline=None)
    def test_an_inquiry_ends_within_its_bounds_whoever_answers(self, size, seed):
        # Guards against a search that asks an agent again and again, or never ends.
        agents = [f"10.{number >> 8}.{number & 255}.1" for number in range(size)]
        answer_by_agent = {
            agent: (FlowPresence((number * 7 + seed) % len(FlowPresence)), agents[seed % size])
            for number, agent in enumerate(agents)
            if (number + seed) % 3 and (number + seed) % len(FlowPresence) != FlowPresence.OPEN
        }
        search = FlowInquiry(agents=agents, listed=set(agents), uses_records=False)
        index_by_agent = {agent: index for index, agent in enumerate(agents)}

        class Order:
            index = index_by_agent.__getitem__

        _, seconds, queries = run(search, answer_by_agent, order=Order)
        waves = size // 256 + 3
        assert queries <= (REPEATS + 1) * size
        assert seconds <= (REPEATS + 1) * (REPEAT_INTERVAL_S + waves * ANSWER_TIMEOUT_S)
