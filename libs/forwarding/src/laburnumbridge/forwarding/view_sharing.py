"""Keeps the view of the fleet up to date, from the platform and from peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from laburnumbridge.catalog import NO_REVISION
from laburnumbridge.catalog import Catalog
from laburnumbridge.catalog import MalformedUpdateError
from laburnumbridge.catalog import UpdateDecoder
from laburnumbridge.catalog import encode_update
from laburnumbridge.catalog.reader_election import START_WAIT_S
from laburnumbridge.catalog.reader_election import ReaderElection
from laburnumbridge.core import Event
from laburnumbridge.core import hash64
from laburnumbridge.core import rendezvous_rank
from laburnumbridge.forwarding.endpoints import parse_endpoint
from laburnumbridge.forwarding.store_reader import StoreReader

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.catalog import CatalogUpdate
    from laburnumbridge.catalog import PlatformCodec
    from laburnumbridge.forwarding.decision_log import DecisionLog
    from laburnumbridge.forwarding.endpoints import Endpoint
    from laburnumbridge.forwarding.forwarding_settings import ForwardingSettings
    from laburnumbridge.forwarding.metrics import Metrics
    from laburnumbridge.forwarding.network import ByteStream
    from laburnumbridge.forwarding.network import Loop
    from laburnumbridge.forwarding.network import Network
    from laburnumbridge.forwarding.network import StreamEnd
    from laburnumbridge.forwarding.network import StreamListener

HEARTBEAT_INTERVAL_S = 0.5
"""Interval of heartbeats: a peer's view is older than its reader's by this at most."""
PEER_TIMEOUT_S = 2.5
"""A connection to a seed is closed after five heartbeat intervals without data."""
SEED_CONNECTIONS = 2
"""Seeds that a process is connected to; with two, the loss of one delays nothing."""
CONNECT_TIMEOUT_S = 0.4
"""An attempt to connect is given up after this. A connection takes 4 ms; a VM without power never
answers, and one that starts answers soon."""
REFUSED_RETRY_INTERVAL_S = 0.05
"""Least time between attempts to a seed whose VM runs while its process doesn't listen yet."""
RETRY_INTERVAL_S = 0.2
"""Least time between attempts to connect to a seed. After a loss of power all processes start at
once, and the first seed that is up serves them."""
SNAPSHOT_INTERVAL_S = 0.5
"""A peer that lags gets a snapshot once in this time at most; with 1,300 routes it has 100 KB."""
FIRST_VIEW_TIMEOUT_S = 0.5
"""A process without a view asks one peer at a time for it, and another one after this time."""
FIRST_VIEW_LONGEST_S = 2.0
"""Another peer is asked after this time also while the first one sends data, which may be other."""
FIRST_VIEW_MAX_WAIT_S = 0.3
"""A process that needs a view reads the platform if none has arrived for this long after a peer has
offered one. The answer takes 0.6 s on 5 Mbit/s, and packets of clients are kept for 1 s."""
FIRST_VIEW_SPREAD_S = 0.2
"""After a start of the whole fleet, which a seed without a view shows, processes that work without
one ask for it spread over this time: seeds on slow links serve balancers first in this way."""
UPKEEP_INTERVAL_S = 0.05


class _PeerLink:
    """A connection to a peer and its state; each side sends the updates that the other lacks."""

    def __init__(self, *, stream: ByteStream, endpoint: str, is_outgoing: bool, now: float) -> None:
        self.stream = stream
        self.endpoint = endpoint
        self.is_outgoing = is_outgoing
        self.is_connected = not is_outgoing
        self.has_received_update = False
        self.accepts_compressed = False
        self.configuration_version = 0
        self.last_active_at = now
        self.last_snapshot_at = -SNAPSHOT_INTERVAL_S
        self.last_requested_at = -SNAPSHOT_INTERVAL_S
        self.asked_for_view_at = -FIRST_VIEW_TIMEOUT_S
        self.has_view = False
        self.updates = UpdateDecoder()


