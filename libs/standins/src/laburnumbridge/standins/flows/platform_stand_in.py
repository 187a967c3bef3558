"""A stand-in for the platform's store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import parse_qs
from urllib.parse import urlsplit

import h11
import msgspec
from msgspec.structs import replace

from laburnumbridge.catalog import EvacuationChange
from laburnumbridge.catalog import Listing
from laburnumbridge.catalog import PlatformCodec
from laburnumbridge.catalog import PlatformItems
from laburnumbridge.catalog import PlatformRefusedError
from laburnumbridge.catalog import Revision
from laburnumbridge.catalog import RevisionCompactedError
from laburnumbridge.catalog import RoutingConfiguration
from laburnumbridge.catalog import UpstreamEntry
from laburnumbridge.catalog import UpstreamRemoval

if TYPE_CHECKING:
    from collections.abc import Mapping

    from laburnumbridge.forwarding.endpoints import Endpoint
    from laburnumbridge.forwarding.network import ByteStream
    from laburnumbridge.forwarding.network import Loop
    from laburnumbridge.forwarding.network import Network

ANSWER_DELAY_S = 0.004
ERA_HEADER = "platform-era"


@dataclass(frozen=True, kw_only=True)
class _Body:
    """The body of an answer; the era of its revisions is that of the header."""

    revision: Revision
    entries: list[UpstreamEntry]
    removals: list[UpstreamRemoval]
    configuration: RoutingConfiguration | None
    evacuation_changes: list[EvacuationChange]


@dataclass(frozen=True, kw_only=True)
class PlatformCopy:
    """The state of the stand-in at one moment."""

    revision: int
    entry_by_name: dict[str, UpstreamEntry]
    configuration: RoutingConfiguration | None
    configuration_revision: int
    removals: tuple[UpstreamRemoval, ...]
    evacuation_by_domain: dict[str, tuple[EvacuationChange, int]]


class StandInPlatformCodec(PlatformCodec):
    """Targets and JSON bodies of the calls to the stand-in."""

    def listing_target(self, listing: Listing, after: str | None) -> str:
        """Return the target of a listing; all items are on one page, so ``after`` isn't used."""
        return f"/list?what={listing.value}"

    def watch_target(self, after_revision: int, wait_ms: int) -> str:
        """Return the target of a watch that ends after ``wait_ms`` without a change."""
        return f"/watch?after={after_revision}&wait_ms={wait_ms}"

    def decode_listing(self, status: int, headers: Mapping[str, str], body: bytes) -> PlatformItems:
        """Decode an answer."""
        if status == 410:
            raise RevisionCompactedError(status=status)
        if status != 200:
            raise PlatformRefusedError(status=status)
        decoded = msgspec.json.decode(body, type=_Body)
        era = int(headers[ERA_HEADER])
        return PlatformItems(
            revision=decoded.revision._replace(era=era),
            entries=tuple(
                replace(entry, revision=entry.revision._replace(era=era))
                for entry in decoded.entries
            ),
            removals=tuple(
                replace(removal, revision=removal.revision._replace(era=era))
                for removal in decoded.removals
            ),
            configuration=decoded.configuration,
            evacuation_changes=tuple(decoded.evacuation_changes),
        )

    def decode_watch(self, status: int, headers: Mapping[str, str], body: bytes) -> PlatformItems:
        """Decode an answer."""
        return self.decode_listing(status, headers, body)


