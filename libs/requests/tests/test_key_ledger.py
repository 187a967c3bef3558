from __future__ import annotations

from laburnumbridge import requests as rq
from laburnumbridge.core import Incarnation
from laburnumbridge.core import ProcessId
from laburnumbridge.core import Refusal
from laburnumbridge.core import RefusalReason
from laburnumbridge.core import RequestId
from laburnumbridge.requests.key_ledger import INQUIRY_TIMEOUT_S
from laburnumbridge.requests.key_ledger import KEPT_S
from laburnumbridge.requests.key_ledger import PROOF_MARGIN_S

A, B, C = (rq.AgentId(ProcessId(name), Incarnation(1)) for name in "abc")
ANSWER = rq.StoredAnswer(201, body=b"made")
NOT_RUN = Refusal(reason=RefusalReason.QUEUE_FULL)
SETTLED = 1000.0  # seconds after the last change, longer than any proof needs


def view(*agents: rq.AgentId, listed: str = "", version: int = 1) -> rq.AgentSetChanged:
    names = listed or [agent.process_id for agent in agents]
    return rq.AgentSetChanged(
        version, frozenset(agents), frozenset(ProcessId(name) for name in names)
    )


def make_ledger(own: rq.AgentId = A, *agents: rq.AgentId, **bounds: int) -> rq.KeyLedger:
    ledger = rq.KeyLedger(own=own, now=0.0, **bounds)
    ledger.handle(view(*(agents or (A, B))), 0.0)
    return ledger


def claim(
    age_s: float | None = 0.0,
    *,
    request: str = "r1",
    key: str = "k",
    role: rq.ArrivalRole = rq.ArrivalRole.KEY_OWNER,
) -> rq.KeyClaimed:
    return rq.KeyClaimed(RequestId(request), key, 7, age_s, role)


def runs(actions: list[rq.KeyAction]) -> bool:  # type: ignore[name-defined]
    return any(isinstance(action, rq.RunClaim) for action in actions)


def ask(ledger: rq.KeyLedger, others: list[rq.KeyLedger], event: rq.KeyClaimed, now: float) -> list:
    """Claim, and carry the inquiries to ``others`` and their replies back."""
    by_agent = {other.own: other for other in others}
    actions = []
    for action in ledger.handle(event, now):
        if not isinstance(action, rq.SendKeyInquiry):
            actions.append(action)
        elif action.sibling in by_agent:
            (reply,) = by_agent[action.sibling].handle(action.message, now)
            actions += ledger.handle(reply.message, now)
    return actions + ledger.handle(rq.Tick(), now + INQUIRY_TIMEOUT_S)


def unknown(request: str = "r1") -> list[rq.SettleClaim]:
    return [rq.SettleClaim(RequestId(request), rq.UnansweredOutcome.UNKNOWN)]


class TestFirstSends:
    def test_runs_at_once_while_the_agent_set_is_settled(self) -> None:
        assert runs(make_ledger().handle(claim(0.0), SETTLED))

    def test_runs_after_a_change_even_if_a_sibling_is_silent(self) -> None:
        # Guards against needless refusals for 10 minutes after every change of the agent set.
        assert runs(ask(make_ledger(), [make_ledger(B)], claim(0.0), 0.1))
        assert runs(ask(make_ledger(), [], claim(0.0), 0.1))

    def test_a_first_send_at_two_owners_runs_once(self) -> None:
        # Guards against two runs when two agents receive it and disagree about the owner.
        one, other = make_ledger(A), make_ledger(B)
        assert runs(ask(one, [other], claim(0.0), 1.0))
        second = claim(0.0, request="r2")
        held = [rq.RelayClaim(RequestId("r2"), A, rq.ArrivalRole.KEY_HOLDER)]
        assert ask(other, [one], second, 1.1) == held

    def test_repeats_join_and_get_the_stored_answer(self) -> None:
        ledger = make_ledger(A, A)
        ledger.handle(claim(0.0), 1.0)
        assert ledger.handle(claim(1.0, request="r2"), 2.0) == []
        ended = ledger.handle(rq.KeyRunEnded("k", ANSWER), 3.0)
        assert ended == [rq.SettleClaim(RequestId("r2"), ANSWER)]
        replayed = ledger.handle(claim(5.0, request="r3"), 6.0)
        assert replayed == [rq.SettleClaim(RequestId("r3"), ANSWER)]

    def test_a_late_copy_does_not_run_after_a_repeat_was_told_not_run(self) -> None:
        # Guards against "not run" that a delayed first send would make untrue.
        ledger = make_ledger(A, A)
        assert runs(ledger.handle(claim(5.0, request="r2"), SETTLED))
        ledger.handle(rq.KeyRunEnded("k", NOT_RUN), SETTLED + 1)
        assert ledger.handle(claim(0.0), SETTLED + 2) == unknown()
        assert runs(ledger.handle(claim(9.0, request="r3"), SETTLED + 4))

    def test_a_doubled_end_of_a_run_is_counted_only(self) -> None:
        ledger = make_ledger(A, A)
        ledger.handle(claim(0.0), 1.0)
        ledger.handle(rq.KeyRunEnded("k", ANSWER), 2.0)
        assert ledger.handle(rq.KeyRunEnded("k", NOT_RUN), 3.0) == []
        assert ledger.ignored == 1


