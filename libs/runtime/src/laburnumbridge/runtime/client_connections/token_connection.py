"""A QUIC connection whose IDs carry routing tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioquic.quic.connection import QuicConnection
from aioquic.quic.connection import QuicConnectionId

if TYPE_CHECKING:
    from aioquic.quic.configuration import QuicConfiguration

    from laburnumbridge.runtime.client_connections.connection_id_issuer import ConnectionIdIssuer

MAX_CONNECTION_IDS = 8


class TokenConnection(QuicConnection):
    """Server side of a connection; replaces the random IDs that aioquic generates.

    aioquic has no public hook for connection IDs. It generates the first one in the constructor
    and the others in ``_replenish_connection_ids``; a test fails if a new version changes that.
    """

    def __init__(
        self,
        *,
        configuration: QuicConfiguration,
        original_destination_id: bytes,
        issuer: ConnectionIdIssuer,
    ) -> None:
        super().__init__(
            configuration=configuration,
            original_destination_connection_id=original_destination_id,
        )
        self._issuer = issuer
        issued = issuer.issue()
        first = self._host_cids[0]
        first.cid = issued.connection_id
        first.stateless_reset_token = issued.reset_token
        self.host_cid = issued.connection_id
        self._local_initial_source_connection_id = issued.connection_id

    def _replenish_connection_ids(self) -> None:
        wanted = min(MAX_CONNECTION_IDS, self._remote_active_connection_id_limit)
        while len(self._host_cids) < wanted:
            issued = self._issuer.issue()
            self._host_cids.append(
                QuicConnectionId(
                    cid=issued.connection_id,
                    sequence_number=self._host_cid_seq,
                    stateless_reset_token=issued.reset_token,
                )
            )
            self._host_cid_seq += 1
