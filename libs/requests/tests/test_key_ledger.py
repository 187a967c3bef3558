from __future__ import annotations

from laburnumbridge import requests as rq
from laburnumbridge.core import Incarnation
from laburnumbridge.core import ProcessId
from laburnumbridge.core import Refusal
from laburnumbridge.core import RefusalReason
from laburnumbridge.core import RequestId
from laburnumbridge.requests.key_ledger import INQUIRY_TIMEOUT_S
from laburnumbridge.requests.key_ledger import PROOF_MARGIN_S
from laburnumbridge.requests.key_ledger import RECORD_TTL_S

A, B, C = (rq.AgentId(ProcessId(name), Incarnation(1)) for name in "abc")
ANSWER = rq.StoredAnswer(201, body=b"made")
NOT_RUN = Refusal(reason=RefusalReason.QUEUE_FULL)
SETTLED = 1000.0  # seconds after the last change, longer than any proof needs


def agent_set(*agents: rq.AgentId, listed: str = "", version: int = 1) -> rq.AgentSetChanged:
    names = listed or [agent.process_id for agent in agents]
    return rq.AgentSetChanged(
        version, frozenset(agents), frozenset(ProcessId(name) for name in names)
    )


def make_ledger(own: rq.AgentId = A, *agents: rq.AgentId, **bounds: int) -> rq.KeyLedger:
    ledger = rq.KeyLedger(own=own, now=0.0, **bounds)
    ledger.handle(agent_set(*(agents or (A, B))), 0.0)
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


def claim_with_inquiries(
    ledger: rq.KeyLedger, others: list[rq.KeyLedger], event: rq.KeyClaimed, now: float
) -> list:
    """Apply a claim, deliver its inquiries to ``others`` and return the resulting actions."""
    by_agent = {other.own: other for other in others}
    actions = []
    for action in ledger.handle(event, now):
        if not isinstance(action, rq.SendKeyInquiry):
            actions.append(action)
        elif action.sibling in by_agent:
            (reply,) = by_agent[action.sibling].handle(action.message, now)
            actions += ledger.handle(reply.message, now)
    return actions + ledger.handle(rq.Tick(), now + INQUIRY_TIMEOUT_S)


def unknown_outcome(request: str = "r1") -> list[rq.SettleClaim]:
    return [rq.SettleClaim(RequestId(request), rq.UnansweredOutcome.UNKNOWN)]


class TestFirstSends:
    def test_runs_at_once_while_the_agent_set_is_settled(self) -> None:
        assert runs(make_ledger().handle(claim(0.0), SETTLED))

    def test_runs_after_a_change_even_if_a_sibling_is_unresponsive(self) -> None:
        # Guards against needless refusals for 10 minutes after each change of the agent set.
        assert runs(claim_with_inquiries(make_ledger(), [make_ledger(B)], claim(0.0), 0.1))
        assert runs(claim_with_inquiries(make_ledger(), [], claim(0.0), 0.1))

    def test_a_first_send_at_two_owners_runs_once(self) -> None:
        # Guards against two runs when two agents receive it and disagree about the owner.
        one, other = make_ledger(A), make_ledger(B)
        assert runs(claim_with_inquiries(one, [other], claim(0.0), 1.0))
        second = claim(0.0, request="r2")
        held = [rq.RelayClaim(RequestId("r2"), A, rq.ArrivalRole.KEY_HOLDER)]
        assert claim_with_inquiries(other, [one], second, 1.1) == held

    def test_repeats_join_and_get_the_stored_answer(self) -> None:
        ledger = make_ledger(A, A)
        ledger.handle(claim(0.0), 1.0)
        assert ledger.handle(claim(1.0, request="r2"), 2.0) == []
        ended = ledger.handle(rq.KeyRunEnded("k", ANSWER), 3.0)
        assert ended == [rq.SettleClaim(RequestId("r2"), ANSWER)]
        replayed = ledger.handle(claim(5.0, request="r3"), 6.0)
        assert replayed == [rq.SettleClaim(RequestId("r3"), ANSWER)]

    def test_a_late_copy_does_not_run_after_a_repeat_was_refused(self) -> None:
        # Guards against a delayed first send that runs after the client received "not run".
        ledger = make_ledger(A, A)
        assert runs(ledger.handle(claim(5.0, request="r2"), SETTLED))
        ledger.handle(rq.KeyRunEnded("k", NOT_RUN), SETTLED + 1)
        assert ledger.handle(claim(0.0), SETTLED + 2) == unknown_outcome()
        assert runs(ledger.handle(claim(9.0, request="r3"), SETTLED + 4))

    def test_a_duplicate_end_of_a_run_is_only_counted(self) -> None:
        ledger = make_ledger(A, A)
        ledger.handle(claim(0.0), 1.0)
        ledger.handle(rq.KeyRunEnded("k", ANSWER), 2.0)
        assert ledger.handle(rq.KeyRunEnded("k", NOT_RUN), 3.0) == []
        assert ledger.ignored == 1


