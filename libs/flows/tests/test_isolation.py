from __future__ import annotations

from laburnumbridge.flows import UpstreamSelector
from laburnumbridge.flows.peer_datagrams import LoadReport

LIVING, DEAD = "10.2.0.1", "10.2.0.2"
REPORT = LoadReport(busy=0, open_flows=0, slots=4, is_available=True)


class TestIsolation:
    """A balancer is isolated if no agent answers what it sends."""

    def test_an_idle_balancer_isnt_isolated_by_one_agent_that_is_gone(self):
        # Guards against a balancer that leaves the rotation again and again: with nothing to send,
        # nothing is answered, and one packet to a lost agent stays unanswered.
        selector = UpstreamSelector(seed=1)
        selector.on_sent(DEAD, 0.0)
        selector.on_sent(LIVING, 0.1)
        selector.on_load_report(LIVING, REPORT, 0.2)
        assert not any(selector.is_isolated(0.2 + tenth / 10) for tenth in range(40))

    def test_packets_to_an_agent_that_is_gone_count_only_without_other_answers(self):
        # Guards against a balancer that is never isolated once it has sent to a lost agent.
        selector = UpstreamSelector(seed=1)
        selector.on_sent(DEAD, 0.0)
        selector.on_load_report(LIVING, REPORT, 0.2)
        selector.on_sent(DEAD, 5.0)
        assert not selector.is_isolated(5.6)
        assert selector.is_isolated(5.8)

    def test_a_balancer_that_is_cut_off_is_isolated(self):
        # Guards against a cut-off balancer that stays in rotation and loses what it gets.
        selector = UpstreamSelector(seed=1)
        selector.on_load_report(LIVING, REPORT, 0.0)
        selector.on_sent(LIVING, 1.0)
        assert not selector.is_isolated(1.6)
        assert selector.is_isolated(1.8)
        selector.on_load_report(LIVING, REPORT, 2.0)
        assert not selector.is_isolated(9.0)
