"""A member of the live view."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.core import FailureDomain
    from laburnumbridge.core import ProcessId


@dataclass(frozen=True, slots=True)
class Member:
    """A live process and its failure domain."""

    process: ProcessId
    failure_domain: FailureDomain
