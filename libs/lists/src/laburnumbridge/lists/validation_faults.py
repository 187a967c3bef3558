"""Validation faults described by paths and values of the document."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pydantic import ValidationError

MAX_SHOWN_VALUE_CHARACTERS = 60
"""Longer values are truncated, so that a fault fits one line of a terminal."""
_TYPES_WITHOUT_VALUE = ("missing", "json_invalid")
_SECRET_FIELDS = ("key", "secret", "token")
_REPLACEMENTS = (("Value error, ", ""), ("Tuple", "List"), ("tuple", "list"))


def describe_faults(root: str, data: bytes | str, error: ValidationError) -> list[tuple[str, str]]:
    """Return the path and a message for each faulty field of the JSON in ``data``.

    The validator's locations also contain internal names, such as the alternatives that it tried
    for a field. Only the parts that exist in the document are kept, and each field is listed once.
    """
    document = _parse_document(data)
    messages_by_path: dict[str, list[str]] = {}
    value_by_path: dict[str, str] = {}
    for fault in error.errors(include_url=False):
        path, value = _resolve_location(
            root, document, fault["loc"], is_missing=fault["type"] == "missing"
        )
        if fault["type"] == "too_short" and value:
            continue  # items are faulty, and the validator counted only the valid ones
        messages = messages_by_path.setdefault(path, [])
        message = fault["msg"]
        for wording, replacement in _REPLACEMENTS:
            message = message.replace(wording, replacement)
        if message not in messages:
            messages.append(message)
        is_shown = fault["type"] not in _TYPES_WITHOUT_VALUE and not isinstance(value, dict | list)
        if is_shown and not _is_secret(path):
            value_by_path[path] = f"{_truncate(value)}: "
    return [
        (path, value_by_path.get(path, "") + "; ".join(messages))
        for path, messages in messages_by_path.items()
    ]


def _parse_document(data: bytes | str) -> object:
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        return None  # the validator reports that the document isn't JSON


def _resolve_location(
    root: str, document: object, location: tuple[int | str, ...], *, is_missing: bool
) -> tuple[str, object]:
    path, value = root, document
    for item in location:
        if isinstance(value, dict) and isinstance(item, str) and item in value:
            path, value = f"{path}.{item}", value[item]
        elif isinstance(value, list) and isinstance(item, int) and item < len(value):
            path, value = f"{path}[{item}]", value[item]
    if is_missing:
        path = f"{path}.{location[-1]}"
    return path, value


def _is_secret(path: str) -> bool:
    """Return whether the field at ``path`` may hold a secret, which must not be logged."""
    field = path.rsplit(".", 1)[-1]
    return any(word in field for word in _SECRET_FIELDS)


def _truncate(value: object) -> str:
    text = json.dumps(value, ensure_ascii=False)
    if len(text) <= MAX_SHOWN_VALUE_CHARACTERS:
        return text
    return f"{text[:MAX_SHOWN_VALUE_CHARACTERS]}..."
