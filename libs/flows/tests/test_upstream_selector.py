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
        selector = UpstreamSelector(seed=1)
        selector.on_load_report("a", load(busy=3), 0.0)
        selector.on_load_report("b", load(busy=1), 0.0)
        candidates = [candidate("a"), candidate("b")]
        assert selector.choose(candidates, is_long=False, now=0.0) == "b"

    def test_own_placements_count_before_a_report_shows_them(self):
        # Guards against a burst that goes to a single agent between two reports.
        selector = UpstreamSelector(seed=1)
        candidates = [candidate(agent) for agent in "abcd"]
        placements = Counter(selector.choose(candidates, is_long=False, now=0.0) for _ in range(16))
        assert set(placements.values()) == {4}

    def test_a_later_report_replaces_a_placement(self):
        # Guards against agents that seem busy for a second after each placement.
        selector = UpstreamSelector(seed=1)
        only = [candidate("a")]
        assert selector.choose(only, is_long=False, now=0.0) == "a"
        selector.on_load_report("a", load(busy=0), 0.06)
        selector.on_load_report("b", load(busy=1), 0.06)
        both = [candidate("a"), candidate("b")]
        assert selector.choose(both, is_long=False, now=0.07) == "a"

    def test_a_starting_upstream_counts_as_having_fewer_slots(self):
        # Guards against a starting upstream that gets a full share of the requests.
        selector = UpstreamSelector(seed=1)
        selector.on_load_report("a", load(busy=1), 0.0)
        selector.on_load_report("b", load(busy=1), 0.0)
        candidates = [candidate("a", slow_start=0.6), candidate("b")]
        assert selector.choose(candidates, is_long=False, now=0.0) == "b"

    def test_an_agent_with_a_stale_report_counts_as_busy_as_the_mean(self):
        # Guards against an agent that is avoided because of its load seconds ago, and against a
        # stopped one that seems idle.
        selector = UpstreamSelector(seed=1)
        selector.on_load_report("a", load(busy=4, open_flows=0), 0.0)
        selector.on_load_report("b", load(busy=1, open_flows=9), 5.0)
        selector.on_load_report("c", load(busy=3, open_flows=9), 5.0)
        candidates = [candidate("a"), candidate("b"), candidate("c")]
        assert selector.choose(candidates, is_long=False, now=5.0) == "b"
        assert selector.choose(candidates, is_long=False, now=5.0, excluded=("b",)) == "a"


class TestLongFlows:
    def test_the_agent_with_the_fewest_flows_per_slot_gets_the_flow(self):
        # Guards against long flows that accumulate on one upstream that was idle when they opened.
        selector = UpstreamSelector(seed=1)
        selector.on_load_report("a", load(busy=0, open_flows=40), 0.0)
        selector.on_load_report("b", load(busy=2, open_flows=10), 0.0)
        candidates = [candidate("a"), candidate("b")]
        assert selector.choose(candidates, is_long=True, now=0.0) == "b"


class TestAvoidance:
    def test_an_unavailable_agent_is_the_last_resort(self):
        # Guards against new flows for an agent whose upstream is unavailable, and against no choice
        # when only such agents are left.
        selector = UpstreamSelector(seed=1)
        selector.on_load_report("a", load(is_available=False), 0.0)
        selector.on_load_report("b", load(busy=4), 0.0)
        candidates = [candidate("a"), candidate("b")]
        assert selector.choose(candidates, is_long=False, now=0.0) == "b"
        assert selector.choose(candidates[:1], is_long=False, now=0.0) == "a"

    def test_avoidance_ends(self):
        # Guards against an agent that is avoided for good because of one lost packet.
        selector = UpstreamSelector(seed=1)
        selector.on_load_report("a", load(busy=1), 0.4)
        selector.on_load_report("b", load(busy=4), 0.4)
        selector.avoid("a", until=1.0)
        candidates = [candidate("a"), candidate("b")]
        assert selector.choose(candidates, is_long=False, now=0.5) == "b"
        assert selector.choose(candidates, is_long=False, now=1.1) == "a"

    def test_an_unresponsive_agent_is_avoided_until_it_sends_a_datagram(self):
        # Guards against new flows for a stopped agent.
        selector = UpstreamSelector(seed=1)
        selector.on_load_report("a", load(busy=1), 0.1)
        selector.on_load_report("b", load(busy=4), 0.9)
        selector.on_sent("a", 0.2)
        selector.on_sent("a", 0.9)
        candidates = [candidate("a"), candidate("b")]
        assert selector.choose(candidates, is_long=False, now=1.0) == "b"
        selector.on_received("a", 1.0)
        assert selector.choose(candidates, is_long=False, now=1.0) == "a"

    def test_the_state_of_unlisted_agents_is_removed(self):
        # Guards against memory that grows with every agent that ever existed.
        selector = UpstreamSelector(seed=1)
        selector.avoid("a", until=10.0)
        selector.retain(["b"])
        assert selector.choose([candidate("a")], is_long=False, now=0.0) == "a"

    def test_without_candidates_there_is_no_choice(self):
        # Guards against an error for a service that has no upstream.
        assert UpstreamSelector(seed=1).choose([], is_long=False, now=0.0) is None


class TestFailingUpstreams:
    def test_busy_upstreams_are_preferred_to_a_failing_one(self):
        # Guards against placement that prefers an upstream because it fails at once and seems idle.
        selector = UpstreamSelector(seed=1)
        selector.on_load_report("a", load(busy=0, is_failing=True), 0.0)
        selector.on_load_report("b", load(busy=4), 0.0)
        candidates = [candidate("a"), candidate("b")]
        assert selector.choose(candidates, is_long=False, now=0.0) == "b"
        assert selector.choose(candidates, is_long=False, now=0.0, excluded=("b",)) == "a"

    def test_a_failing_upstream_is_not_chosen_as_idle(self):
        # Guards against waiting openings that move to an upstream that fails them.
        selector = UpstreamSelector(seed=1)
        selector.on_load_report("a", load(busy=0, is_failing=True), 0.0)
        assert selector.choose_idle([candidate("a")], now=0.0) is None

    def test_failing_upstreams_are_not_avoided_if_they_are_the_majority(self):
        # Guards against overload of the few others when most upstreams seem to fail.
        selector = UpstreamSelector(seed=1)
        candidates = [candidate(agent) for agent in "abcd"]
        for agent in "abc":
            selector.on_load_report(agent, load(busy=0, is_failing=True), 0.0)
        selector.on_load_report("d", load(busy=3), 0.0)
        assert selector.choose(candidates, is_long=False, now=0.0) != "d"

    def test_a_stale_report_of_unavailability_or_failure_is_disregarded(self):
        # Guards against an upstream that is never used again: its agent reports only on packets.
        for report in (load(is_failing=True), load(is_available=False)):
            selector = UpstreamSelector(seed=1)
            selector.on_load_report("a", report, 0.0)
            candidates = [candidate("a"), candidate("b")]
            assert selector.choose(candidates, is_long=False, now=1.0) == "b"
            selector.on_load_report("b", load(busy=4, open_flows=9), 4.0)
            assert selector.choose(candidates, is_long=False, now=4.0) == "a"
