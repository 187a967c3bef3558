"""The connections of one upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.admission.events import ConnectionId


class ConnectionPlaces:
    """Counts open connections and streams against one limit.

    A connection with n streams takes max(1, n) places. A stream without a connection, or whose
    connection has closed, takes its own place until it ends.
    """

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self._open: set[ConnectionId] = set()
        self._streams_by_id: dict[ConnectionId | None, int] = {}

    def is_open(self, connection_id: ConnectionId) -> bool:
        """Return whether the connection was accepted and has not closed."""
        return connection_id in self._open

    def open(self, connection_id: ConnectionId) -> bool:
        """Take a place for a new connection; return whether there was one."""
        if self.used >= self.limit:
            return False
        before = self._places(connection_id)
        self._open.add(connection_id)
        self.used += self._places(connection_id) - before
        return True

    def close(self, connection_id: ConnectionId) -> None:
        """Give back the place of a connection that its streams do not use."""
        before = self._places(connection_id)
        self._open.discard(connection_id)
        self.used += self._places(connection_id) - before

    def open_stream(self, connection_id: ConnectionId | None) -> bool:
        """Take a place for a stream; return whether there was one."""
        streams = self._streams_by_id.get(connection_id, 0)
        is_covered = streams == 0 and connection_id in self._open
        if not is_covered and self.used >= self.limit:
            return False
        self._streams_by_id[connection_id] = streams + 1
        self.used += 0 if is_covered else 1
        return True

    def close_stream(self, connection_id: ConnectionId | None) -> None:
        """Give back the place of a stream."""
        before = self._places(connection_id)
        self._streams_by_id[connection_id] -= 1
        if not self._streams_by_id[connection_id]:
            del self._streams_by_id[connection_id]
        self.used += self._places(connection_id) - before

    def _places(self, connection_id: ConnectionId | None) -> int:
        streams = self._streams_by_id.get(connection_id, 0)
        return max(streams, 1 if connection_id in self._open else 0)
