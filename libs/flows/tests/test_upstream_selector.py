from __future__ import annotations

from collections import Counter

from laburnumbridge.flows import Candidate
from laburnumbridge.flows import UpstreamSelector
from laburnumbridge.flows.peer_datagrams import LoadReport


def candidate(agent: str, slots: int = 4, slow_start: float = 1.0) -> Candidate:
    return Candidate(agent=agent, failure_domain="a", slots=slots, slow_start=slow_start)


def load(
    busy: int = 0, open_flows: int = 0, *, is_available: bool = True, is_failing: bool = False
) -> LoadReport:
    return LoadReport(
        busy=busy,
        open_flows=open_flows,
        slots=4,
        is_available=is_available,
        is_failing=is_failing,
    )


class TestShortFlows:
    def test_the_agent_with_the_most_free_slots_gets_the_flow(self):
        # Guards against requests that queue while slots are free elsewhere.
        choice = UpstreamSelector(seed=1)
        choice.on_load_report("a", load(busy=3), 0.0)
        choice.on_load_report("b", load(busy=1), 0.0)
        candidates = [candidate("a"), candidate("b")]
        assert choice.choose(candidates, is_long=False, now=0.0) == "b"

    def test_own_placements_count_before_a_report_shows_them(self):
        # Guards against a burst that goes to one agent between two reports.
        choice = UpstreamSelector(seed=1)
        candidates = [candidate(agent) for agent in "abcd"]
        taken = Counter(choice.choose(candidates, is_long=False, now=0.0) for _ in range(16))
        assert set(taken.values()) == {4}

    def test_a_placement_ends_with_a_later_report(self):
        # Guards against agents that seem busy for a second after each placement.
        choice = UpstreamSelector(seed=1)
        only = [candidate("a")]
        assert choice.choose(only, is_long=False, now=0.0) == "a"
        choice.on_load_report("a", load(busy=0), 0.06)
        choice.on_load_report("b", load(busy=1), 0.06)
        both = [candidate("a"), candidate("b")]
        assert choice.choose(both, is_long=False, now=0.07) == "a"

    def test_a_starting_upstream_counts_with_fewer_slots(self):
        # Guards against a cold upstream that gets a full share of the work.
        choice = UpstreamSelector(seed=1)
        choice.on_load_report("a", load(busy=1), 0.0)
        choice.on_load_report("b", load(busy=1), 0.0)
        candidates = [candidate("a", slow_start=0.6), candidate("b")]
        assert choice.choose(candidates, is_long=False, now=0.0) == "b"

    def test_an_agent_with_an_old_report_counts_as_usually_busy(self):
        # Guards against an agent that is avoided because of what it did seconds ago, and against
        # one that stands still and seems idle.
        choice = UpstreamSelector(seed=1)
        choice.on_load_report("a", load(busy=4, open_flows=0), 0.0)
        choice.on_load_report("b", load(busy=1, open_flows=9), 5.0)
        choice.on_load_report("c", load(busy=3, open_flows=9), 5.0)
        candidates = [candidate("a"), candidate("b"), candidate("c")]
        assert choice.choose(candidates, is_long=False, now=5.0) == "b"
        assert choice.choose(candidates, is_long=False, now=5.0, excluded=("b",)) == "a"


class TestLongFlows:
    def test_the_agent_with_the_fewest_flows_for_its_slots_gets_the_flow(self):
        # Guards against long flows that gather on one upstream since it was idle when they opened.
        choice = UpstreamSelector(seed=1)
        choice.on_load_report("a", load(busy=0, open_flows=40), 0.0)
        choice.on_load_report("b", load(busy=2, open_flows=10), 0.0)
        candidates = [candidate("a"), candidate("b")]
        assert choice.choose(candidates, is_long=True, now=0.0) == "b"


