"""Control message by which processes compare their versions."""

from __future__ import annotations

from dataclasses import dataclass

from laburnumbridge.configuration import ValueDigest  # noqa: TC001, msgspec reads it at run time


@dataclass(frozen=True, slots=True)
class VersionDigests:
    """Versions that the sender has in force; ``reply_wanted`` requests those of the receiver."""

    digests: tuple[ValueDigest, ...]
    reply_wanted: bool
