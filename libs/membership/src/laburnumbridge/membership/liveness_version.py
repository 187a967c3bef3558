"""The part of a record that decides which of two is newer."""

from __future__ import annotations

from typing import NamedTuple

from laburnumbridge.core import Incarnation


class LivenessVersion(NamedTuple):
    """Start of a process (``incarnation``) and how often it has refuted a claim against it since.

    Such a claim says that the process is suspect or dead. Routing tokens hold the incarnation
    alone. A refutation that raised it would make balancers treat the open flows of the agent as
    flows of an earlier process and reset them.
    """

    incarnation: Incarnation
    refutation: int = 0
