"""When a process tells its versions to others."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.configuration.relay_topology import RelayTopology
    from laburnumbridge.core import Choice
    from laburnumbridge.core import ProcessId

# Changes within this time share one announcement, which bounds a burst to a few deltas a child.
VERSION_SPACING_S = 0.5
# Confirmations without a new version are passed on less often; they only suppress fallback reads.
CONFIRMATION_SPACING_S = 2.0
# A new version is announced once more after this time, because one announcement in twenty is lost.
REPEAT_AFTER_S = 1.0
GOSSIP_INTERVAL_S = 2.0
# A starting process asks this many peers a second.
STARTING_INTERVAL_S = 1.0
STARTING_PEERS = 3
# Every third message goes to another failure domain, every second one while a value is stale.
REMOTE_EVERY = 3
REMOTE_EVERY_STALE = 2


class Announcer:
    """Chooses the peers of each announcement.

    New versions go down a tree whose roots are told by whoever read the platform. Exchange with
    random peers repairs what the tree lost.
    """

    def __init__(self, *, topology: RelayTopology, choice: Choice) -> None:
        self._topology = topology
        self._choice = choice
        self._version_changed = False
        self._confirmation_changed = False
        self._from_platform = False
        self._announced_at = -CONFIRMATION_SPACING_S
        self._repeat_at: float | None = None
        self._gossip_at: float | None = None
        self._gossiped = 0

    def version_changed(self) -> None:
        """Note that a version was put in force."""
        self._version_changed = True

    def confirmation_changed(self, *, from_platform: bool) -> None:
        """Note a new confirmation, heard from the platform itself or from a peer."""
        self._confirmation_changed = True
        self._from_platform = self._from_platform or from_platform

    def announce(self, now: float) -> tuple[ProcessId, ...]:
        """Return the peers to tell now that something changed."""
        if now - self._announced_at < self._spacing_s(now):
            return ()
        peers = list(self._topology.children)
        if self._from_platform:
            peers += [root for root in self._topology.roots if root not in peers]
        self._announced_at = now
        self._repeat_at = now + REPEAT_AFTER_S if self._version_changed else None
        self._version_changed = self._confirmation_changed = self._from_platform = False
        return tuple(peers)

    def _spacing_s(self, now: float) -> float:
        if self._version_changed:
            return VERSION_SPACING_S
        if self._repeat_at is not None and now >= self._repeat_at:
            return 0.0
        return CONFIRMATION_SPACING_S if self._confirmation_changed else math.inf

    def gossip(self, now: float, *, serving: bool, stale: bool) -> tuple[ProcessId, ...]:
        """Return the random peers to exchange versions with now."""
        interval_s = GOSSIP_INTERVAL_S if serving else STARTING_INTERVAL_S
        if self._gossip_at is None:
            self._gossip_at = now if not serving else now + interval_s * self._choice.fraction()
        if now < self._gossip_at or not self._topology.has_peers:
            return ()
        self._gossip_at = now + interval_s * (0.75 + 0.5 * self._choice.fraction())
        chosen = [self._next_peer(stale) for _ in range(1 if serving else STARTING_PEERS)]
        return tuple(dict.fromkeys(peer for peer in chosen if peer is not None))

    def _next_peer(self, stale: bool) -> ProcessId | None:
        self._gossiped += 1
        every = REMOTE_EVERY_STALE if stale else REMOTE_EVERY
        return self._topology.some_peer(self._choice, remote=self._gossiped % every == 0)
