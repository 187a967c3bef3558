"""Who watches whom, and through whom exceptions spread; every process computes the same plan."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.core import ProcessId
from laburnumbridge.core import hash64
from laburnumbridge.core import rendezvous_rank
from laburnumbridge.membership.member import MemberState
from laburnumbridge.membership.member import Role

if TYPE_CHECKING:
    from collections.abc import Iterable

    from laburnumbridge.core import FailureDomain
    from laburnumbridge.membership.member import Member
    from laburnumbridge.membership.membership_view import MembershipView

SIBLINGS_WATCHED = 6
DOMAIN_PEERS_WATCHED = 3
# Watchers outside the failure domain are the ones left when all of it is lost.
OUTSIDE_PEERS_WATCHED = 2
# Agents of smaller services are pooled, so that each has watchers that can confirm a death.
MIN_SERVICE_GROUP = 3
# Two, so that one lost datagram doesn't keep an exception from a failure domain.
RELAYS_PER_DOMAIN = 2
HOMES = 2


class WatchPlan:
    """Watched processes and relays, from the platform's list and the states of its members."""

    def __init__(self, *, view: MembershipView) -> None:
        self._view = view
        self._pool: list[ProcessId] = []
        self._pool_version: int | None = None

    def watched(self, own: Member) -> list[ProcessId]:
        """Return the processes that ``own`` probes."""
        if own.role is Role.AGENT:
            return self._successors(own, self.group(own), SIBLINGS_WATCHED)
        view = self._view
        inside = view.listed(role=Role.BALANCER, failure_domain=own.failure_domain)
        outside = [
            process_id
            for domain in view.failure_domains()
            if domain != own.failure_domain
            for process_id in view.listed(role=Role.BALANCER, failure_domain=domain)
        ]
        chosen = self._successors(own, inside, DOMAIN_PEERS_WATCHED)
        return chosen + self._successors(own, outside, OUTSIDE_PEERS_WATCHED)

    def group(self, own: Member) -> list[ProcessId]:
        """Return the agents that watch one another, ``own`` among them."""
        view = self._view
        if own.service is None:
            return []
        siblings = view.listed(service=own.service)
        if len(siblings) >= MIN_SERVICE_GROUP:
            return siblings
        if self._pool_version != view.version:
            self._pool_version = view.version
            self._pool = [
                member.process_id
                for member in view.members()
                if member.service is not None
                and len(view.listed(service=member.service)) < MIN_SERVICE_GROUP
            ]
        return self._pool

    def relays(self, domain: FailureDomain, subject: ProcessId) -> list[ProcessId]:
        """Return the balancers of a failure domain that spread exceptions about ``subject``.

        Each subject has its own relays: with the same few for all, the loss of a failure domain
        would bring 300 KB within two seconds to each of them. Where all seem dead, as on the
        other side of a partition, any will do: after the heal they must hear of refutations.
        """
        live = self._view.live(role=Role.BALANCER, failure_domain=domain)
        listed = self._view.listed(role=Role.BALANCER, failure_domain=domain)
        return self._first(subject.encode(), live or listed, RELAYS_PER_DOMAIN)

    def homes(self, own: Member) -> list[ProcessId]:
        """Return the balancers of its failure domain that an agent asks for exceptions."""
        live = self._view.live(role=Role.BALANCER, failure_domain=own.failure_domain)
        return self._first(own.process_id.encode(), live, HOMES)

    @staticmethod
    def _first(key: bytes, members: list[ProcessId], count: int) -> list[ProcessId]:
        return [ProcessId(name) for name in rendezvous_rank(key, members)[:count]]

    def _successors(
        self, own: Member, candidates: Iterable[ProcessId], count: int
    ) -> list[ProcessId]:
        """Return the next ``count`` processes on a hashed ring that aren't dead, and dead ones
        passed on the way, which are watched for their return."""
        place = hash64(own.process_id.encode())
        others = [name for name in candidates if name != own.process_id]
        ring = sorted(others, key=lambda name: (hash64(name.encode()) - place) % (1 << 64))
        chosen: list[ProcessId] = []
        alive = 0
        for name in ring[: 3 * count]:
            if alive == count:
                break
            chosen.append(name)
            alive += self._view.state(name) is not MemberState.DEAD
        return chosen
