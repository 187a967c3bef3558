"""Check for repeated values in a list."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable
    from collections.abc import Iterable


def require_unique(field: str, values: Iterable[Hashable]) -> None:
    """Raise ValueError if a value repeats; pydantic reports it with the path."""
    repeated = [str(value) for value, count in Counter(values).items() if count > 1]
    if repeated:
        raise ValueError(f"{field} repeats: {', '.join(sorted(repeated))}")
