"""Schedule of the version announcements to peers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.configuration.relay_topology import RelayTopology
    from laburnumbridge.core import Choice
    from laburnumbridge.core import ProcessId

# Changes within this time share one announcement, so that a burst causes only a few deltas for each
# child.
VERSION_SPACING_S = 0.5
# Confirmations without a new version are announced less often; they only prevent fallback reads.
CONFIRMATION_SPACING_S = 2.0
# A new version is announced again after this time, because one announcement in twenty is lost.
REPEAT_AFTER_S = 1.0
GOSSIP_INTERVAL_S = 2.0
# A starting process gossips with `STARTING_PEERS` peers in each interval of this length.
STARTING_INTERVAL_S = 1.0
STARTING_PEERS = 3
# Every third gossip message is sent to another failure domain; every second one while a value is
# stale.
REMOTE_EVERY = 3
REMOTE_EVERY_STALE = 2


class Announcer:
    """Chooses the peers of each announcement.

    New versions spread down a tree; a process that read one from the platform announces it to the
    roots. Gossip with random peers repairs announcements that were lost.
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
        self._gossip_count = 0

    def version_changed(self) -> None:
        """Record that a version came into force."""
        self._version_changed = True

    def confirmation_changed(self, *, from_platform: bool) -> None:
        """Record a new confirmation, received from the platform or from a peer."""
        self._confirmation_changed = True
        self._from_platform = self._from_platform or from_platform

    def announce(self, now: float) -> tuple[ProcessId, ...]:
        """Return the peers to which the versions are announced now; empty if nothing is due."""
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
        """Return the random peers with which versions are exchanged now; empty if none is due."""
        interval_s = GOSSIP_INTERVAL_S if serving else STARTING_INTERVAL_S
        if self._gossip_at is None:
            self._gossip_at = now if not serving else now + interval_s * self._choice.fraction()
        if now < self._gossip_at or not self._topology.has_peers:
            return ()
        self._gossip_at = now + interval_s * (0.75 + 0.5 * self._choice.fraction())
        chosen = [self._next_peer(stale) for _ in range(1 if serving else STARTING_PEERS)]
        return tuple(dict.fromkeys(peer for peer in chosen if peer is not None))

    def _next_peer(self, stale: bool) -> ProcessId | None:
        self._gossip_count += 1
        every = REMOTE_EVERY_STALE if stale else REMOTE_EVERY
        return self._topology.random_peer(self._choice, remote=self._gossip_count % every == 0)
