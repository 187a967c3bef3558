from __future__ import annotations

from laburnumbridge.catalog.reader_election import ReaderElection


class TestReaderElection:
    def test_a_seed_reads(self):
        # Guards against a fleet in which everybody waits for somebody else.
        election = ReaderElection(process="a", needs_view=False, now=0.0)
        assert election.should_read(is_seed=True, now=0.0)

    def test_others_leave_it_to_the_seeds(self):
        # Guards against calls by every process: each one is counted.
        election = ReaderElection(process="a", needs_view=False, now=0.0)
        for second in range(100):
            election.on_confirmed("0/seed", 0.5, float(second))
            assert not election.should_read(is_seed=False, now=float(second) + 0.3)

    def test_a_process_without_news_reads(self):
        # Guards against a view that stays old because all seeds are lost or refused.
        election = ReaderElection(process="a", needs_view=False, now=0.0)
        election.on_confirmed("0/seed", 0.0, 1.0)
        assert not election.should_read(is_seed=False, now=3.2)
        assert election.should_read(is_seed=False, now=3.8)

    def test_a_process_that_never_heard_of_a_seed_reads_within_a_second(self):
        # Guards against a restart of everything that waits for seeds that are gone.
        for name in "abcdefgh":
            election = ReaderElection(process=name, needs_view=False, now=0.0)
            assert not election.should_read(is_seed=False, now=0.3)
            assert election.should_read(is_seed=False, now=1.01)

    def test_a_balancer_that_never_heard_of_a_seed_reads_at_once(self):
        # Guards against balancers that drop packets for half a second after a loss of power, since
        # the seeds start last: 0.3 s of a played day were lost so.
        for name in "abcdefgh":
            election = ReaderElection(process=name, needs_view=True, now=0.0)
            assert not election.should_read(is_seed=False, now=0.04)
            assert election.should_read(is_seed=False, now=0.16)

    def test_its_own_news_doesnt_stop_it(self):
        # Guards against a reader that takes its own confirmation, sent back by a peer, for news.
        election = ReaderElection(process="a", needs_view=False, now=0.0)
        election.on_confirmed("1/a", 0.0, 10.0)
        assert election.should_read(is_seed=False, now=10.0)

    def test_the_reader_of_higher_rank_goes_on(self):
        # Guards against two readers that stop because of each other.
        first = ReaderElection(process="a", needs_view=False, now=0.0)
        second = ReaderElection(process="b", needs_view=False, now=0.0)
        first.on_confirmed("1/b", 0.0, 10.0)
        second.on_confirmed("1/a", 0.0, 10.0)
        assert first.should_read(is_seed=False, now=10.0)
        assert not second.should_read(is_seed=False, now=10.0)