class PlatformStandIn:
    """Holds entries and the configuration at revisions, and answers listings and watches.

    Calls from addresses in ``refused`` are answered with 503, those from addresses in
    ``unresponsive`` aren't answered, and with ``is_unresponsive`` no call is. ``calls`` counts
    calls by address.
    """

    def __init__(self, *, loop: Loop, network: Network, endpoint: Endpoint) -> None:
        self._loop = loop
        self._listener = network.listener(endpoint, self._accept)
        self.revision = 1
        self.era = 1
        self.entry_by_name: dict[str, UpstreamEntry] = {}
        self.configuration: RoutingConfiguration | None = None
        self._configuration_revision = 0
        self._removals: list[UpstreamRemoval] = []
        self._evacuation_by_domain: dict[str, tuple[EvacuationChange, int]] = {}
        self._oldest_revision = 0
        self._waiting_watches: list[_Connection] = []
        self.is_unresponsive = False
        self.refused: set[str] = set()
        self.unresponsive: set[str] = set()
        self.calls: dict[str, int] = {}

    @property
    def _current(self) -> Revision:
        return Revision(self.era, self.revision)

    def start(self) -> None:
        """Listen."""
        self._listener.start()

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    def put(self, entry: UpstreamEntry) -> None:
        """Write an entry at a new revision and answer the watches."""
        self.revision += 1
        self.entry_by_name[entry.name] = replace(entry, revision=self._current)
        self._answer_watches()

    def remove(self, name: str) -> None:
        """Remove an entry at a new revision and answer the watches."""
        self.revision += 1
        self.entry_by_name.pop(name, None)  # a copy may lack it
        self._removals.append(UpstreamRemoval(name=name, revision=self._current))
        self._answer_watches()

    def configure(self, configuration: RoutingConfiguration) -> None:
        """Publish a configuration at a new revision and answer the watches."""
        self.revision += 1
        self.configuration = configuration
        self._configuration_revision = self.revision
        self._answer_watches()

    def evacuate(self, domain: str, *, is_evacuated: bool = True) -> None:
        """Write or remove the item that evacuates ``domain``, and answer the watches."""
        self.revision += 1
        change = EvacuationChange(domain=domain, is_evacuated=is_evacuated)
        self._evacuation_by_domain[domain] = (change, self.revision)
        self._answer_watches()

    def forget_removed_evacuations(self) -> None:
        """Drop the removals of evacuations from the history."""
        self._evacuation_by_domain = {
            domain: written
            for domain, written in self._evacuation_by_domain.items()
            if written[0].is_evacuated
        }

    def compact(self) -> None:
        """Compact the history; watches from earlier revisions, also waiting ones, get 410."""
        self._oldest_revision = self.revision + 1
        self.revision += 1
        self._answer_watches()

    def copy(self) -> PlatformCopy:
        """Return a copy of the state, to ``restore`` the platform from."""
        return PlatformCopy(
            revision=self.revision,
            entry_by_name=dict(self.entry_by_name),
            configuration=self.configuration,
            configuration_revision=self._configuration_revision,
            removals=tuple(self._removals),
            evacuation_by_domain=dict(self._evacuation_by_domain),
        )

    def restore(self, copy: PlatformCopy) -> None:
        """Return to the state of ``copy`` in a new era; waiting watches get no answer."""
        self.era += 1
        self.revision = copy.revision
        self.entry_by_name = dict(copy.entry_by_name)
        self.configuration = copy.configuration
        self._configuration_revision = copy.configuration_revision
        self._removals = list(copy.removals)
        self._evacuation_by_domain = dict(copy.evacuation_by_domain)
        self._waiting_watches.clear()

    def changes_after(self, revision: int) -> bytes | None:
        """Return the body with the changes after ``revision``, or None if there are none."""
        body = _Body(
            revision=self._current,
            entries=[
                entry for entry in self.entry_by_name.values() if entry.revision.number > revision
            ],
            removals=[removal for removal in self._removals if removal.revision.number > revision],
            configuration=(self.configuration if self._configuration_revision > revision else None),
            evacuation_changes=[
                change
                for change, changed in self._evacuation_by_domain.values()
                if changed > revision
            ],
        )
        has_changes = body.entries or body.removals or body.evacuation_changes
        if not has_changes and body.configuration is None:
            return None
        return msgspec.json.encode(body)

    def empty_body(self) -> bytes:
        """Return the body of a watch that ends without a change."""
        return msgspec.json.encode(
            _Body(
                revision=self._current,
                entries=[],
                removals=[],
                configuration=None,
                evacuation_changes=[],
            )
        )

    def answer(self, connection: _Connection, target: str) -> None:
        """Answer one call, or keep it as a waiting watch."""
        address = connection.address
        self.calls[address] = self.calls.get(address, 0) + 1
        if self.is_unresponsive or address in self.unresponsive:
            return
        if address in self.refused:
            connection.schedule_answer(503, b"{}")
            return
        parts = urlsplit(target)
        query = parse_qs(parts.query)
        if parts.path == "/list":
            listing = Listing(query["what"][0])
            is_upstreams = listing is Listing.UPSTREAMS
            body = _Body(
                revision=self._current,
                entries=list(self.entry_by_name.values()) if is_upstreams else [],
                removals=[],
                configuration=None if is_upstreams else self.configuration,
                evacuation_changes=[
                    change
                    for change, _ in self._evacuation_by_domain.values()
                    if change.is_evacuated and not is_upstreams
                ],
            )
            connection.schedule_answer(200, msgspec.json.encode(body))
            return
        connection.after = int(query["after"][0])
        if not self._oldest_revision <= connection.after <= self.revision:
            connection.schedule_answer(410, b"{}")
            return
        changes = self.changes_after(connection.after)
        if changes is not None:
            connection.schedule_answer(200, changes)
            return
        connection.deadline = self._loop.now() + int(query["wait_ms"][0]) / 1000
        self._waiting_watches.append(connection)
        self._loop.call_later(int(query["wait_ms"][0]) / 1000, lambda: self._expire(connection))

    def _answer_watches(self) -> None:
        watches, self._waiting_watches = self._waiting_watches, []
        for connection in watches:
            if self.is_unresponsive or connection.address in self.unresponsive:
                continue
            if connection.after < self._oldest_revision:
                connection.schedule_answer(410, b"{}")
                continue
            changes = self.changes_after(connection.after)
            if changes is None:
                self._waiting_watches.append(connection)
            else:
                connection.schedule_answer(200, changes)

    def _expire(self, connection: _Connection) -> None:
        if connection in self._waiting_watches and connection.deadline <= self._loop.now() + 1e-9:
            self._waiting_watches.remove(connection)
            if not self.is_unresponsive and connection.address not in self.unresponsive:
                connection.schedule_answer(200, self.empty_body())

    def _accept(self, stream: ByteStream, endpoint: Endpoint) -> None:
        _Connection(platform=self, loop=self._loop, stream=stream, address=endpoint[0])


