"""Watchers of the platform and the announcement tree of one failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.core import ProcessId
from laburnumbridge.core import rendezvous_rank

if TYPE_CHECKING:
    from collections.abc import Sequence

    from laburnumbridge.configuration.member import Member
    from laburnumbridge.core import Choice
    from laburnumbridge.core import FailureDomain

WATCHERS = 3
# A tree of depth 4 reaches 1,856 processes of a failure domain; a node sends at most 8 deltas for
# each change.
FAN_OUT = 8


class RelayTopology:
    """Derives roles from the live view; processes with the same view agree on them.

    The watchers of a value change with its version, because the platform returns whole values:
    fixed watchers of a 1 MB list with 4,000 changes a day would receive 46 KB/s for it.

    ``children`` are the direct children of this process in the tree and ``roots`` the other
    processes at its top; ``fleet_size`` is the number of live processes, this one included.
    """

    def __init__(self, *, process: ProcessId, failure_domain: FailureDomain) -> None:
        self._process = process
        self._failure_domain = failure_domain
        self._local_peers: list[ProcessId] = []
        self._remote_peers: list[ProcessId] = []
        self._ranked: list[str] = []
        self._watchers_by_value: dict[str, tuple[int, bool]] = {}
        self.children: tuple[ProcessId, ...] = ()
        self.roots: tuple[ProcessId, ...] = ()
        self.fleet_size = 0

    @property
    def has_peers(self) -> bool:
        """Whether the live view holds any other process."""
        return bool(self._local_peers or self._remote_peers)

    @property
    def peer_count(self) -> int:
        """Number of other processes in the live view."""
        return len(self._local_peers) + len(self._remote_peers)

    def update(self, members: Sequence[Member]) -> None:
        """Derive all roles again from a new live view."""
        domain = self._failure_domain
        local = [m.process for m in members if m.failure_domain == domain]
        self._remote_peers = [m.process for m in members if m.failure_domain != domain]
        self._local_peers = [process for process in local if process != self._process]
        self.fleet_size = len(members)
        self._watchers_by_value.clear()
        self._ranked = rendezvous_rank(b"relay/" + domain.encode(), local)
        self.roots = tuple(
            ProcessId(root) for root in self._ranked[:WATCHERS] if root != self._process
        )
        self.children = self._find_children()

    def is_watcher(self, name: str, version: int) -> bool:
        """Return whether this process watches ``name`` while ``version`` is in force."""
        cached = self._watchers_by_value.get(name)
        if cached is not None and cached[0] == version:
            return cached[1]
        key = f"watch/{self._failure_domain}/{name}/{version}".encode()
        is_watcher = self._process in rendezvous_rank(key, self._ranked)[:WATCHERS]
        self._watchers_by_value[name] = (version, is_watcher)
        return is_watcher

    def random_peer(self, choice: Choice, *, remote: bool) -> ProcessId | None:
        """Return a random peer, or None if there are no peers.

        Peers of other failure domains are preferred if ``remote``, else those of this one.
        """
        preferred, fallback = self._remote_peers, self._local_peers
        if not remote:
            preferred, fallback = fallback, preferred
        pool = preferred or fallback
        return choice.one_of(pool) if pool else None

    def _find_children(self) -> tuple[ProcessId, ...]:
        if self._process not in self._ranked:
            return ()
        start = WATCHERS + self._ranked.index(self._process) * FAN_OUT
        return tuple(ProcessId(child) for child in self._ranked[start : start + FAN_OUT])
