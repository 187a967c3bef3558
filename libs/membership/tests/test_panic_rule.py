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


def has_quorum(*, domains: int, confirmers: list[int], half_impaired: bool, panic: bool) -> bool:
    """Return whether an observer in domain 0 may declare a subject in domain 1 dead."""
    view = MembershipView()
    view.apply_list(version=1, members=[in_domain(n) for n in range(domains)], now=0.0)
    return PanicRule(view=view).has_quorum(
        own=in_domain(0),
        subject=in_domain(1),
        confirmers=[in_domain(n) for n in confirmers],
        half_impaired=half_impaired,
        panic=panic,
    )


class TestPanicRule:
    @pytest.mark.parametrize(
        ("domains", "confirmers", "half_impaired", "panic", "expected"),
        [
            # Usually one other observer in any domain must confirm.
            (5, [], False, False, False),
            (5, [0], False, False, True),
            # With half impaired, observers in two uninvolved failure domains must confirm.
            (5, [0, 1, 2], True, False, False),
            (5, [2, 3], True, True, True),
            # With three failure domains only one is uninvolved.
            (3, [0, 1], True, True, False),
            (3, [2], True, True, True),
            # With two, a lost domain can't be distinguished from isolation, so nothing is evicted
            # in panic; a single dead sibling is.
            (2, [0, 1], True, True, False),
            (2, [1], True, False, True),
        ],
    )
    def test_quorum_of_confirmations(
        self, domains: int, confirmers: list[int], half_impaired: bool, panic: bool, expected: bool
    ) -> None:
        # Guards against an isolated observer that evicts all other processes.
        actual = has_quorum(
            domains=domains, confirmers=confirmers, half_impaired=half_impaired, panic=panic
        )
        assert actual is expected

    def test_panic_requires_two_impaired_and_half_of_the_watched(self) -> None:
        rule = PanicRule(view=MembershipView())
        assert rule.is_in_panic(impaired=3, watched=6)
        assert not rule.is_in_panic(impaired=2, watched=6)
        assert not rule.is_in_panic(impaired=1, watched=2)