class _Connection:
    def __init__(
        self,
        *,
        platform: PlatformStandIn,
        loop: Loop,
        stream: ByteStream,
        address: str,
    ) -> None:
        self._platform = platform
        self._loop = loop
        self._stream = stream
        self.address = address
        self.after = 0
        self.deadline = 0.0
        self._protocol = h11.Connection(h11.SERVER)
        stream.on_data = self._on_data

    def _on_data(self, data: bytes) -> None:
        self._protocol.receive_data(data)
        target = ""
        while True:
            event = self._protocol.next_event()
            if isinstance(event, h11.Request):
                target = event.target.decode()
            elif isinstance(event, h11.EndOfMessage):
                self._platform.answer(self, target)
            else:
                return

    def schedule_answer(self, status: int, body: bytes) -> None:
        """Send the answer after ``ANSWER_DELAY_S``."""

        def answer() -> None:
            headers = [
                ("Content-Length", str(len(body))),
                (ERA_HEADER, str(self._platform.era)),
            ]
            parts = [
                h11.Response(status_code=status, headers=headers),
                h11.Data(data=body),
                h11.EndOfMessage(),
            ]
            data = b"".join(self._protocol.send(part) or b"" for part in parts)
            self._protocol.start_next_cycle()
            self._stream.send(data)

        self._loop.call_later(ANSWER_DELAY_S, answer)
