"""Who watches, and who tells whom, in one failure domain."""

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
# Depth 4 reaches 1,856 processes of a failure domain; a change costs a node 8 deltas at most.
FAN_OUT = 8


class RelayTopology:
    """Derives roles from the live view; processes with the same view agree on them.

    The watchers of a value change with its version. The platform returns whole values, so fixed
    watchers of a 1 MB list with 4,000 changes a day would spend 46 KB/s on it.
    """

    def __init__(self, *, process: ProcessId, failure_domain: FailureDomain) -> None:
        self._process = process
        self._failure_domain = failure_domain
        self._neighbours: list[ProcessId] = []
        self._remote: list[ProcessId] = []
        self._ranked: list[str] = []
        self._watchers_by_value: dict[str, tuple[int, bool]] = {}
        self.children: tuple[ProcessId, ...] = ()
        self.roots: tuple[ProcessId, ...] = ()
        self.fleet = 0

    @property
    def has_peers(self) -> bool:
        """Whether any other process is known."""
        return bool(self._neighbours or self._remote)

    @property
    def peer_count(self) -> int:
        """Number of other processes that are known."""
        return len(self._neighbours) + len(self._remote)

    def update(self, members: Sequence[Member]) -> None:
        """Take over a live view."""
        domain = self._failure_domain
        local = [m.process for m in members if m.failure_domain == domain]
        self._remote = [m.process for m in members if m.failure_domain != domain]
        self._neighbours = [process for process in local if process != self._process]
        self.fleet = len(members)
        self._watchers_by_value.clear()
        self._ranked = rendezvous_rank(b"relay/" + domain.encode(), local)
        self.roots = tuple(
            ProcessId(root) for root in self._ranked[:WATCHERS] if root != self._process
        )
        self.children = self._find_children()

    def is_watcher(self, name: str, version: int) -> bool:
        """Return whether the own process watches ``name`` while ``version`` is in force."""
        known = self._watchers_by_value.get(name)
        if known is not None and known[0] == version:
            return known[1]
        key = f"watch/{self._failure_domain}/{name}/{version}".encode()
        chosen = self._process in rendezvous_rank(key, self._ranked)[:WATCHERS]
        self._watchers_by_value[name] = (version, chosen)
        return chosen

    def some_peer(self, choice: Choice, *, remote: bool) -> ProcessId | None:
        """Return a peer of another failure domain (``remote``) or of the own one, if any."""
        first, second = self._remote, self._neighbours
        if not remote:
            first, second = second, first
        pool = first or second
        return choice.one_of(pool) if pool else None

    def _find_children(self) -> tuple[ProcessId, ...]:
        if self._process not in self._ranked:
            return ()
        first = WATCHERS + self._ranked.index(self._process) * FAN_OUT
        return tuple(ProcessId(child) for child in self._ranked[first : first + FAN_OUT])
