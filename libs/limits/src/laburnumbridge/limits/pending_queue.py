"""Queue of admissions that wait for credit."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.core import RequestId
    from laburnumbridge.limits.credit_line import CreditLine
    from laburnumbridge.limits.limit_kind import LimitKind
    from laburnumbridge.limits.limit_kind import Work


@dataclass(slots=True)
class PendingAdmission:
    """One admission, which waits for credit until ``until`` (monotonic seconds).

    ``first_reported_in`` is the sequence of the first report that counted it, None before that.
    """

    request_id: RequestId
    until: float
    first_reported_in: int | None = None


class PendingQueue:
    """Pending admissions of one kind of work, served in order of arrival."""

    def __init__(self, *, work: Work, line_by_kind: dict[LimitKind, CreditLine]) -> None:
        self._lines = [line_by_kind[kind] for kind in work.kinds]
        self._waiting: deque[PendingAdmission] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def first(self) -> PendingAdmission:
        """The admission that has waited longest."""
        return self._waiting[0]

    def push(self, pending: PendingAdmission) -> None:
        """Add an admission at the end."""
        self._waiting.append(pending)
        self._count(1)

    def pop(self) -> PendingAdmission:
        """Remove the admission that has waited longest."""
        self._count(-1)
        return self._waiting.popleft()

    def remove(self, request_id: RequestId) -> None:
        """Remove one admission if it is in the queue."""
        kept = [pending for pending in self._waiting if pending.request_id != request_id]
        self._count(len(kept) - len(self._waiting))
        self._waiting = deque(kept)

    def mark_reported(self, sequence: int) -> None:
        """Record the report that is the first to count the newest admissions."""
        for pending in reversed(self._waiting):
            if pending.first_reported_in is not None:
                return
            pending.first_reported_in = sequence

    @property
    def has_unreported(self) -> bool:
        """True when no report has counted the latest admission."""
        return bool(self._waiting) and self._waiting[-1].first_reported_in is None

    def _count(self, change: int) -> None:
        for line in self._lines:
            line.pending += change
