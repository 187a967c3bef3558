"""A value split into entries, so that versions can be compared and patched.

Entries are stored as encoded bytes: a list of 1 MB takes about 2 MB this way. As Python objects it
would take about ten times as much, which would exceed a node's 32 MB.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec
import xxhash

from laburnumbridge.configuration.errors import MalformedDeltaError
from laburnumbridge.configuration.errors import MalformedValueError
from laburnumbridge.configuration.value_delta import FieldDelta
from laburnumbridge.configuration.value_delta import Upsert
from laburnumbridge.configuration.value_delta import ValueDelta

if TYPE_CHECKING:
    from collections.abc import Mapping

Entries = dict[str, bytes]

_ENCODER = msgspec.json.Encoder(order="sorted")
_DECODER = msgspec.json.Decoder(dict[str, Any])


class ValueDocument:
    """A JSON object in canonical form: sorted keys, no white space, lists in their order.

    A list whose entries are objects with distinct ``name`` members is stored as entries by name;
    every other field is stored as one encoded text.
    """

    __slots__ = ("_content_by_field",)

    def __init__(self, *, content_by_field: Mapping[str, bytes | Entries]) -> None:
        self._content_by_field = content_by_field

    @classmethod
    def parse(cls, payload: bytes) -> ValueDocument:
        """Parse a JSON object.

        Raises MalformedValueError.
        """
        try:
            decoded = _DECODER.decode(payload)
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
            raise MalformedValueError(cause=str(error)) from error
        content = {field: _split(decoded[field]) for field in sorted(decoded)}
        return cls(content_by_field=content)

    def encode(self) -> bytes:
        """Return the canonical JSON text."""
        parts = [
            _ENCODER.encode(field) + b":" + _join(content)
            for field, content in self._content_by_field.items()
        ]
        return b"{" + b",".join(parts) + b"}"

    def delta_to(self, newer: ValueDocument) -> ValueDelta:
        """Return the delta that turns this document into ``newer``."""
        old_by_field = self._content_by_field
        new_by_field = newer._content_by_field
        changed = [
            _field_delta(field, old_by_field.get(field), content)
            for field, content in new_by_field.items()
            if old_by_field.get(field) != content
        ]
        removed = tuple(field for field in old_by_field if field not in new_by_field)
        return ValueDelta(tuple(changed), removed)

    def apply(self, delta: ValueDelta) -> ValueDocument:
        """Return a patched copy of the document.

        Raises MalformedDeltaError if the delta changes entries of a field that has none.
        """
        content_by_field = dict(self._content_by_field)
        for field in delta.removed_fields:
            content_by_field.pop(field, None)
        for change in delta.fields:
            content_by_field[change.field] = _patch(content_by_field.get(change.field), change)
        return ValueDocument(content_by_field=dict(sorted(content_by_field.items())))


def digest_of(payload: bytes) -> bytes:
    """Return the 16-byte digest of a canonical text.

    XXH3 suffices, because peers are authenticated.
    """
    return xxhash.xxh3_128_digest(payload)


def _split(value: object) -> bytes | Entries:
    if not isinstance(value, list):
        return _ENCODER.encode(value)
    entries: Entries = {}
    for entry in value:
        name = entry.get("name") if isinstance(entry, dict) else None
        if not isinstance(name, str) or name in entries:
            return _ENCODER.encode(value)
        entries[name] = _ENCODER.encode(entry)
    return entries


def _join(content: bytes | Entries) -> bytes:
    if isinstance(content, bytes):
        return content
    return b"[" + b",".join(content.values()) + b"]"


def _field_delta(field: str, old: bytes | Entries | None, new: bytes | Entries) -> FieldDelta:
    if not isinstance(old, dict) or not isinstance(new, dict):
        return FieldDelta(field, whole=_join(new))
    if [name for name in old if name in new] != [name for name in new if name in old]:
        return FieldDelta(field, whole=_join(new))
    upserts = []
    predecessor: str | None = None
    for name, entry in new.items():
        if old.get(name) != entry:
            upserts.append(Upsert(name, entry, None if name in old else predecessor))
        predecessor = name
    removals = tuple(name for name in old if name not in new)
    return FieldDelta(field, upserts=tuple(upserts), removals=removals)


def _patch(old: bytes | Entries | None, change: FieldDelta) -> bytes | Entries:
    if change.whole is not None:
        return _parse_field(change.whole)
    if not isinstance(old, dict):
        raise MalformedDeltaError(cause=f"field {change.field} has no entries")
    remaining = dict(old)
    for name in change.removals:
        remaining.pop(name, None)
    inserts_by_predecessor: dict[str | None, list[Upsert]] = {}
    for upsert in change.upserts:
        if upsert.name in remaining:
            remaining[upsert.name] = upsert.entry
        else:
            inserts_by_predecessor.setdefault(upsert.predecessor, []).append(upsert)
    return _insert(remaining, inserts_by_predecessor) if inserts_by_predecessor else remaining


def _insert(remaining: Entries, inserts_by_predecessor: dict[str | None, list[Upsert]]) -> Entries:
    entries: Entries = {}
    _insert_after(None, entries, inserts_by_predecessor)
    for name, entry in remaining.items():
        entries[name] = entry
        _insert_after(name, entries, inserts_by_predecessor)
    return entries


def _insert_after(
    predecessor: str | None,
    entries: Entries,
    inserts_by_predecessor: dict[str | None, list[Upsert]],
) -> None:
    pending = inserts_by_predecessor.pop(predecessor, [])[::-1]
    while pending:
        upsert = pending.pop()
        entries[upsert.name] = upsert.entry
        pending.extend(inserts_by_predecessor.pop(upsert.name, [])[::-1])


def _parse_field(text: bytes) -> bytes | Entries:
    try:
        return _split(msgspec.json.decode(text))
    except (msgspec.MsgspecError, RecursionError) as error:
        raise MalformedDeltaError(cause=str(error)) from error
