from __future__ import annotations

import pytest

from laburnumbridge.core import FailureDomain
from laburnumbridge.core import ProcessId
from laburnumbridge.membership import Member
from laburnumbridge.membership import MembershipView
from laburnumbridge.membership import Role
from laburnumbridge.membership.panic_rule import PanicRule


def in_domain(domain: int) -> Member:
    return Member(
        process_id=ProcessId(f"balancer-{domain}"),
        role=Role.BALANCER,
        failure_domain=FailureDomain(f"domain-{domain}"),
    )


def suffices(*, domains: int, confirmers: list[int], half: bool, panic: bool) -> bool:
    """Ask for a verdict of an observer in domain 0 on a subject in domain 1."""
    view = MembershipView()
    view.apply_list(version=1, members=[in_domain(n) for n in range(domains)], now=0.0)
    return PanicRule(view=view).suffices(
        own=in_domain(0),
        subject=in_domain(1),
        confirmers=[in_domain(n) for n in confirmers],
        half=half,
        panic=panic,
    )


class TestPanicRule:
    @pytest.mark.parametrize(
        ("domains", "confirmers", "half", "panic", "expected"),
        [
            # Ordinarily one other observer confirms, wherever it is, and none is not enough.
            (5, [], False, False, False),
            (5, [0], False, False, True),
            # With half impaired two uninvolved failure domains confirm.
            (5, [0, 1, 2], True, False, False),
            (5, [2, 3], True, True, True),
            # With three failure domains there is one uninvolved domain.
            (3, [0, 1], True, True, False),
            (3, [2], True, True, True),
            # With two, a lost domain can't be told from isolation; a single sibling can die.
            (2, [0, 1], True, True, False),
            (2, [1], True, False, True),
        ],
    )
    def test_evidence_that_suffices(
        self, domains: int, confirmers: list[int], half: bool, panic: bool, expected: bool
    ) -> None:
        # Guards against an isolated observer that evicts everybody else.
        found = suffices(domains=domains, confirmers=confirmers, half=half, panic=panic)
        assert found is expected

    def test_half_of_the_watched_is_panic_from_two_on(self) -> None:
        rule = PanicRule(view=MembershipView())
        assert rule.watched_in_panic(impaired=3, watched=6)
        assert not rule.watched_in_panic(impaired=2, watched=6)
        assert not rule.watched_in_panic(impaired=1, watched=2)
