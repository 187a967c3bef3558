"""Version that orders liveness records about the same process."""

from __future__ import annotations

from typing import NamedTuple

from laburnumbridge.core import Incarnation


class LivenessVersion(NamedTuple):
    """Incarnation of a process and the number of claims that it has refuted since its start.

    It refutes claims that it is suspect or dead. The incarnation is the start of the process in
    seconds since the epoch, and routing tokens hold it alone. A refutation therefore leaves it
    unchanged: otherwise balancers would treat the open flows of the agent as flows of an earlier
    process and reset them.
    """

    incarnation: Incarnation
    refutation: int = 0
