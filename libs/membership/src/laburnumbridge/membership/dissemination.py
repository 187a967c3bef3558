"""How exceptions reach the processes that need them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.membership.actions import SendMessage
from laburnumbridge.membership.gossip_queue import GOSSIP_FANOUT
from laburnumbridge.membership.gossip_queue import MAX_PAYLOAD_BYTES
from laburnumbridge.membership.gossip_queue import SYNC_RESERVE
from laburnumbridge.membership.gossip_queue import GossipQueue
from laburnumbridge.membership.gossip_queue import reserve_for
from laburnumbridge.membership.member import MemberState
from laburnumbridge.membership.member import Role
from laburnumbridge.membership.messages import NO_SUBJECT
from laburnumbridge.membership.messages import Gossip
from laburnumbridge.membership.messages import SyncReply
from laburnumbridge.membership.messages import SyncRequest

if TYPE_CHECKING:
    from laburnumbridge.core import Choice
    from laburnumbridge.core import FailureDomain
    from laburnumbridge.core import ProcessId
    from laburnumbridge.membership.liveness_record import LivenessRecord
    from laburnumbridge.membership.local_process import LocalProcess
    from laburnumbridge.membership.member import Member
    from laburnumbridge.membership.membership_view import MembershipView
    from laburnumbridge.membership.watch_plan import WatchPlan

# An agent asks for exceptions about lease holders; a lease term is 3 s.
AGENT_SYNC_INTERVAL_S = 2.0
BALANCER_SYNC_INTERVAL_S = 5.0
# Interval while a peer's digest differs: a new balancer reads a full set within a minute.
CATCH_UP_INTERVAL_S = 0.5
SYNC_DATAGRAMS = 3
# More than the datagrams of one reply hold, so that the reply shows whether it is the last.
SYNC_PAGE_RECORDS = 150
URGENT_RECORDS = 30
SIBLINGS_TOLD = 8
MAX_INTEREST = 64


class Dissemination:
    """Sends own findings to relays and siblings, and spreads those of others as a balancer.

    A finding goes to two relays in each failure domain. Balancers gossip it on within their
    failure domain. Agents tell their siblings and ask a balancer about what else they need.
    """

    def __init__(
        self,
        *,
        local: LocalProcess,
        view: MembershipView,
        plan: WatchPlan,
        choice: Choice,
        bytes_per_s: float,
    ) -> None:
        self._local = local
        self._view = view
        self._plan = plan
        self._choice = choice
        self._queue = GossipQueue(bytes_per_s=bytes_per_s)
        self._outbox: dict[ProcessId, list[LivenessRecord]] = {}
        self._interest: tuple[ProcessId, ...] = ()
        self._next_sync_at: float | None = None
        self._after = NO_SUBJECT

    def set_interest(self, process_ids: tuple[ProcessId, ...]) -> None:
        """Replace the processes that this agent asks about besides its siblings."""
        self._interest = process_ids[:MAX_INTEREST]

    def originate(self, record: LivenessRecord) -> None:
        """Spread a finding of this process."""
        destinations = set(self._siblings(record.subject))
        for domain in self._view.failure_domains():
            destinations.update(self._plan.relays(domain, record.subject))
        destinations -= {self._local.process_id, record.subject}
        for destination in sorted(destinations):
            self._outbox.setdefault(destination, []).append(record)
        self.learned(record)

    def learned(self, record: LivenessRecord) -> None:
        """Spread a record that is new to this process; only balancers do."""
        own = self._own()
        if own is not None and own.role is Role.BALANCER:
            self._queue.add(record)

    def tick(self, now: float) -> list[SendMessage]:
        """Send what the budget allows."""
        own = self._own()
        if own is None:
            return []
        sent = self._flush_outbox(now)
        if len(self._queue):
            peers = self._gossip_peers(own)
            sent += [SendMessage(*pair) for pair in self._queue.next_round(peers, now)]
        if self._next_sync_at is None:
            self._next_sync_at = now + self._choice.fraction() * self._sync_interval(own)
        if self._next_sync_at <= now:
            self._next_sync_at = now + self._sync_interval(own) * (
                0.75 + self._choice.fraction() / 2
            )
            sent += self._synchronise(own, now)
        return sent

    def ask_about_self(self, now: float) -> list[SendMessage]:
        """Ask relays of all failure domains what they know of this process."""
        subjects = (self._local.process_id,)
        message = SyncRequest(self._view.digest_of(subjects), subjects)
        relays = [
            relay
            for domain in self._view.failure_domains()
            for relay in self._plan.relays(domain, self._local.process_id)[:1]
        ]
        peers = [relay for relay in relays if relay != self._local.process_id]
        return [sent for peer in peers for sent in self._paid(peer, message, now)]

    def reply(self, source: ProcessId, request: SyncRequest, now: float) -> list[SendMessage]:
        """Answer a comparison."""
        view = self._view
        digest = view.digest_of(request.subjects) if request.subjects else view.digest
        if digest == request.digest:
            return self._paid(source, SyncReply(()), now)
        if request.subjects:
            found = [r for r in map(view.record, request.subjects) if r is not None]
            return self._paid(source, SyncReply(_first_page(found)[0]), now)
        urgent = _first_page(self._choice.sample(view.dead(), URGENT_RECORDS))[0]
        sent = self._paid(source, SyncReply(urgent, request.after), now) if urgent else []
        page = view.records_after(request.after, SYNC_PAGE_RECORDS)
        for _ in range(SYNC_DATAGRAMS):
            fitting, page = _first_page(page)
            last = fitting[-1].subject if page else NO_SUBJECT
            if fitting:
                sent += self._paid(source, SyncReply(fitting, last), now)
        return sent

    def compared(self, reply: SyncReply, now: float) -> None:
        """Go on soon where the peer's records differ from the own ones."""
        own = self._own()
        if own is None or own.role is Role.AGENT or not reply.records:
            return
        self._after = reply.last
        if reply.last:
            self._next_sync_at = min(self._next_sync_at or now, now + CATCH_UP_INTERVAL_S)

    def _own(self) -> Member | None:
        return self._view.member(self._local.process_id)

    def _siblings(self, subject: ProcessId) -> list[ProcessId]:
        member = self._view.member(subject)
        if member is None or member.service is None:
            return []
        return self._choice.sample(self._plan.group(member), SIBLINGS_TOLD)

    def _flush_outbox(self, now: float) -> list[SendMessage]:
        sent = []
        for destination in list(self._outbox):
            records = self._outbox[destination]
            page, rest = _first_page(records)
            message = Gossip(page)
            reserve = reserve_for(page)
            if not self._queue.spend(message.size_bytes(), now, reserve=reserve):
                continue
            sent.append(SendMessage(destination, message))
            if rest:
                self._outbox[destination] = rest
            else:
                del self._outbox[destination]
        return sent

    def _gossip_peers(self, own: Member) -> list[ProcessId]:
        listed = self._view.listed(role=Role.BALANCER, failure_domain=own.failure_domain)
        return self._live_sample(listed, GOSSIP_FANOUT)

    def _live_sample(self, listed: list[ProcessId], count: int) -> list[ProcessId]:
        candidates = self._choice.sample(listed, 2 * count)
        usable = [
            name
            for name in candidates
            if name != self._local.process_id
            and self._view.state(name) in (MemberState.LIVE, MemberState.LEAVING)
        ]
        return usable[:count]

    def _sync_interval(self, own: Member) -> float:
        return AGENT_SYNC_INTERVAL_S if own.role is Role.AGENT else BALANCER_SYNC_INTERVAL_S

    def _synchronise(self, own: Member, now: float) -> list[SendMessage]:
        if own.role is Role.BALANCER:
            domain = self._sync_domain(own)
            listed = self._view.listed(role=Role.BALANCER, failure_domain=domain)
            message = SyncRequest(self._view.digest, (), self._after)
            peers = self._live_sample(listed, 1)
        else:
            siblings = self._plan.group(own)[:SIBLINGS_TOLD]
            subjects = tuple(sorted({own.process_id, *siblings, *self._interest}))
            message = SyncRequest(self._view.digest_of(subjects), subjects)
            homes = self._plan.homes(own)
            peers = [self._choice.one_of(homes)] if homes else []
        return [sent for peer in peers for sent in self._paid(peer, message, now)]

    def _sync_domain(self, own: Member) -> FailureDomain:
        others = [d for d in self._view.failure_domains() if d != own.failure_domain]
        if not others or self._choice.fraction() < 0.5:
            return own.failure_domain
        return self._choice.one_of(others)

    def _paid(
        self, destination: ProcessId, message: SyncRequest | SyncReply, now: float
    ) -> list[SendMessage]:
        if not self._queue.spend(message.size_bytes(), now, reserve=SYNC_RESERVE):
            return []
        return [SendMessage(destination, message)]


def _first_page(
    records: list[LivenessRecord],
) -> tuple[tuple[LivenessRecord, ...], list[LivenessRecord]]:
    """Split off what fits one datagram."""
    room = MAX_PAYLOAD_BYTES
    for place, record in enumerate(records):
        room -= record.size_bytes()
        if room < 0:
            return tuple(records[:place]), records[place:]
    return tuple(records), []
