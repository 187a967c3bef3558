"""Failure detection and membership of processes on the platform's list."""

from __future__ import annotations

from laburnumbridge.membership.actions import Action
from laburnumbridge.membership.actions import PanicChanged
from laburnumbridge.membership.actions import SendMessage
from laburnumbridge.membership.actions import StateChanged
from laburnumbridge.membership.actions import Superseded
from laburnumbridge.membership.actions import SuspicionRefuted
from laburnumbridge.membership.actions import ViewExpired
from laburnumbridge.membership.actions import ViewRefreshed
from laburnumbridge.membership.claim import Claim
from laburnumbridge.membership.detector import TICK_INTERVAL_S
from laburnumbridge.membership.detector import Detector
from laburnumbridge.membership.events import Event
from laburnumbridge.membership.events import ForwardingTimedOut
from laburnumbridge.membership.events import InterestChanged
from laburnumbridge.membership.events import LeaveAnnounced
from laburnumbridge.membership.events import ListReceived
from laburnumbridge.membership.events import MessageReceived
from laburnumbridge.membership.events import PortClosed
from laburnumbridge.membership.events import Tick
from laburnumbridge.membership.liveness_record import LivenessRecord
from laburnumbridge.membership.liveness_version import LivenessVersion
from laburnumbridge.membership.member import Member
from laburnumbridge.membership.member import MemberState
from laburnumbridge.membership.member import Role
from laburnumbridge.membership.membership_view import MembershipView
from laburnumbridge.membership.messages import DATAGRAM_OVERHEAD_BYTES
from laburnumbridge.membership.messages import Ack
from laburnumbridge.membership.messages import Gossip
from laburnumbridge.membership.messages import IndirectAck
from laburnumbridge.membership.messages import IndirectPing
from laburnumbridge.membership.messages import Message
from laburnumbridge.membership.messages import Ping
from laburnumbridge.membership.messages import SyncReply
from laburnumbridge.membership.messages import SyncRequest
from laburnumbridge.membership.messages import Unreachable

__all__ = [
    "DATAGRAM_OVERHEAD_BYTES",
    "TICK_INTERVAL_S",
    "Ack",
    "Action",
    "Claim",
    "Detector",
    "Event",
    "ForwardingTimedOut",
    "Gossip",
    "IndirectAck",
    "IndirectPing",
    "InterestChanged",
    "LeaveAnnounced",
    "ListReceived",
    "LivenessRecord",
    "LivenessVersion",
    "Member",
    "MemberState",
    "MembershipView",
    "Message",
    "MessageReceived",
    "PanicChanged",
    "Ping",
    "PortClosed",
    "Role",
    "SendMessage",
    "StateChanged",
    "Superseded",
    "SuspicionRefuted",
    "SyncReply",
    "SyncRequest",
    "Tick",
    "Unreachable",
    "ViewExpired",
    "ViewRefreshed",
]