class TestRepeatsOfUnknownKeys:
    def test_runs_once_every_sibling_says_absent(self) -> None:
        assert runs(ask(make_ledger(A), [make_ledger(B)], claim(2.0), SETTLED))

    def test_a_silent_sibling_leaves_it_unknown(self) -> None:
        assert ask(make_ledger(A), [], claim(2.0), SETTLED) == unknown()

    def test_the_previous_owner_replays(self) -> None:
        # Guards against a lost answer when a join moves the ownership.
        previous = make_ledger(B, B)
        previous.handle(claim(0.0), 1.0)
        previous.handle(view(A, B, version=2), 1.5)
        previous.handle(rq.KeyRunEnded("k", ANSWER), 2.0)
        actions = ask(make_ledger(A), [previous], claim(2.0), 3.0)
        assert actions == [rq.RelayClaim(RequestId("r1"), B, rq.ArrivalRole.KEY_HOLDER)]
        held = previous.handle(claim(2.0, role=rq.ArrivalRole.KEY_HOLDER), 3.0)
        assert held == [rq.SettleClaim(RequestId("r1"), ANSWER)]

    def test_unknown_when_an_agent_changed_since_the_first_send(self) -> None:
        # Guards against a run by an owner that has gone.
        ledger, other = make_ledger(A, A, B, C), make_ledger(B, A, B, C)
        for each in (ledger, other):
            each.handle(view(A, B, version=2), SETTLED)
        soon = SETTLED + 10.0 + PROOF_MARGIN_S - 1
        assert ask(ledger, [other], claim(10.0), soon) == unknown()
        later = SETTLED + 10.0 + PROOF_MARGIN_S + 2
        assert runs(ask(ledger, [other], claim(10.0, request="r2"), later))

    def test_unknown_after_the_sibling_restarted(self) -> None:
        restarted = rq.KeyLedger(own=B, now=SETTLED)
        restarted.handle(view(A, B), SETTLED)
        assert ask(make_ledger(A), [restarted], claim(2.0), SETTLED + 20) == unknown()

    def test_unknown_while_a_listed_agent_is_unreachable(self) -> None:
        # Guards against a partition whose two sides both run the key.
        ledger = make_ledger(A, A)
        ledger.handle(view(A, listed="ab", version=2), 1.0)
        assert ask(ledger, [], claim(2.0), SETTLED) == unknown()

    def test_unknown_when_the_siblings_see_other_agents(self) -> None:
        other = make_ledger(B, A, B, C)
        assert ask(make_ledger(A), [other], claim(2.0), SETTLED) == unknown()

    def test_unmarked_sends_need_the_whole_retention(self) -> None:
        assert ask(make_ledger(A), [make_ledger(B)], claim(None), KEPT_S - 2) == unknown()
        assert runs(ask(make_ledger(A), [make_ledger(B)], claim(None), KEPT_S + 2))

    def test_of_two_askers_at_most_one_runs(self) -> None:
        # Guards against two agents that each take themselves for the owner.
        one, other = make_ledger(A), make_ledger(B)
        assert runs(ask(one, [other], claim(2.0), SETTLED))
        actions = other.handle(claim(3.0, request="r2"), SETTLED + 1)
        assert actions == [rq.RelayClaim(RequestId("r2"), A, rq.ArrivalRole.KEY_HOLDER)]

    def test_two_askers_at_the_same_time_block_each_other(self) -> None:
        one, other = make_ledger(A), make_ledger(B)
        one.handle(claim(2.0), SETTLED)
        other.handle(claim(2.0), SETTLED)
        (to_one,) = other.handle(rq.KeyInquiry(1, "k", A), SETTLED)
        (to_other,) = one.handle(rq.KeyInquiry(1, "k", B), SETTLED)
        assert one.handle(to_one.message, SETTLED) == unknown()
        assert other.handle(to_other.message, SETTLED) == unknown()
        # The next repeat settles it.
        assert runs(ask(one, [other], claim(4.0), SETTLED + 2))

    def test_a_reply_to_an_earlier_incarnation_proves_nothing(self) -> None:
        ledger = make_ledger(A)
        ledger.handle(claim(2.0), SETTLED)
        before = rq.AgentId(A.process_id, Incarnation(0))
        (reply,) = make_ledger(B).handle(rq.KeyInquiry(1, "k", before), SETTLED)
        assert ledger.handle(reply.message, SETTLED) == []
        assert ledger.ignored == 1

    def test_a_relay_that_only_went_to_the_asker_is_no_run(self) -> None:
        # Guards against a lost forward that makes every repeat unknown.
        relaying = make_ledger(B)
        names = (f"k{number}" for number in range(100))
        key = next(
            name
            for name in names
            if relaying.handle(claim(key=name, role=rq.ArrivalRole.CLIENT), SETTLED)
            == [rq.RelayClaim(RequestId("r1"), A, rq.ArrivalRole.KEY_OWNER)]
        )
        assert runs(ask(make_ledger(A), [relaying], claim(2.0, key=key), SETTLED + 2))

    def test_an_older_view_is_ignored(self) -> None:
        ledger = make_ledger(A, A, B, C)
        ledger.handle(view(A, version=0), 5.0)
        assert ledger.agents == {A, B, C}


