"""Encoding of the catalog updates that processes exchange."""

from __future__ import annotations

import zlib

import msgspec

from laburnumbridge.catalog.errors import MalformedUpdateError
from laburnumbridge.catalog.records import CatalogUpdate

LENGTH_BYTES = 4
MAX_UPDATE_BYTES = 8 << 20
"""Far above 8,500 entries of about 200 bytes each; a larger length means a corrupt stream."""
COMPRESSED_FLAG = 1 << 31
"""Bit of the length that marks a compressed body. Versions that don't know it end the connection,
so it is sent only to peers that have announced ``accepts_compressed``."""
MIN_COMPRESSED_BYTES = 1_024
"""Heartbeats and changes of single entries fit in one packet anyway."""
COMPRESSION_LEVEL = 1

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(CatalogUpdate)


def encode_update(update: CatalogUpdate, *, compress: bool = False) -> bytes:
    """Return the encoded update, prefixed with its length; ``compress`` applies to long ones."""
    body = _encoder.encode(update)
    flag = 0
    if compress and len(body) >= MIN_COMPRESSED_BYTES:
        body = zlib.compress(body, COMPRESSION_LEVEL)
        flag = COMPRESSED_FLAG
    return (len(body) | flag).to_bytes(LENGTH_BYTES, "big") + body


def _inflate(body: bytes) -> bytes:
    """Return the inflated body. Raises MalformedUpdateError, also if it exceeds the bound."""
    inflater = zlib.decompressobj()
    try:
        inflated = inflater.decompress(body, MAX_UPDATE_BYTES)
    except zlib.error as error:
        raise MalformedUpdateError(reason=str(error)) from error
    if not inflater.eof or inflater.unused_data:
        raise MalformedUpdateError(reason=f"compressed body of {len(body)} bytes")
    return inflated


class UpdateDecoder:
    """Splits a byte stream into updates and decodes them."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[CatalogUpdate]:
        """Add ``data`` and return the updates completed by it. Raises MalformedUpdateError."""
        self._buffer += data
        updates = []
        while len(self._buffer) >= LENGTH_BYTES:
            prefix = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
            length = prefix & ~COMPRESSED_FLAG
            if length > MAX_UPDATE_BYTES:
                raise MalformedUpdateError(reason=f"length {length}")
            if len(self._buffer) < LENGTH_BYTES + length:
                break
            body = bytes(self._buffer[LENGTH_BYTES : LENGTH_BYTES + length])
            del self._buffer[: LENGTH_BYTES + length]
            if prefix & COMPRESSED_FLAG:
                body = _inflate(body)
            try:
                updates.append(_decoder.decode(body))
            except (msgspec.MsgspecError, RecursionError) as error:
                raise MalformedUpdateError(reason=str(error)) from error
        return updates
