"""The difference between two versions of a value."""

from __future__ import annotations

import msgspec

from laburnumbridge.configuration.errors import MalformedDeltaError


class Upsert(msgspec.Struct, array_like=True, frozen=True):
    """An entry to replace in place, or to insert after ``predecessor`` (at the start if None)."""

    name: str
    entry: bytes
    predecessor: str | None = None


class FieldDelta(msgspec.Struct, array_like=True, frozen=True):
    """The change of one top-level field.

    ``whole`` replaces the field. If it is None, ``upserts`` and ``removals`` change entries by
    name.
    """

    field: str
    whole: bytes | None = None
    upserts: tuple[Upsert, ...] = ()
    removals: tuple[str, ...] = ()


class ValueDelta(msgspec.Struct, array_like=True, frozen=True):
    """Changed and removed top-level fields.

    Applying a delta twice, or to a version between its old and new one, gives the same result
    unless an entry returned to earlier content; the digest of the result detects that.
    """

    fields: tuple[FieldDelta, ...] = ()
    removed_fields: tuple[str, ...] = ()

    def encode(self) -> bytes:
        """Return the delta as msgpack."""
        return _ENCODER.encode(self)

    @classmethod
    def decode(cls, data: bytes) -> ValueDelta:
        """Decode the msgpack of a delta.

        Raises MalformedDeltaError.
        """
        try:
            return _DECODER.decode(data)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise MalformedDeltaError(cause=str(error)) from error


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ValueDelta)
