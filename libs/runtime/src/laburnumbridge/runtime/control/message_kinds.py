"""Numbers of the control messages on the wire; a number is never reused."""

from __future__ import annotations

from enum import IntEnum


class MessageKind(IntEnum):
    """One number for each type of control message."""

    PING = 1
    ACK = 2
    INDIRECT_PING = 3
    INDIRECT_ACK = 4
    UNREACHABLE = 5
    GOSSIP = 6
    SYNC_REQUEST = 7
    SYNC_REPLY = 8
    LOAD_REPORT = 20
    LEASE_REPORT = 30
    LEASE_GRANT = 31
    LEASE_QUERY = 32
    KEY_INQUIRY = 40
    KEY_REPLY = 41
    VERSION_DIGEST = 50