class TestRepeatsOfUnrecordedKeys:
    def test_runs_after_every_sibling_reports_absent(self) -> None:
        assert runs(claim_with_inquiries(make_ledger(A), [make_ledger(B)], claim(2.0), SETTLED))

    def test_an_unresponsive_sibling_leaves_the_outcome_unknown(self) -> None:
        assert claim_with_inquiries(make_ledger(A), [], claim(2.0), SETTLED) == unknown_outcome()

    def test_the_previous_owner_replays_its_answer(self) -> None:
        # Guards against a lost answer when a join moves the ownership.
        previous = make_ledger(B, B)
        previous.handle(claim(0.0), 1.0)
        previous.handle(agent_set(A, B, version=2), 1.5)
        previous.handle(rq.KeyRunEnded("k", ANSWER), 2.0)
        actions = claim_with_inquiries(make_ledger(A), [previous], claim(2.0), 3.0)
        assert actions == [rq.RelayClaim(RequestId("r1"), B, rq.ArrivalRole.KEY_HOLDER)]
        held = previous.handle(claim(2.0, role=rq.ArrivalRole.KEY_HOLDER), 3.0)
        assert held == [rq.SettleClaim(RequestId("r1"), ANSWER)]

    def test_unknown_when_an_agent_changed_since_the_first_send(self) -> None:
        # Guards against a second run after the owner that ran the key has left.
        ledger, other = make_ledger(A, A, B, C), make_ledger(B, A, B, C)
        for each in (ledger, other):
            each.handle(agent_set(A, B, version=2), SETTLED)
        soon = SETTLED + 10.0 + PROOF_MARGIN_S - 1
        assert claim_with_inquiries(ledger, [other], claim(10.0), soon) == unknown_outcome()
        later = SETTLED + 10.0 + PROOF_MARGIN_S + 2
        assert runs(claim_with_inquiries(ledger, [other], claim(10.0, request="r2"), later))

    def test_unknown_after_the_sibling_restarted(self) -> None:
        restarted = rq.KeyLedger(own=B, now=SETTLED)
        restarted.handle(agent_set(A, B), SETTLED)
        assert (
            claim_with_inquiries(make_ledger(A), [restarted], claim(2.0), SETTLED + 20)
            == unknown_outcome()
        )

    def test_unknown_while_a_listed_agent_is_unreachable(self) -> None:
        # Guards against runs on both sides of a partition.
        ledger = make_ledger(A, A)
        ledger.handle(agent_set(A, listed="ab", version=2), 1.0)
        assert claim_with_inquiries(ledger, [], claim(2.0), SETTLED) == unknown_outcome()

    def test_unknown_when_a_sibling_sees_another_agent_set(self) -> None:
        other = make_ledger(B, A, B, C)
        assert (
            claim_with_inquiries(make_ledger(A), [other], claim(2.0), SETTLED) == unknown_outcome()
        )

    def test_sends_without_an_age_need_coverage_of_the_whole_retention(self) -> None:
        assert (
            claim_with_inquiries(make_ledger(A), [make_ledger(B)], claim(None), RECORD_TTL_S - 2)
            == unknown_outcome()
        )
        assert runs(
            claim_with_inquiries(make_ledger(A), [make_ledger(B)], claim(None), RECORD_TTL_S + 2)
        )

    def test_of_two_inquiring_agents_at_most_one_runs(self) -> None:
        # Guards against runs at two agents that both consider themselves the owner.
        one, other = make_ledger(A), make_ledger(B)
        assert runs(claim_with_inquiries(one, [other], claim(2.0), SETTLED))
        actions = other.handle(claim(3.0, request="r2"), SETTLED + 1)
        assert actions == [rq.RelayClaim(RequestId("r2"), A, rq.ArrivalRole.KEY_HOLDER)]

    def test_two_simultaneous_inquiries_block_each_other(self) -> None:
        one, other = make_ledger(A), make_ledger(B)
        one.handle(claim(2.0), SETTLED)
        other.handle(claim(2.0), SETTLED)
        (to_one,) = other.handle(rq.KeyInquiry(1, "k", A), SETTLED)
        (to_other,) = one.handle(rq.KeyInquiry(1, "k", B), SETTLED)
        assert one.handle(to_one.message, SETTLED) == unknown_outcome()
        assert other.handle(to_other.message, SETTLED) == unknown_outcome()
        # The next repeat runs, because the inquiry of the other agent has ended.
        assert runs(claim_with_inquiries(one, [other], claim(4.0), SETTLED + 2))

    def test_a_reply_to_an_earlier_incarnation_proves_nothing(self) -> None:
        ledger = make_ledger(A)
        ledger.handle(claim(2.0), SETTLED)
        before = rq.AgentId(A.process_id, Incarnation(0))
        (reply,) = make_ledger(B).handle(rq.KeyInquiry(1, "k", before), SETTLED)
        assert ledger.handle(reply.message, SETTLED) == []
        assert ledger.ignored == 1

    def test_a_relay_only_to_the_inquiring_agent_does_not_count_as_a_run(self) -> None:
        # Guards against a lost forward after which every repeat is answered as unknown.
        relaying = make_ledger(B)
        names = (f"k{number}" for number in range(100))
        key = next(
            name
            for name in names
            if relaying.handle(claim(key=name, role=rq.ArrivalRole.CLIENT), SETTLED)
            == [rq.RelayClaim(RequestId("r1"), A, rq.ArrivalRole.KEY_OWNER)]
        )
        assert runs(
            claim_with_inquiries(make_ledger(A), [relaying], claim(2.0, key=key), SETTLED + 2)
        )

    def test_an_older_view_is_ignored(self) -> None:
        ledger = make_ledger(A, A, B, C)
        ledger.handle(agent_set(A, version=0), 5.0)
        assert ledger.agents == {A, B, C}


