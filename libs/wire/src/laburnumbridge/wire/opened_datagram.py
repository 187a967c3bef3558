"""A control datagram that proved authentic and fresh."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

if TYPE_CHECKING:
    from laburnumbridge.core import Incarnation
    from laburnumbridge.core import ProcessId

M = TypeVar("M")


@dataclass(frozen=True, slots=True)
class OpenedDatagram(Generic[M]):
    """A message with its sender, and the counter of its datagram."""

    sender: ProcessId
    incarnation: Incarnation
    counter: int
    message: M
