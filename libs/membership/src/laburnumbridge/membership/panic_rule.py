"""When an observer must hold its own view at fault."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from laburnumbridge.core import FailureDomain
    from laburnumbridge.membership.member import Member
    from laburnumbridge.membership.membership_view import MembershipView

PANIC_SHARE = 0.5
# One dead sibling of two is half of what an agent watches and is no reason for panic.
PANIC_MIN_MEMBERS = 2
OUTSIDE_DOMAINS_REQUIRED = 2


class PanicRule:
    """Decides whether the evidence suffices for a verdict.

    One other observer must confirm a death. With half or more of the watched processes
    impaired, which includes one sibling of two, observers of two failure domains must confirm
    it that are neither the observer's nor the subject's, or of one, where there is only one such
    domain. In panic, that is with two or more impaired and half of the watched processes or of
    the subject's failure domain, this holds without exception: with two failure domains nothing
    is evicted in panic, because a lost domain and an isolated observer look the same.
    """

    def __init__(self, *, view: MembershipView) -> None:
        self._view = view

    def watched_in_panic(self, *, impaired: int, watched: int) -> bool:
        """True where too many of the watched processes seem dead."""
        enough = impaired >= PANIC_MIN_MEMBERS
        return enough and self.half_impaired(impaired=impaired, watched=watched)

    def domain_in_panic(self, domain: FailureDomain) -> bool:
        """True where too much of a failure domain seems dead."""
        impaired, size = self._view.impaired_share(domain)
        return self.watched_in_panic(impaired=impaired, watched=size)

    def half_impaired(self, *, impaired: int, watched: int) -> bool:
        """True where the observer sees no more processes alive than dead."""
        return impaired >= PANIC_SHARE * watched

    def suffices(
        self,
        *,
        own: Member,
        subject: Member,
        confirmers: Iterable[Member],
        half: bool,
        panic: bool,
    ) -> bool:
        """True where the confirmers justify a verdict on ``subject``."""
        domains = {member.failure_domain for member in confirmers}
        concerned = {own.failure_domain, subject.failure_domain}
        available = set(self._view.failure_domains()) - concerned
        if not panic and not (half and available):
            return bool(domains)
        required = max(1, min(OUTSIDE_DOMAINS_REQUIRED, len(available)))
        return len(domains - concerned) >= required
