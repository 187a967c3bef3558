"""The last load report of an agent, as kept by its receiver."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.flows.peer_datagrams import LoadReport
    from laburnumbridge.flows.peer_datagrams import WorkReport


@dataclass(kw_only=True, slots=True)
class ReceivedReport:
    """A load report and the last work report, with the times of their receipt.

    A report without a work report leaves the previous one in place.
    """

    report: LoadReport
    reported_at: float
    work: WorkReport | None = None
    work_reported_at: float = -math.inf
