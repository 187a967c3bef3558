"""Encoding of the catalog updates that processes exchange."""

from __future__ import annotations

import msgspec

from laburnumbridge.catalog.errors import MalformedUpdateError
from laburnumbridge.catalog.records import CatalogUpdate

LENGTH_BYTES = 4
MAX_UPDATE_BYTES = 8 << 20
"""Far above 8,500 entries of about 200 bytes each; a larger length means a corrupt stream."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(CatalogUpdate)


def encode_update(update: CatalogUpdate) -> bytes:
    """Return the encoded update, prefixed with its length."""
    body = _encoder.encode(update)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


class UpdateDecoder:
    """Splits a byte stream into updates and decodes them."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[CatalogUpdate]:
        """Add ``data`` and return the updates completed by it. Raises MalformedUpdateError."""
        self._buffer += data
        updates = []
        while len(self._buffer) >= LENGTH_BYTES:
            length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
            if length > MAX_UPDATE_BYTES:
                raise MalformedUpdateError(reason=f"length {length}")
            if len(self._buffer) < LENGTH_BYTES + length:
                break
            body = bytes(self._buffer[LENGTH_BYTES : LENGTH_BYTES + length])
            del self._buffer[: LENGTH_BYTES + length]
            try:
                updates.append(_decoder.decode(body))
            except (msgspec.MsgspecError, RecursionError) as error:
                raise MalformedUpdateError(reason=str(error)) from error
        return updates
