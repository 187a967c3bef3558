"""The control message that compares versions."""

from __future__ import annotations

from dataclasses import dataclass

from laburnumbridge.configuration import ValueDigest  # noqa: TC001, msgspec reads it at run time


@dataclass(frozen=True, slots=True)
class VersionDigests:
    """The versions that the sender has in force."""

    digests: tuple[ValueDigest, ...]
    reply_wanted: bool