class ViewSharing:
    """Merges updates into the catalog and sends what was new to all peers.

    Every process is connected to two seeds. Changes are sent over all connections, and a peer whose
    revision is older gets the whole view, so a seed that restarts gets it from the first process
    that connects and has one.
    """

    def __init__(
        self,
        *,
        loop: Loop,
        network: Network,
        settings: ForwardingSettings,
        codec: PlatformCodec,
        log: DecisionLog,
        metrics: Metrics,
        on_change: Callable[[CatalogUpdate], None],
        started_at: float,
    ) -> None:
        self._started_at = started_at
        self.catalog = Catalog()
        self._loop = loop
        self._network = network
        self._settings = settings
        self._log = log
        self._metrics = metrics
        self._on_change = on_change
        # Keeps the order of connecting, so that simulated runs repeat exactly.
        self._links: dict[_PeerLink, None] = {}
        self._retry_at_by_seed: dict[str, float] = {}
        self._refused_since_by_seed: dict[str, float] = {}
        self._election = ReaderElection(
            process=settings.process, needs_view=settings.upstream is None, now=loop.now()
        )
        self._reader = StoreReader(
            loop=loop,
            network=network,
            catalog=self.catalog,
            codec=codec,
            endpoint=settings.platform,
            reader=self._election.reader_name(is_seed=self._is_seed),
            log=log,
            metrics=metrics,
            on_update=lambda update: self._propagate(update, None),
        )
        spread = hash64(settings.process.encode()) / (1 << 64)
        self._first_view_wait_s = 0.0 if settings.upstream is None else spread * FIRST_VIEW_SPREAD_S
        self._view_offered_at: float | None = None
        self._has_peer_without_view = False
        self._logged_revision = NO_REVISION
        self._logged_evacuations: frozenset[str] = frozenset()
        self._ignored_evacuations: frozenset[str] = frozenset()
        self._listener: StreamListener | None = None
        if settings.control_endpoint is not None:
            self._listener = network.listener(
                parse_endpoint(settings.control_endpoint), self._accept
            )

    @property
    def _is_seed(self) -> bool:
        return self._settings.control_endpoint in self._settings.seeds

    def start(self) -> None:
        """Listen for peers, connect to seeds, and read the platform if elected. Raises OSError."""
        if self._listener is not None:
            self._listener.start()
        self._upkeep()
        self._loop.call_every(UPKEEP_INTERVAL_S, self._upkeep)
        self._loop.call_every(HEARTBEAT_INTERVAL_S, self._send_heartbeats)

    def close(self) -> None:
        """Close all connections."""
        self._reader.close()
        if self._listener is not None:
            self._listener.close()
        for link in self._links:
            link.stream.close()
        self._links.clear()

    def reload(self, settings: ForwardingSettings) -> None:
        """Use the seeds of changed settings."""
        self._settings = settings

    def apply(self, update: CatalogUpdate) -> None:
        """Merge an update from neither the platform nor a peer, and send what was new to peers."""
        self._propagate(self.catalog.merge(update, self._loop.now()), None)

    def _upkeep(self) -> None:
        now = self._loop.now()
        for link in list(self._links):
            timeout_s = PEER_TIMEOUT_S if link.is_connected else CONNECT_TIMEOUT_S
            if link.is_outgoing and now - link.last_active_at > timeout_s:
                self._drop_link(link, "silent")
        applied = self.catalog.apply_held_changes(now)
        if applied.has_changes:
            self._propagate(applied, None)
        self._connect_seeds(now)
        self._ask_for_first_view(now)
        should_read = self._election.should_read(
            is_seed=self._is_seed, now=now
        ) or self._is_first_view_late(now)
        if should_read != self._reader.is_running:
            event = Event.READING_STARTED if should_read else Event.READING_STOPPED
            self._log.write(
                event,
                is_seed=self._is_seed,
                view_age_s=_rounded(self.catalog.confirmed_age_s(now)),
                revision=self.catalog.revision,
            )
            if should_read:
                self._reader.start()
            else:
                self._reader.stop()

    def _connect_seeds(self, now: float) -> None:
        outgoing_seeds = {link.endpoint for link in self._links if link.is_outgoing}
        other_seeds = [
            seed for seed in self._settings.seeds if seed != self._settings.control_endpoint
        ]
        ranked = rendezvous_rank(self._settings.process.encode(), other_seeds)
        for seed in sorted(ranked, key=lambda seed: self._has_refused_for_long(seed, now)):
            if len(outgoing_seeds) >= SEED_CONNECTIONS:
                return
            if seed in outgoing_seeds or self._retry_at_by_seed.get(seed, 0.0) > now:
                continue
            outgoing_seeds.add(seed)
            self._connect(seed, now)

    def _has_refused_for_long(self, seed: str, now: float) -> bool:
        """Return whether others are tried first, as the process there isn't only starting."""
        return now - self._refused_since_by_seed.get(seed, now) > START_WAIT_S

    def _connect(self, seed: str, now: float) -> None:
        self._retry_at_by_seed[seed] = now + RETRY_INTERVAL_S
        stream = self._network.connect(parse_endpoint(seed))
        link = _PeerLink(stream=stream, endpoint=seed, is_outgoing=True, now=now)
        stream.on_connected = lambda: self._on_connected(link)
        self._add(link)

    def _add(self, link: _PeerLink) -> None:
        self._links[link] = None
        link.stream.on_data = lambda data: self._on_data(link, data)
        link.stream.on_end = lambda end: self._on_end(link, end)

    def _on_connected(self, link: _PeerLink) -> None:
        link.is_connected = True
        self._refused_since_by_seed.pop(link.endpoint, None)
        link.last_active_at = self._loop.now()
        self._log.write(Event.PEER_CONNECTED, peer=link.endpoint, revision=self.catalog.revision)
        # A heartbeat without changes reports the revision of this process to the peer.
        self._send(link, self.catalog.heartbeat(self._loop.now()))

    def _accept(self, stream: ByteStream, endpoint: Endpoint) -> None:
        name = f"{endpoint[0]}:{endpoint[1]}"
        self._add(_PeerLink(stream=stream, endpoint=name, is_outgoing=False, now=self._loop.now()))

    def _on_end(self, link: _PeerLink, end: StreamEnd) -> None:
        if end.is_refused:
            self._refused_since_by_seed.setdefault(link.endpoint, self._loop.now())
            self._retry_at_by_seed[link.endpoint] = link.last_active_at + REFUSED_RETRY_INTERVAL_S
        self._drop_link(link, end.reason)

    def _drop_link(self, link: _PeerLink, reason: str) -> None:
        if link not in self._links:
            return
        del self._links[link]
        link.stream.close()
        if link.is_connected:
            self._log.write(Event.PEER_LOST, peer=link.endpoint, reason=reason)

    def _on_data(self, link: _PeerLink, data: bytes) -> None:
        link.last_active_at = self._loop.now()
        try:
            updates = link.updates.feed(data)
        except MalformedUpdateError as error:
            self._drop_link(link, str(error))
            return
        for update in updates:
            self._on_update(link, update)

    def _on_update(self, link: _PeerLink, update: CatalogUpdate) -> None:
        now = self._loop.now()
        link.accepts_compressed = update.accepts_compressed
        link.configuration_version = max(link.configuration_version, update.configuration_version)
        if update.configuration_version == 0:
            self._has_peer_without_view = True
        if update.confirmed_age_ms is not None:
            self._election.on_confirmed(update.confirmed_by, update.confirmed_age_ms / 1000, now)
        is_behind = (
            update.revision < self.catalog.revision
            or update.complete_revision < self.catalog.complete_revision
            or update.lacks_configuration
        )
        if is_behind and self._asks_for_first_view(link) and not update.lacks_configuration:
            # The peer has no view; it asks one of its peers, so that it gets the view only once.
            self._send(link, self.catalog.heartbeat(now))
        elif is_behind and now - link.last_snapshot_at > SNAPSHOT_INTERVAL_S:
            link.last_snapshot_at = now
            self._send(link, self._snapshot_for(update, now))
            link.configuration_version = self.catalog.configuration_version
        elif not link.has_received_update and not link.is_outgoing:
            # The peer isn't behind; if it is ahead, it answers the heartbeat with its view.
            self._send(link, self.catalog.heartbeat(now))
        link.has_received_update = True
        changes = self.catalog.merge(update, now)
        self._propagate(changes, link)
        self._send_kept_state(link, changes, update)
        if changes.lacks_configuration and self.catalog.configuration is None:
            link.has_view = True
            self._view_offered_at = self._view_offered_at or now
            self._ask_for_first_view(now)
        elif changes.lacks_configuration:
            self._send(link, replace(self.catalog.heartbeat(now), lacks_configuration=True))
        elif self.catalog.complete_revision < update.complete_revision:
            self._request_snapshot(link, now)

    def _send_kept_state(
        self, link: _PeerLink, changes: CatalogUpdate, update: CatalogUpdate
    ) -> None:
        """Tell a peer what this process knows of upstreams that the peer has from a copy.

        A peer that has just started doesn't know what the platform had confirmed before.
        """
        offered_by_name = {entry.name: entry for entry in update.entries}
        kept = tuple(
            entry
            for entry in changes.entries
            if entry.name in offered_by_name and offered_by_name[entry.name] != entry
        )
        departed = self.catalog.held_departures(update)
        if kept or departed:
            heartbeat = self.catalog.heartbeat(self._loop.now())
            self._send(link, replace(heartbeat, entries=kept, removals=departed))

    def _asks_for_first_view(self, link: _PeerLink) -> bool:
        """Return whether the peer has no view and asks for it when it is told that there is one."""
        has_view = self.catalog.configuration is not None
        return has_view and link.accepts_compressed and link.configuration_version == 0

    def _is_first_view_late(self, now: float) -> bool:
        """Return whether a process that needs a view should wait for its peers no longer."""
        if self.catalog.configuration is not None or self._settings.upstream is not None:
            return False
        offered_at = self._view_offered_at
        return offered_at is not None and now - offered_at > FIRST_VIEW_MAX_WAIT_S

    def _ask_for_first_view(self, now: float) -> None:
        """Ask a peer that has a view, unless the answer of another one is under way."""
        if self.catalog.configuration is not None or self._view_offered_at is None:
            return
        wait_s = self._first_view_wait_s if self._has_peer_without_view else 0.0
        if now - self._view_offered_at < wait_s:
            return
        links = [link for link in self._links if link.has_view and link.is_connected]
        if not links:
            return
        asked = max(links, key=lambda one: one.asked_for_view_at)
        # On a slow link the answer takes longer; another one would only be queued behind it.
        answering_at = min(asked.last_active_at, asked.asked_for_view_at + FIRST_VIEW_LONGEST_S)
        if now - max(asked.asked_for_view_at, answering_at) < FIRST_VIEW_TIMEOUT_S:
            return
        link = min(links, key=lambda one: (one.asked_for_view_at, one.endpoint))
        link.asked_for_view_at = now
        self._send(link, replace(self.catalog.heartbeat(now), lacks_configuration=True))

    def _request_snapshot(self, link: _PeerLink, now: float) -> None:
        """Tell a peer with a more complete view what this process has; it answers with its view."""
        if now - link.last_requested_at > SNAPSHOT_INTERVAL_S:
            link.last_requested_at = now
            self._send(link, self.catalog.heartbeat(now))

    def _snapshot_for(self, update: CatalogUpdate, now: float) -> CatalogUpdate:
        """Return the whole view, without the routes if the sender of ``update`` has them."""
        snapshot = self.catalog.snapshot(now)
        version = self.catalog.configuration_version
        if update.configuration_version == version and not update.lacks_configuration:
            return replace(snapshot, configuration=None)
        return snapshot

    def _propagate(self, update: CatalogUpdate, source: _PeerLink | None) -> None:
        """Log ``update``, call ``on_change`` with it and send it to all peers except ``source``."""
        if not update.has_changes:
            return
        source_name = "platform" if source is None else source.endpoint
        self._log_restore(source_name)
        self._log_changes(update, source_name)
        self._log_evacuations(source_name)
        self._on_change(update)
        now = self._loop.now()
        heartbeat = self.catalog.heartbeat(now)
        news = replace(
            heartbeat,
            complete_since=update.complete_since,
            complete_revision=update.complete_revision,
            present=update.present,
            entries=update.entries,
            removals=update.removals,
            configuration=update.configuration,
            configuration_change=update.configuration_change,
            has_evacuation_change=update.has_evacuation_change,
        )
        version = self.catalog.configuration_version
        data_by_form: dict[tuple[bool, bool], bytes] = {}
        for link in list(self._links):
            if link is source or not link.is_connected:
                continue
            if self._asks_for_first_view(link):
                self._send(link, heartbeat)
                continue
            form = (link.accepts_compressed, link.configuration_version >= version)
            if form not in data_by_form:
                is_known = form[1]  # the peer has the configuration, perhaps from another process
                configuration = None if is_known else update.configuration
                data_by_form[form] = encode_update(
                    replace(news, configuration=configuration), compress=link.accepts_compressed
                )
            link.stream.send(data_by_form[form])
            if update.configuration is not None:
                link.configuration_version = max(link.configuration_version, version)

    def _log_restore(self, source: str) -> None:
        """Log that the view has changed to a new era of the platform, except for the first one."""
        revision, previous = self.catalog.revision, self._logged_revision
        if previous > NO_REVISION and previous.era < revision.era:
            self._log.write(
                Event.PLATFORM_RESTORED, revision=revision, previous=previous, source=source
            )
        self._logged_revision = revision

    def _log_changes(self, update: CatalogUpdate, source: str) -> None:
        configuration = self.catalog.configuration
        if configuration is not None and (update.configuration or update.configuration_change):
            self._log.write(
                Event.LIST_IN_FORCE,
                version=configuration.version,
                routes=len(configuration.routes),
                source=source,
                since_start_s=round(self._loop.now() - self._started_at, 3),
            )
        for entry in update.entries:
            self._log.write(
                Event.UPSTREAM_CHANGED,
                outcome="draining" if entry.is_draining else "ready",
                upstream=entry.name,
                service=entry.service,
                agent=entry.address,
                started_ms=entry.started_ms,
                revision=entry.revision,
                source=source,
            )
        for removal in update.removals:
            self._log.write(
                Event.UPSTREAM_CHANGED,
                outcome="removed",
                upstream=removal.name,
                revision=removal.revision,
                source=source,
            )

    def _log_evacuations(self, source: str) -> None:
        """Log domains that are evacuated or taken back, and unknown ones that have no effect."""
        register = self.catalog.evacuations
        evacuated = self.catalog.evacuated_domains
        logged = self._logged_evacuations | self._ignored_evacuations
        if register is None or not (evacuated or logged):
            return
        known = {self._settings.failure_domain, *(self._settings.failure_domains or ())}
        if evacuated - known:
            known |= {entry.failure_domain for entry in self.catalog.entry_by_name.values()}
        # A reader has the operator's items before it has the upstreams.
        unknown = evacuated - known if self.catalog.is_ready else frozenset[str]()
        for domain in sorted(unknown - self._ignored_evacuations):
            reason = "no upstream and no setting names this failure domain"
            self._log.write(Event.ITEM_IGNORED, key=domain, reason=reason)
        self._ignored_evacuations = unknown
        evacuated &= known
        for domain in sorted(evacuated ^ self._logged_evacuations):
            is_evacuated = domain in evacuated
            self._log.write(
                Event.EVACUATION_CHANGED,
                outcome="evacuated" if is_evacuated else "taken_back",
                failure_domain=domain,
                revision=register.revision,
                source=source,
            )
            name = f'failure_domain_evacuated{{domain="{_label(domain)}"}}'
            self._metrics.gauge(name, is_evacuated)
        self._logged_evacuations = evacuated
        self._metrics.gauge("failure_domains_evacuated", len(evacuated))

    def _send_heartbeats(self) -> None:
        now = self._loop.now()
        data = encode_update(self.catalog.heartbeat(now))
        for link in list(self._links):
            if not link.is_outgoing:
                link.stream.send(data)
        age_s = self.catalog.confirmed_age_s(now)
        if age_s is not None:
            self._metrics.gauge("view_age_seconds", age_s)

    @staticmethod
    def _send(link: _PeerLink, update: CatalogUpdate) -> None:
        link.stream.send(encode_update(update, compress=link.accepts_compressed))


def _label(text: str) -> str:
    """Return ``text`` as the value of a label; special characters are replaced by ``?``."""
    return "".join(one if " " <= one <= "~" and one not in '"\\' else "?" for one in text)


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
