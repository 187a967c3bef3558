"""Versions that peers report to a process while it starts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.core import rendezvous_rank

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from laburnumbridge.configuration import ValueDigest
    from laburnumbridge.core import ProcessId

PEERS_PER_ROUND = 3
# The answer of one peer isn't enough: the peer may itself have just started.
REQUIRED_ANSWERS = 2


class PeerVersions:
    """Selects the peers to query and decides when enough of them have answered.

    Guards against a stale platform, which may return every value within a millisecond, before
    any peer could answer.
    """

    def __init__(self, *, own: ProcessId) -> None:
        self._own = own
        self._answered: set[ProcessId] = set()
        self._queried = 0
        self._version_by_name: dict[str, int] = {}

    def record(self, sender: ProcessId, digests: Iterable[ValueDigest]) -> None:
        """Record the versions that a peer reports; a peer without any value doesn't count."""
        reported = {digest.name: digest.version for digest in digests}
        if not any(reported.values()):
            return
        self._answered.add(sender)
        for name, version in reported.items():
            self._version_by_name[name] = max(version, self._version_by_name.get(name, 0))

    def next_peers(self, peers: Iterable[ProcessId]) -> list[ProcessId]:
        """Return the next peers to query, in an order that differs between processes."""
        by_name = {str(peer): peer for peer in peers}
        ranked = rendezvous_rank(self._own.encode(), by_name)
        if not ranked:
            return []
        start = self._queried % len(ranked)
        self._queried += PEERS_PER_ROUND
        return [by_name[name] for name in (ranked[start:] + ranked[:start])[:PEERS_PER_ROUND]]

    def are_sufficient(self, *, peers: int, versions: Mapping[str, int]) -> bool:
        """Return True if enough peers have answered and none has a newer version."""
        if len(self._answered) < min(REQUIRED_ANSWERS, peers):
            return False
        return all(versions.get(n, 0) >= version for n, version in self._version_by_name.items())
