"""The four limits of a plan and the two kinds of work that use them."""

from __future__ import annotations

from enum import Enum
from enum import IntEnum

from laburnumbridge.core import RefusalReason


class LimitKind(IntEnum):
    """One limit of a plan.

    A level counts open items. A rate counts admissions of the last second. Both are kept as units
    of credit: a rate's unit becomes free one second after its use.
    """

    OPEN_CONNECTIONS = 0
    CONNECTION_RATE = 1
    REQUEST_RATE = 2
    CONCURRENT_REQUESTS = 3

    @property
    def is_level(self) -> bool:
        """True for a count of open items, False for a count within the last second."""
        return self in (LimitKind.OPEN_CONNECTIONS, LimitKind.CONCURRENT_REQUESTS)

    @property
    def refusal_reason(self) -> RefusalReason:
        """The refusal reason that a client receives when this limit is exhausted."""
        return _REASON_BY_KIND[self]


_REASON_BY_KIND = {
    LimitKind.OPEN_CONNECTIONS: RefusalReason.PLAN_CONNECTIONS,
    LimitKind.CONNECTION_RATE: RefusalReason.PLAN_CONNECTION_RATE,
    LimitKind.REQUEST_RATE: RefusalReason.PLAN_REQUEST_RATE,
    LimitKind.CONCURRENT_REQUESTS: RefusalReason.PLAN_CONCURRENCY,
}


class Work(Enum):
    """A kind of work that needs admission; the value lists the limits that it uses."""

    CONNECTION = (LimitKind.CONNECTION_RATE, LimitKind.OPEN_CONNECTIONS)
    REQUEST = (LimitKind.REQUEST_RATE, LimitKind.CONCURRENT_REQUESTS)

    @property
    def kinds(self) -> tuple[LimitKind, ...]:
        """The limits that one unit of this work uses."""
        return self.value
