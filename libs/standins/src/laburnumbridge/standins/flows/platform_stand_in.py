"""A stand-in for the platform's store."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from urllib.parse import parse_qs
from urllib.parse import urlsplit

import h11
import msgspec

from laburnumbridge.catalog import Listing
from laburnumbridge.catalog import PlatformCodec
from laburnumbridge.catalog import PlatformItems
from laburnumbridge.catalog import PlatformRefusedError
from laburnumbridge.catalog import RevisionCompactedError
from laburnumbridge.catalog import RoutingConfiguration
from laburnumbridge.catalog import UpstreamEntry
from laburnumbridge.catalog import UpstreamRemoval

if TYPE_CHECKING:
    from laburnumbridge.forwarding.endpoints import Endpoint
    from laburnumbridge.forwarding.network import ByteStream
    from laburnumbridge.forwarding.network import Loop
    from laburnumbridge.forwarding.network import Network

ANSWER_S = 0.004


@dataclass(frozen=True, kw_only=True)
class _Body:
    """The body of an answer."""

    revision: int
    entries: list[UpstreamEntry]
    removals: list[UpstreamRemoval]
    configuration: RoutingConfiguration | None


class StandInPlatformCodec(PlatformCodec):
    """Calls of the stand-in."""

    def listing_target(self, listing: Listing, after: str | None) -> str:
        """Return the target of a listing, which has one page."""
        return f"/list?what={listing.value}"

    def watch_target(self, after_revision: int, wait_ms: int) -> str:
        """Return the target of a watch."""
        return f"/watch?after={after_revision}&wait_ms={wait_ms}"

    def decode_listing(self, status: int, body: bytes) -> PlatformItems:
        """Decode an answer."""
        if status == 410:
            raise RevisionCompactedError(status=status)
        if status != 200:
            raise PlatformRefusedError(status=status)
        decoded = msgspec.json.decode(body, type=_Body)
        return PlatformItems(
            revision=decoded.revision,
            entries=tuple(decoded.entries),
            removals=tuple(decoded.removals),
            configuration=decoded.configuration,
        )

    def decode_watch(self, status: int, body: bytes) -> PlatformItems:
        """Decode an answer."""
        return self.decode_listing(status, body)


class PlatformStandIn:
    """Holds entries and the configuration at revisions, and answers listings and watches.

    ``refused`` holds addresses that get 503, ``unresponsive`` those that get no answer; with
    ``is_unresponsive`` nobody gets one. ``calls`` counts calls by address.
    """

    def __init__(self, *, loop: Loop, network: Network, endpoint: Endpoint) -> None:
        self._loop = loop
        self._listener = network.listener(endpoint, self._accept)
        self.revision = 1
        self.entry_by_name: dict[str, UpstreamEntry] = {}
        self.configuration: RoutingConfiguration | None = None
        self._configuration_revision = 0
        self._removals: list[UpstreamRemoval] = []
        self._history_from = 0
        self._waiting: list[_Connection] = []
        self.is_unresponsive = False
        self.refused: set[str] = set()
        self.unresponsive: set[str] = set()
        self.calls: dict[str, int] = {}

    def start(self) -> None:
        """Listen."""
        self._listener.start()

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    def put(self, entry: UpstreamEntry) -> None:
        """Write an entry at a new revision."""
        self.revision += 1
        self.entry_by_name[entry.name] = replace(entry, revision=self.revision)
        self._wake()

    def remove(self, name: str) -> None:
        """Remove an entry."""
        self.revision += 1
        del self.entry_by_name[name]
        self._removals.append(UpstreamRemoval(name=name, revision=self.revision))
        self._wake()

    def configure(self, configuration: RoutingConfiguration) -> None:
        """Publish a configuration."""
        self.revision += 1
        self.configuration = configuration
        self._configuration_revision = self.revision
        self._wake()

    def compact(self) -> None:
        """Forget the history: waiting watches and those from before get 410."""
        self._history_from = self.revision + 1
        self.revision += 1
        self._wake()

    def changes_after(self, revision: int) -> bytes | None:
        """Return the body for a watch, or None while there is nothing new."""
        body = _Body(
            revision=self.revision,
            entries=[one for one in self.entry_by_name.values() if one.revision > revision],
            removals=[one for one in self._removals if one.revision > revision],
            configuration=(self.configuration if self._configuration_revision > revision else None),
        )
        if not body.entries and not body.removals and body.configuration is None:
            return None
        return msgspec.json.encode(body)

    def empty_body(self) -> bytes:
        """Return the body of a watch that ends without a change."""
        return msgspec.json.encode(
            _Body(revision=self.revision, entries=[], removals=[], configuration=None)
        )

    def answer(self, connection: _Connection, target: str) -> None:
        """Handle one call."""
        address = connection.address
        self.calls[address] = self.calls.get(address, 0) + 1
        if self.is_unresponsive or address in self.unresponsive:
            return
        if address in self.refused:
            connection.answer_later(503, b"{}")
            return
        parts = urlsplit(target)
        query = parse_qs(parts.query)
        if parts.path == "/list":
            listing = Listing(query["what"][0])
            is_upstreams = listing is Listing.UPSTREAMS
            body = _Body(
                revision=self.revision,
                entries=list(self.entry_by_name.values()) if is_upstreams else [],
                removals=[],
                configuration=None if is_upstreams else self.configuration,
            )
            connection.answer_later(200, msgspec.json.encode(body))
            return
        connection.after = int(query["after"][0])
        if connection.after < self._history_from:
            connection.answer_later(410, b"{}")
            return
        changes = self.changes_after(connection.after)
        if changes is not None:
            connection.answer_later(200, changes)
            return
        connection.deadline = self._loop.now() + int(query["wait_ms"][0]) / 1000
        self._waiting.append(connection)
        self._loop.call_later(int(query["wait_ms"][0]) / 1000, lambda: self._expire(connection))

    def _wake(self) -> None:
        waiting, self._waiting = self._waiting, []
        for connection in waiting:
            if self.is_unresponsive or connection.address in self.unresponsive:
                continue
            if connection.after < self._history_from:
                connection.answer_later(410, b"{}")
                continue
            changes = self.changes_after(connection.after)
            if changes is None:
                self._waiting.append(connection)
            else:
                connection.answer_later(200, changes)

    def _expire(self, connection: _Connection) -> None:
        if connection in self._waiting and connection.deadline <= self._loop.now() + 1e-9:
            self._waiting.remove(connection)
            if not self.is_unresponsive and connection.address not in self.unresponsive:
                connection.answer_later(200, self.empty_body())

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

    def answer_later(self, status: int, body: bytes) -> None:
        """Answer after the time that the platform takes."""

        def answer() -> None:
            headers = [("Content-Length", str(len(body)))]
            parts = [
                h11.Response(status_code=status, headers=headers),
                h11.Data(data=body),
                h11.EndOfMessage(),
            ]
            data = b"".join(self._protocol.send(part) or b"" for part in parts)
            self._protocol.start_next_cycle()
            self._stream.send(data)

        self._loop.call_later(ANSWER_S, answer)
