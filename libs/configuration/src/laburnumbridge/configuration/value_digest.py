"""What a process tells others about one value."""

from __future__ import annotations

from dataclasses import dataclass

from laburnumbridge.core import ProcessId


@dataclass(frozen=True, slots=True)
class ValueDigest:
    """The version in force (0 for none) and the latest confirmation by the platform.

    ``confirmed_by`` and ``confirmation`` identify the platform read, and ``heard_s`` is how many
    seconds ago the sender first heard of it.
    """

    name: str
    version: int
    digest: bytes
    confirmed_by: ProcessId | None = None
    confirmation: int = 0
    heard_s: float = 0.0
