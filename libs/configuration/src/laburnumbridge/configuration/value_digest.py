"""Announcement of the version of one value to peers."""

from __future__ import annotations

from dataclasses import dataclass

from laburnumbridge.core import ProcessId


@dataclass(frozen=True, slots=True)
class ValueDigest:
    """The version in force (0 for none) and the latest confirmation by the platform.

    ``confirmed_by`` (None without a confirmation) and ``confirmation`` identify the platform read.
    ``heard_s`` is its age at the sender in seconds, without the times in flight.
    """

    name: str
    version: int
    digest: bytes
    confirmed_by: ProcessId | None = None
    confirmation: int = 0
    heard_s: float = 0.0