class TestMemoryBounds:
    def test_an_evicted_key_is_not_run_again(self) -> None:
        # Guards against a second run after the key was evicted because the ledger was full.
        ledger = make_ledger(A, A, max_keys=2)
        ledger.handle(claim(0.0), SETTLED)
        ledger.handle(rq.KeyRunEnded("k", ANSWER), SETTLED + 1)
        for number in range(2):
            ledger.handle(claim(0.0, request=f"x{number}", key=f"x{number}"), SETTLED + 2)
        assert not ledger.has_record("k")
        assert not runs(ledger.handle(claim(3.0), SETTLED + 3))

    def test_answers_beyond_the_memory_bound_are_unknown_and_not_run_again(self) -> None:
        ledger = make_ledger(A, A, max_stored_bytes=len(ANSWER.body))
        for key in ("k", "x"):
            ledger.handle(claim(0.0, request=key, key=key), SETTLED)
            ledger.handle(rq.KeyRunEnded(key, ANSWER), SETTLED + 1)
        assert ledger.handle(claim(2.0), SETTLED + 2) == unknown_outcome()
        replayed = ledger.handle(claim(2.0, key="x"), SETTLED + 2)
        assert replayed == [rq.SettleClaim(RequestId("r1"), ANSWER)]

    def test_records_are_removed_after_the_retention(self) -> None:
        ledger = make_ledger(A, A)
        ledger.handle(claim(0.0), 1.0)
        ledger.handle(rq.KeyRunEnded("k", ANSWER), 2.0)
        ledger.handle(rq.Tick(), RECORD_TTL_S + 1)
        assert ledger.has_record("k")
        ledger.handle(rq.Tick(), RECORD_TTL_S * 2)
        assert not ledger.has_record("k")
        assert ledger.handle(claim(700.0), RECORD_TTL_S * 2) == unknown_outcome()
