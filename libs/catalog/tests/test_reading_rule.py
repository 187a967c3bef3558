from __future__ import annotations

from laburnumbridge.catalog.reading_rule import ReadingRule


class TestReadingRule:
    def test_a_seed_reads(self):
        # Guards against a fleet in which everybody waits for somebody else.
        rule = ReadingRule(process="a", needs_view=False, now=0.0)
        assert rule.should_read(is_seed=True, now=0.0)

    def test_others_leave_it_to_the_seeds(self):
        # Guards against calls by every process: each one is counted.
        rule = ReadingRule(process="a", needs_view=False, now=0.0)
        for second in range(100):
            rule.on_confirmed("0/seed", 0.5, float(second))
            assert not rule.should_read(is_seed=False, now=float(second) + 0.3)

    def test_a_process_without_news_reads(self):
        # Guards against a view that stays old because all seeds are lost or refused.
        rule = ReadingRule(process="a", needs_view=False, now=0.0)
        rule.on_confirmed("0/seed", 0.0, 1.0)
        assert not rule.should_read(is_seed=False, now=3.2)
        assert rule.should_read(is_seed=False, now=3.8)

    def test_a_process_that_never_heard_of_a_seed_reads_within_a_second(self):
        # Guards against a restart of everything that waits for seeds that are gone.
        for name in "abcdefgh":
            rule = ReadingRule(process=name, needs_view=False, now=0.0)
            assert not rule.should_read(is_seed=False, now=0.3)
            assert rule.should_read(is_seed=False, now=1.01)

    def test_a_balancer_that_never_heard_of_a_seed_reads_at_once(self):
        # Guards against balancers that drop packets for half a second after a loss of power, since
        # the seeds start last: 0.3 s of a played day were lost so.
        for name in "abcdefgh":
            rule = ReadingRule(process=name, needs_view=True, now=0.0)
            assert not rule.should_read(is_seed=False, now=0.04)
            assert rule.should_read(is_seed=False, now=0.16)

    def test_its_own_news_doesnt_stop_it(self):
        # Guards against a reader that takes its own confirmation, sent back by a peer, for news.
        rule = ReadingRule(process="a", needs_view=False, now=0.0)
        rule.on_confirmed("1/a", 0.0, 10.0)
        assert rule.should_read(is_seed=False, now=10.0)

    def test_the_reader_of_higher_rank_goes_on(self):
        # Guards against two readers that stop because of each other.
        first = ReadingRule(process="a", needs_view=False, now=0.0)
        second = ReadingRule(process="b", needs_view=False, now=0.0)
        first.on_confirmed("1/b", 0.0, 10.0)
        second.on_confirmed("1/a", 0.0, 10.0)
        assert first.should_read(is_seed=False, now=10.0)
        assert not second.should_read(is_seed=False, now=10.0)