class TestMemoryBounds:
    def test_a_forgotten_key_is_not_run_again(self) -> None:
        # Guards against a second run after the key was evicted under pressure.
        ledger = make_ledger(A, A, max_keys=2)
        ledger.handle(claim(0.0), SETTLED)
        ledger.handle(rq.KeyRunEnded("k", ANSWER), SETTLED + 1)
        for number in range(2):
            ledger.handle(claim(0.0, request=f"x{number}", key=f"x{number}"), SETTLED + 2)
        assert not ledger.knows("k")
        assert not runs(ledger.handle(claim(3.0), SETTLED + 3))

    def test_answers_beyond_the_bytes_are_unknown_not_run_again(self) -> None:
        ledger = make_ledger(A, A, max_stored_bytes=len(ANSWER.body))
        for key in ("k", "x"):
            ledger.handle(claim(0.0, request=key, key=key), SETTLED)
            ledger.handle(rq.KeyRunEnded(key, ANSWER), SETTLED + 1)
        assert ledger.handle(claim(2.0), SETTLED + 2) == unknown()
        replayed = ledger.handle(claim(2.0, key="x"), SETTLED + 2)
        assert replayed == [rq.SettleClaim(RequestId("r1"), ANSWER)]

    def test_keys_are_forgotten_after_the_retention(self) -> None:
        ledger = make_ledger(A, A)
        ledger.handle(claim(0.0), 1.0)
        ledger.handle(rq.KeyRunEnded("k", ANSWER), 2.0)
        ledger.handle(rq.Tick(), KEPT_S + 1)
        assert ledger.knows("k")
        ledger.handle(rq.Tick(), KEPT_S * 2)
        assert not ledger.knows("k")
        assert ledger.handle(claim(700.0), KEPT_S * 2) == unknown()
