"""Reasons for rejecting a control datagram."""

from __future__ import annotations

from enum import StrEnum


class DatagramFault(StrEnum):
    """Why a control datagram was rejected; each fault has its counter."""

    TRUNCATED = "truncated"
    OVERSIZE = "oversize"
    UNKNOWN_VERSION = "unknown_version"
    UNKNOWN_KEY = "unknown_key"
    FORGED = "forged"
    REPLAYED = "replayed"
    BEHIND_WINDOW = "behind_window"
    OLD_INCARNATION = "old_incarnation"
    MALFORMED = "malformed"
