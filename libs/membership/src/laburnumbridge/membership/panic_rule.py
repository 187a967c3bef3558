"""Confirmations required before a process is declared dead, also in panic mode."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from laburnumbridge.core import FailureDomain
    from laburnumbridge.membership.member import Member
    from laburnumbridge.membership.membership_view import MembershipView

PANIC_SHARE = 0.5
# One dead sibling of two is half of the processes that an agent watches and must not cause panic.
PANIC_MIN_MEMBERS = 2
OUTSIDE_DOMAINS_REQUIRED = 2


class PanicRule:
    """Decides whether enough observers confirm a death.

    Impaired processes are suspect or dead. Usually one other observer must confirm a death. If
    half or more of the watched processes are impaired, which includes one sibling of two,
    observers in two failure domains other than the observer's and the subject's must confirm it;
    in one, if there is only one such domain; and any other observer, if there is none.

    Panic begins when two or more processes are impaired and they are at least half of the watched
    processes or of the subject's failure domain. In panic only observers outside the observer's
    and the subject's domains count. With two failure domains nothing is evicted in panic, because
    an isolated observer can't distinguish its isolation from the loss of the other domain.
    """

    def __init__(self, *, view: MembershipView) -> None:
        self._view = view

    def is_in_panic(self, *, impaired: int, watched: int) -> bool:
        """Return whether at least two and at least half of the watched processes are impaired."""
        enough = impaired >= PANIC_MIN_MEMBERS
        return enough and self.is_half_impaired(impaired=impaired, watched=watched)

    def is_domain_in_panic(self, domain: FailureDomain) -> bool:
        """Return whether at least two and at least half of a domain's processes are impaired."""
        impaired, size = self._view.count_impaired(domain)
        return self.is_in_panic(impaired=impaired, watched=size)

    def is_half_impaired(self, *, impaired: int, watched: int) -> bool:
        """Return whether half or more of the watched processes are impaired."""
        return impaired >= PANIC_SHARE * watched

    def has_quorum(
        self,
        *,
        own: Member,
        subject: Member,
        confirmers: Iterable[Member],
        half_impaired: bool,
        panic: bool,
    ) -> bool:
        """Return whether the confirmers suffice for ``own`` to declare ``subject`` dead."""
        domains = {member.failure_domain for member in confirmers}
        concerned = {own.failure_domain, subject.failure_domain}
        available = set(self._view.failure_domains()) - concerned
        if not panic and not (half_impaired and available):
            return bool(domains)
        required = max(1, min(OUTSIDE_DOMAINS_REQUIRED, len(available)))
        return len(domains - concerned) >= required
