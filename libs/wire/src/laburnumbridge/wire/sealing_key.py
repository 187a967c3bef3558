"""A numbered key of the control datagrams."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class SealingKey:
    """A 32-byte secret with its number (0-255).

    Every key in use opens datagrams; the one marked ``current`` seals them.
    """

    number: int
    secret: bytes = field(repr=False)
    current: bool = False
