"""The register of evacuated failure domains."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from msgspec.structs import replace

from laburnumbridge.catalog.revision import Revision  # noqa: TC001 (msgspec reads the types)

if TYPE_CHECKING:
    from collections.abc import Iterable

REMOVAL_HOLD_S = 2.2
"""How long removals are held after an outage, or after the platform was restored from a copy.
Entries that expired or were lost are published again within 2 s; 0.2 s allow for their delivery."""


class EvacuationChange(msgspec.Struct, frozen=True, kw_only=True):
    """The operator has evacuated ``domain``, or has removed the item of it."""

    domain: str
    is_evacuated: bool


class Evacuations(msgspec.Struct, frozen=True, kw_only=True):
    """The failure domains that are evacuated at a revision of the platform, sorted."""

    revision: Revision
    domains: tuple[str, ...] = ()

    def merged(self, other: Evacuations | None) -> Evacuations:
        """Return the newer register.

        Pages of one listing may be read at different revisions, so that two readers have different
        sets at one revision; until the next change both sets are evacuated then.
        """
        if other is None or other.revision < self.revision:
            return self
        if other.revision > self.revision:
            return other
        return replace(self, domains=tuple(sorted({*self.domains, *other.domains})))


def apply_evacuation_changes(
    domains: Iterable[str], changes: Iterable[EvacuationChange]
) -> frozenset[str]:
    """Return ``domains`` after ``changes``, which are in the order of their revisions."""
    evacuated = set(domains)
    for change in changes:
        if change.is_evacuated:
            evacuated.add(change.domain)
        else:
            evacuated.discard(change.domain)
    return frozenset(evacuated)


class EvacuationState:
    """The newest register that a process has, and the domains that are evacuated by it.

    A copy that the platform is restored from may lack a domain whose item the operator writes
    again, so the domain stays evacuated for ``REMOVAL_HOLD_S`` in the new era.
    """

    def __init__(self) -> None:
        self.register: Evacuations | None = None
        self.domains: frozenset[str] = frozenset()
        self._held_until_by_domain: dict[str, float] = {}

    def merge(self, register: Evacuations | None, now: float) -> bool:
        """Merge a register; return whether the evacuated domains have changed."""
        if register is None:
            return False
        before = self.register
        self.register = register if before is None else before.merged(register)
        if before is not None and before.revision.era < self.register.revision.era:
            for domain in self.domains.difference(self.register.domains):
                self._held_until_by_domain[domain] = now + REMOVAL_HOLD_S
        for domain in self.register.domains:
            # The operator has written it again, so a later removal takes effect at once.
            self._held_until_by_domain.pop(domain, None)
        return self._update()

    def apply_held(self, now: float) -> bool:
        """End the holds that are due; return whether the evacuated domains have changed."""
        if not self._held_until_by_domain:
            return False
        for domain, until in list(self._held_until_by_domain.items()):
            if until <= now:
                del self._held_until_by_domain[domain]
        return self._update()

    def _update(self) -> bool:
        listed = () if self.register is None else self.register.domains
        before = self.domains
        self.domains = frozenset((*listed, *self._held_until_by_domain))
        return before != self.domains
