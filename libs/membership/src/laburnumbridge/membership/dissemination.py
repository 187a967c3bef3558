"""Dissemination of liveness records by relays, gossip and synchronisation."""

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

# Shorter than a lease term of 3 s: an agent requests records about lease holders.
AGENT_SYNC_INTERVAL_S = 2.0
BALANCER_SYNC_INTERVAL_S = 5.0
# Interval while the records of a peer differ: a new balancer receives all within a minute.
CATCH_UP_INTERVAL_S = 0.5
SYNC_DATAGRAMS = 3
# More records than the datagrams of one reply hold, so that the reply shows whether more follow.
SYNC_PAGE_RECORDS = 150
URGENT_RECORDS = 30
SIBLING_FANOUT = 8
MAX_INTEREST = 64


class Dissemination:
    """Sends records of this process to relays and siblings, and gossips records on balancers.

    A record is sent to two relays in each failure domain and, if its subject is an agent, to the
    siblings of the subject. Balancers gossip it within their failure domain. Agents request the
    records that they need from a balancer.
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
        self._sync_position = NO_SUBJECT

    def set_interest(self, process_ids: tuple[ProcessId, ...]) -> None:
        """Replace the processes other than its siblings about which this agent requests records."""
        self._interest = process_ids[:MAX_INTEREST]

    def originate(self, record: LivenessRecord) -> None:
        """Spread a record that this process created."""
        destinations = set(self._siblings(record.subject))
        for domain in self._view.failure_domains():
            destinations.update(self._plan.relays(domain, record.subject))
        destinations -= {self._local.process_id, record.subject}
        for destination in sorted(destinations):
            self._outbox.setdefault(destination, []).append(record)
        self.forward(record)

    def forward(self, record: LivenessRecord) -> None:
        """Gossip a record that is new to this process; agents don't gossip."""
        own = self._own_member()
        if own is not None and own.role is Role.BALANCER:
            self._queue.add(record)

    def tick(self, now: float) -> list[SendMessage]:
        """Return the messages that are due and fit the byte budget."""
        own = self._own_member()
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

    def request_own_records(self, now: float) -> list[SendMessage]:
        """Request the records about this process from one relay in each failure domain."""
        subjects = (self._local.process_id,)
        message = SyncRequest(self._view.digest_of(subjects), subjects)
        relays = [
            relay
            for domain in self._view.failure_domains()
            for relay in self._plan.relays(domain, self._local.process_id)[:1]
        ]
        peers = [relay for relay in relays if relay != self._local.process_id]
        return [sent for peer in peers for sent in self._send_within_budget(peer, message, now)]

    def reply(self, source: ProcessId, request: SyncRequest, now: float) -> list[SendMessage]:
        """Return the answer to a synchronisation request, as far as the byte budget allows."""
        view = self._view
        digest = view.digest_of(request.subjects) if request.subjects else view.digest
        if digest == request.digest:
            return self._send_within_budget(source, SyncReply(()), now)
        if request.subjects:
            found = [r for r in map(view.record, request.subjects) if r is not None]
            return self._send_within_budget(source, SyncReply(_split_page(found)[0]), now)
        urgent = _split_page(self._choice.sample(view.dead(), URGENT_RECORDS))[0]
        sent = (
            self._send_within_budget(source, SyncReply(urgent, request.after), now)
            if urgent
            else []
        )
        page = view.records_after(request.after, SYNC_PAGE_RECORDS)
        for _ in range(SYNC_DATAGRAMS):
            fitting, page = _split_page(page)
            last = fitting[-1].subject if page else NO_SUBJECT
            if fitting:
                sent += self._send_within_budget(source, SyncReply(fitting, last), now)
        return sent

    def handle_reply(self, reply: SyncReply, now: float) -> None:
        """Process a reply: a balancer continues soon if the peer holds more records that differ."""
        own = self._own_member()
        if own is None or own.role is Role.AGENT or not reply.records:
            return
        self._sync_position = reply.last
        if reply.last:
            self._next_sync_at = min(self._next_sync_at or now, now + CATCH_UP_INTERVAL_S)

    def _own_member(self) -> Member | None:
        return self._view.member(self._local.process_id)

    def _siblings(self, subject: ProcessId) -> list[ProcessId]:
        member = self._view.member(subject)
        if member is None or member.service is None:
            return []
        return self._choice.sample(self._plan.watch_group(member), SIBLING_FANOUT)

    def _flush_outbox(self, now: float) -> list[SendMessage]:
        sent = []
        for destination in list(self._outbox):
            records = self._outbox[destination]
            page, rest = _split_page(records)
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
            message = SyncRequest(self._view.digest, (), self._sync_position)
            peers = self._live_sample(listed, 1)
        else:
            siblings = self._plan.watch_group(own)[:SIBLING_FANOUT]
            subjects = tuple(sorted({own.process_id, *siblings, *self._interest}))
            message = SyncRequest(self._view.digest_of(subjects), subjects)
            sync_peers = self._plan.sync_peers(own)
            peers = [self._choice.one_of(sync_peers)] if sync_peers else []
        return [sent for peer in peers for sent in self._send_within_budget(peer, message, now)]

    def _sync_domain(self, own: Member) -> FailureDomain:
        others = [d for d in self._view.failure_domains() if d != own.failure_domain]
        if not others or self._choice.fraction() < 0.5:
            return own.failure_domain
        return self._choice.one_of(others)

    def _send_within_budget(
        self, destination: ProcessId, message: SyncRequest | SyncReply, now: float
    ) -> list[SendMessage]:
        if not self._queue.spend(message.size_bytes(), now, reserve=SYNC_RESERVE):
            return []
        return [SendMessage(destination, message)]


def _split_page(
    records: list[LivenessRecord],
) -> tuple[tuple[LivenessRecord, ...], list[LivenessRecord]]:
    """Return the records that fit one datagram, and the remaining ones."""
    remaining_bytes = MAX_PAYLOAD_BYTES
    for index, record in enumerate(records):
        remaining_bytes -= record.size_bytes()
        if remaining_bytes < 0:
            return tuple(records[:index]), records[index:]
    return tuple(records), []
