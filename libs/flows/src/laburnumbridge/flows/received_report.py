"""The last load report of an agent, as kept by its receiver."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from laburnumbridge.flows.peer_datagrams import LoadReport
    from laburnumbridge.flows.peer_datagrams import WorkReport


class ReceivedReport(msgspec.Struct, kw_only=True):
    """A load report and the last work report, with the times of their receipt.

    A report without a work report leaves the previous one in place.
    """

    report: LoadReport
    reported_at: float
    work: WorkReport | None = None
    work_reported_at: float = -math.inf