class TestAvoidance:
    def test_an_unavailable_agent_is_the_last_resort(self):
        # Guards against new flows for an agent whose upstream is down, and against refusals while
        # only such agents are left.
        choice = UpstreamSelector(seed=1)
        choice.on_load_report("a", load(is_available=False), 0.0)
        choice.on_load_report("b", load(busy=4), 0.0)
        candidates = [candidate("a"), candidate("b")]
        assert choice.choose(candidates, is_long=False, now=0.0) == "b"
        assert choice.choose(candidates[:1], is_long=False, now=0.0) == "a"

    def test_an_avoided_agent_returns(self):
        # Guards against an agent that lost one packet and is avoided for good.
        choice = UpstreamSelector(seed=1)
        choice.on_load_report("a", load(busy=1), 0.4)
        choice.on_load_report("b", load(busy=4), 0.4)
        choice.avoid("a", until=1.0)
        candidates = [candidate("a"), candidate("b")]
        assert choice.choose(candidates, is_long=False, now=0.5) == "b"
        assert choice.choose(candidates, is_long=False, now=1.1) == "a"

    def test_a_silent_agent_is_avoided_until_it_is_heard(self):
        # Guards against new flows for an agent that stands still.
        choice = UpstreamSelector(seed=1)
        choice.on_load_report("a", load(busy=1), 0.1)
        choice.on_load_report("b", load(busy=4), 0.9)
        choice.on_sent("a", 0.2)
        choice.on_sent("a", 0.9)
        candidates = [candidate("a"), candidate("b")]
        assert choice.choose(candidates, is_long=False, now=1.0) == "b"
        choice.on_received("a", 1.0)
        assert choice.choose(candidates, is_long=False, now=1.0) == "a"

    def test_agents_that_left_are_forgotten(self):
        # Guards against memory that grows with every agent that ever was.
        choice = UpstreamSelector(seed=1)
        choice.avoid("a", until=10.0)
        choice.retain(["b"])
        assert choice.choose([candidate("a")], is_long=False, now=0.0) == "a"

    def test_without_candidates_there_is_no_choice(self):
        # Guards against an error for a service that has no upstream.
        assert UpstreamSelector(seed=1).choose([], is_long=False, now=0.0) is None


class TestFailingUpstreams:
    def test_an_idle_upstream_that_fails_comes_after_busy_ones(self):
        # Guards against placement that prefers an upstream because it fails at once.
        choice = UpstreamSelector(seed=1)
        choice.on_load_report("a", load(busy=0, is_failing=True), 0.0)
        choice.on_load_report("b", load(busy=4), 0.0)
        candidates = [candidate("a"), candidate("b")]
        assert choice.choose(candidates, is_long=False, now=0.0) == "b"
        assert choice.choose(candidates, is_long=False, now=0.0, excluded=("b",)) == "a"

    def test_it_is_not_offered_as_idle(self):
        # Guards against held openings that move to an upstream that fails them.
        choice = UpstreamSelector(seed=1)
        choice.on_load_report("a", load(busy=0, is_failing=True), 0.0)
        assert choice.choose_idle([candidate("a")], now=0.0) is None

    def test_most_upstreams_are_never_avoided_at_once(self):
        # Guards against the few others that get the whole load because most seem to fail.
        choice = UpstreamSelector(seed=1)
        candidates = [candidate(agent) for agent in "abcd"]
        for agent in "abc":
            choice.on_load_report(agent, load(busy=0, is_failing=True), 0.0)
        choice.on_load_report("d", load(busy=3), 0.0)
        assert choice.choose(candidates, is_long=False, now=0.0) != "d"

    def test_an_old_report_of_a_refusal_no_longer_counts(self):
        # Guards against an upstream that is never used again: who gets no packets can't report.
        for report in (load(is_failing=True), load(is_available=False)):
            choice = UpstreamSelector(seed=1)
            choice.on_load_report("a", report, 0.0)
            candidates = [candidate("a"), candidate("b")]
            assert choice.choose(candidates, is_long=False, now=1.0) == "b"
            choice.on_load_report("b", load(busy=4, open_flows=9), 4.0)
            assert choice.choose(candidates, is_long=False, now=4.0) == "a"
