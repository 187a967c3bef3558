from __future__ import annotations

from laburnumbridge.telemetry import Decision
from laburnumbridge.telemetry import DecisionRing
from laburnumbridge.telemetry import Event
from laburnumbridge.telemetry import SubjectKind


def make_decision(at: float, *, plan: str, request: str, important: bool = False) -> Decision:
    return Decision(
        at=at,
        event=Event.REQUEST_REFUSED,
        cause="plan_concurrency",
        subjects={SubjectKind.PLAN: plan, SubjectKind.REQUEST: request},
        important=important,
    )


class TestDecisionRing:
    def test_routine_decisions_never_evict_refusals(self) -> None:
        ring = DecisionRing(important=10, routine=10)
        ring.record(make_decision(1, plan="a", request="refused", important=True))
        for number in range(1000):
            ring.record(make_decision(2 + number, plan="a", request=f"r{number}"))
        assert len(ring.find(SubjectKind.REQUEST, "refused")) == 1
        assert len(ring.find(SubjectKind.PLAN, "a")) == 11

    def test_a_busy_plan_never_evicts_decisions_of_a_small_one(self) -> None:
        ring = DecisionRing(important=10, routine=10)
        ring.record(make_decision(1, plan="small", request="s", important=True))
        for number in range(100):
            ring.record(make_decision(2 + number, plan="busy", request="b", important=True))
        assert len(ring.find(SubjectKind.PLAN, "small")) == 1
        assert len(ring.find(SubjectKind.PLAN, "busy")) == 9

    def test_decisions_are_sorted_oldest_first(self) -> None:
        ring = DecisionRing()
        for at in (3.0, 1.0, 2.0):
            ring.record(make_decision(at, plan="a", request="r", important=at == 1.0))
        assert [d.at for d in ring.find(SubjectKind.REQUEST, "r")] == [1.0, 2.0, 3.0]
