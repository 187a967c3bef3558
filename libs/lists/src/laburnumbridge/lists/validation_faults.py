"""Faults of a document in the words of its author."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pydantic import ValidationError

SHOWN_VALUE_CHARACTERS = 60
"""Keeps a fault on one line of a terminal."""
_WITHOUT_VALUE = ("missing", "json_invalid")
_SECRET_FIELDS = ("key", "secret", "token")
_REPLACEMENTS = (("Value error, ", ""), ("Tuple", "List"), ("tuple", "list"))


def describe_faults(root: str, data: bytes | str, error: ValidationError) -> list[tuple[str, str]]:
    """Return the path and a message for each faulty field of the JSON in ``data``.

    The validator's locations hold names of its own, such as the alternatives that it tried for a
    field. Only what leads through the document is kept, and a field is named once.
    """
    document = _parse(data)
    messages_by_path: dict[str, list[str]] = {}
    value_by_path: dict[str, str] = {}
    for fault in error.errors(include_url=False):
        path, value = _follow(root, document, fault["loc"], is_missing=fault["type"] == "missing")
        if fault["type"] == "too_short" and value:
            continue  # its items are faulty, and the validator has counted the others only
        messages = messages_by_path.setdefault(path, [])
        message = fault["msg"]
        for words, replacement in _REPLACEMENTS:
            message = message.replace(words, replacement)
        if message not in messages:
            messages.append(message)
        is_shown = fault["type"] not in _WITHOUT_VALUE and not isinstance(value, dict | list)
        if is_shown and not _is_secret(path):
            value_by_path[path] = f"{_shown(value)}: "
    return [
        (path, value_by_path.get(path, "") + "; ".join(messages))
        for path, messages in messages_by_path.items()
    ]


def _parse(data: bytes | str) -> object:
    try:
        return json.loads(data)
    except ValueError:
        return None  # the validator reports that it is no JSON


def _follow(
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
    """Return whether the field at ``path`` may hold what no log should show."""
    field = path.rsplit(".", 1)[-1]
    return any(word in field for word in _SECRET_FIELDS)


def _shown(value: object) -> str:
    text = json.dumps(value, ensure_ascii=False)
    if len(text) <= SHOWN_VALUE_CHARACTERS:
        return text
    return f"{text[:SHOWN_VALUE_CHARACTERS]}..."
