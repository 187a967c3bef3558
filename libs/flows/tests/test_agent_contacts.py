from __future__ import annotations

import pytest

from laburnumbridge.flows import AgentContacts
from laburnumbridge.flows.agent_contacts import ADDRESSES_AT_ONCE
from laburnumbridge.flows.agent_contacts import ANSWER_WAIT_S
from laburnumbridge.flows.agent_contacts import PROBES_AFTER_S

AGENT = "10.0.0.1"
OTHER = "10.0.0.2"
ANSWERED_BY_S = PROBES_AFTER_S[-1] + ANSWER_WAIT_S


def probe(contacts, agents, *, begin=0.0, end=ANSWERED_BY_S + 0.1):
    """Return the times of the probes of each agent while they are due every 50 ms."""
    times = {}
    for step in range(round((end - begin) / 0.05) + 1):
        now = begin + 0.05 * step
        for agent in contacts.due(agents, now):
            times.setdefault(agent, []).append(round(now, 2))
    return times


class TestProbes:
    def test_an_address_without_an_answer_is_probed_four_times(self):
        # Guards against probes without an end at an address where no agent runs.
        assert probe(AgentContacts(), [AGENT]) == {AGENT: [0.0, 0.2, 0.6, 1.4]}

    def test_an_agent_that_was_heard_isnt_probed(self):
        # Guards against a probe of each agent of a service that the operator has dropped.
        contacts = AgentContacts()
        contacts.on_heard(AGENT)
        assert probe(contacts, [AGENT, OTHER]).keys() == {OTHER}

    def test_many_addresses_are_probed_a_few_at_a_time(self):
        # Guards against a flood of probes when thousands of agents restart together, and against
        # addresses that are never probed.
        contacts = AgentContacts()
        agents = [f"10.0.0.{number}" for number in range(3 * ADDRESSES_AT_ONCE)]
        assert len(contacts.due(agents, 0.0)) == ADDRESSES_AT_ONCE
        times = probe(contacts, agents, begin=0.05, end=10.0)
        assert times.keys() == set(agents)
        assert contacts.unanswered(agents, 20.0) == set(agents)

    def test_answered_probes_make_room_for_others(self):
        # Guards against thousands of living agents that are taken for unknown for minutes.
        contacts = AgentContacts()
        agents = [f"10.0.0.{number}" for number in range(3 * ADDRESSES_AT_ONCE)]
        for step in range(3):
            for agent in contacts.due(agents, 0.05 * step):
                contacts.on_heard(agent)
        assert contacts.due(agents, 0.2) == []


class TestUnansweredAddresses:
    def test_an_address_counts_only_after_the_last_probe(self):
        # Guards against a reset of flows at an agent that is being restarted.
        contacts = AgentContacts()
        probe(contacts, [AGENT, OTHER])
        assert contacts.unanswered([AGENT, OTHER], ANSWERED_BY_S - 0.1) == set()
        assert contacts.unanswered([AGENT], ANSWERED_BY_S + 0.1) == {AGENT}

    @pytest.mark.parametrize("heard_at", [0.0, 1.0, 100.0])
    def test_one_that_was_ever_heard_doesnt_count(self, heard_at):
        # Guards against agents that are taken for nonexistent since they are silent for a time.
        contacts = AgentContacts()
        probe(contacts, [AGENT], end=heard_at)
        contacts.on_heard(AGENT)
        probe(contacts, [AGENT], begin=heard_at, end=200.0)
        assert contacts.unanswered([AGENT], 200.0) == set()

    def test_a_paused_process_gives_them_time_to_answer(self):
        # Guards against answers that wait in the socket of a process that was suspended.
        contacts = AgentContacts()
        contacts.due([AGENT], 0.0)
        last_at = max(probe(contacts, [AGENT], begin=60.0, end=62.0)[AGENT])
        assert contacts.unanswered([AGENT], last_at + ANSWER_WAIT_S - 0.1) == set()
        assert contacts.unanswered([AGENT], last_at + ANSWER_WAIT_S + 0.1) == {AGENT}

    def test_an_address_that_was_unlisted_is_probed_anew(self):
        # Guards against an address that is judged by what ran there before.
        contacts = AgentContacts()
        probe(contacts, [AGENT])
        contacts.retain([OTHER])
        assert contacts.unanswered([AGENT], 50.0) == set()
        assert probe(contacts, [AGENT], begin=50.0, end=50.0) == {AGENT: [50.0]}
