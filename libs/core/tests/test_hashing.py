from __future__ import annotations

from laburnumbridge.core import Choice
from laburnumbridge.core import rendezvous_rank
from laburnumbridge.core import rendezvous_winner


class TestRendezvousRank:
    def test_removing_a_member_keeps_the_order_of_the_others(self) -> None:
        # Guards against keys that change owners when an unrelated process leaves.
        members = [f"agent-{n}" for n in range(20)]
        for n in range(50):
            key = f"plan-{n}".encode()
            order = rendezvous_rank(key, members)
            rest = [member for member in members if member != order[3]]
            assert rendezvous_rank(key, rest) == [m for m in order if m != order[3]]
            assert rendezvous_winner(key, members) == order[0]

    def test_without_members_there_is_no_winner(self) -> None:
        assert rendezvous_winner(b"key", []) is None


class TestChoice:
    def test_same_seed_gives_same_sequence(self) -> None:
        first = Choice(seed=7)
        second = Choice(seed=7)
        assert [first.below(10) for _ in range(50)] == [second.below(10) for _ in range(50)]

    def test_sample_is_distinct_and_covers_all(self) -> None:
        choice = Choice(seed=1)
        assert sorted(choice.sample(range(5), 9)) == [0, 1, 2, 3, 4]
