"""The versions that peers told a process while it starts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.core import rendezvous_rank

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from laburnumbridge.configuration import ValueDigest
    from laburnumbridge.core import ProcessId

ASKED_AT_ONCE = 3
# One peer may itself have just started.
WANTED_ANSWERS = 2


class PeerVersions:
    """Chooses the peers to ask and knows when their answers suffice.

    A stale platform may offer every value within a millisecond, before any peer could answer.
    """

    def __init__(self, *, own: ProcessId) -> None:
        self._own = own
        self._answered: set[ProcessId] = set()
        self._asked = 0
        self._version_by_name: dict[str, int] = {}

    def heard(self, sender: ProcessId, digests: Iterable[ValueDigest]) -> None:
        """Take what a peer told."""
        told = {digest.name: digest.version for digest in digests}
        if not any(told.values()):
            return
        self._answered.add(sender)
        for name, version in told.items():
            self._version_by_name[name] = max(version, self._version_by_name.get(name, 0))

    def next_peers(self, peers: Iterable[ProcessId]) -> list[ProcessId]:
        """Return the peers to ask next, in an order of this process's own."""
        by_name = {str(peer): peer for peer in peers}
        ranked = rendezvous_rank(self._own.encode(), by_name)
        if not ranked:
            return []
        start = self._asked % len(ranked)
        self._asked += ASKED_AT_ONCE
        return [by_name[name] for name in (ranked[start:] + ranked[:start])[:ASKED_AT_ONCE]]

    def suffice(self, *, peers: int, versions: Mapping[str, int]) -> bool:
        """True where enough peers answered and none of them has a newer version."""
        if len(self._answered) < min(WANTED_ANSWERS, peers):
            return False
        return all(versions.get(n, 0) >= version for n, version in self._version_by_name.items())
