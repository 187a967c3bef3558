"""Assignment of watchers and relays, which every process computes in the same way."""

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
# If a whole failure domain is lost, only the watchers outside it remain.
OUTSIDE_PEERS_WATCHED = 2
# Agents of smaller services watch one another in one pool, so that each has watchers that can
# confirm its death.
MIN_SERVICE_GROUP = 3
# With two relays, one lost datagram doesn't keep a liveness record from a failure domain.
RELAYS_PER_DOMAIN = 2
SYNC_PEERS = 2


class WatchPlan:
    """Chooses watched processes, relays and synchronisation peers from the membership view."""

    def __init__(self, *, view: MembershipView) -> None:
        self._view = view
        self._pool: list[ProcessId] = []
        self._pool_version: int | None = None

    def watched(self, own: Member) -> list[ProcessId]:
        """Return the processes that ``own`` probes."""
        if own.role is Role.AGENT:
            return self._successors(own, self.watch_group(own), SIBLINGS_WATCHED)
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

    def watch_group(self, own: Member) -> list[ProcessId]:
        """Return the agents that watch one another, ``own`` among them; empty for a balancer.

        Agents of services with fewer than `MIN_SERVICE_GROUP` agents form one pool.
        """
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
        """Return the balancers of a failure domain that gossip records about ``subject``.

        Each subject has its own relays: if all shared a few, the loss of a failure domain would
        send 300 KB within two seconds to each of these. If no balancer of the domain is live, as
        on the other side of a partition, relays are chosen from all that are listed: they must
        receive refutations after the partition heals.
        """
        live = self._view.live(role=Role.BALANCER, failure_domain=domain)
        listed = self._view.listed(role=Role.BALANCER, failure_domain=domain)
        return self._top_ranked(subject.encode(), live or listed, RELAYS_PER_DOMAIN)

    def sync_peers(self, own: Member) -> list[ProcessId]:
        """Return the live balancers of its failure domain from which an agent requests records."""
        live = self._view.live(role=Role.BALANCER, failure_domain=own.failure_domain)
        return self._top_ranked(own.process_id.encode(), live, SYNC_PEERS)

    @staticmethod
    def _top_ranked(key: bytes, members: list[ProcessId], count: int) -> list[ProcessId]:
        return [ProcessId(name) for name in rendezvous_rank(key, members)[:count]]

    def _successors(
        self, own: Member, candidates: Iterable[ProcessId], count: int
    ) -> list[ProcessId]:
        """Return the next ``count`` processes on a hash ring that aren't dead.

        Dead processes between them are included, so that their return is detected. At most
        ``3 * count`` positions of the ring are searched.
        """
        origin = hash64(own.process_id.encode())
        others = [name for name in candidates if name != own.process_id]
        ring = sorted(others, key=lambda name: (hash64(name.encode()) - origin) % (1 << 64))
        chosen: list[ProcessId] = []
        alive = 0
        for name in ring[: 3 * count]:
            if alive == count:
                break
            chosen.append(name)
            alive += self._view.state(name) is not MemberState.DEAD
        return chosen
