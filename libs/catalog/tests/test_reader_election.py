from __future__ import annotations

from laburnumbridge.catalog.reader_election import ReaderElection


class TestReaderElection:
    def test_a_seed_reads(self):
        # Guards against processes that all wait for a reader.
        election = ReaderElection(process="a", needs_view=False, now=0.0)
        assert election.should_read(is_seed=True, now=0.0)

    def test_others_do_not_read_while_a_seed_confirms(self):
        # Guards against calls to the platform by every process, since each call counts.
        election = ReaderElection(process="a", needs_view=False, now=0.0)
        for second in range(100):
            election.on_confirmed("0/seed", 0.5, float(second))
            assert not election.should_read(is_seed=False, now=float(second) + 0.3)

    def test_a_process_with_a_stale_view_reads(self):
        # Guards against a view that stays stale because all seeds are lost or refused.
        election = ReaderElection(process="a", needs_view=False, now=0.0)
        election.on_confirmed("0/seed", 0.0, 1.0)
        assert not election.should_read(is_seed=False, now=3.2)
        assert election.should_read(is_seed=False, now=3.8)

    def test_a_process_without_any_confirmation_reads_within_a_second(self):
        # Guards against processes that wait for lost seeds after all have restarted.
        for name in "abcdefgh":
            election = ReaderElection(process=name, needs_view=False, now=0.0)
            assert not election.should_read(is_seed=False, now=0.3)
            assert election.should_read(is_seed=False, now=1.01)

    def test_a_balancer_without_any_confirmation_reads_at_once(self):
        # Guards against balancers that drop packets for half a second after a power loss, since
        # the seeds start last: a simulated day lost 0.3 s in this way.
        for name in "abcdefgh":
            election = ReaderElection(process=name, needs_view=True, now=0.0)
            assert not election.should_read(is_seed=False, now=0.04)
            assert election.should_read(is_seed=False, now=0.16)

    def test_its_own_confirmation_doesnt_stop_it(self):
        # Guards against a reader that stops on its own confirmation, sent back by a peer.
        election = ReaderElection(process="a", needs_view=False, now=0.0)
        election.on_confirmed("1/a", 0.0, 10.0)
        assert election.should_read(is_seed=False, now=10.0)

    def test_the_reader_of_higher_rank_continues(self):
        # Guards against two readers that both stop because of each other.
        first = ReaderElection(process="a", needs_view=False, now=0.0)
        second = ReaderElection(process="b", needs_view=False, now=0.0)
        first.on_confirmed("1/b", 0.0, 10.0)
        second.on_confirmed("1/a", 0.0, 10.0)
        assert first.should_read(is_seed=False, now=10.0)
        assert not second.should_read(is_seed=False, now=10.0)
