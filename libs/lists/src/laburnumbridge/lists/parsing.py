"""Turns published JSON into models, with the path of each fault."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from pydantic import BaseModel
from pydantic import ValidationError

from laburnumbridge.lists.errors import InvalidListError
from laburnumbridge.lists.list_problem import ListProblem

if TYPE_CHECKING:
    from collections.abc import Iterable

M = TypeVar("M", bound=BaseModel)


def format_path(root: str, location: Iterable[int | str]) -> str:
    """Write a pydantic location as ``root.field[index]``."""
    return root + "".join(f"[{item}]" if isinstance(item, int) else f".{item}" for item in location)


def parse_list(list_name: str, data: bytes | str, model: type[M]) -> M:
    """Validate the JSON of a published value.

    Raises InvalidListError with every fault that was found.
    """
    try:
        return model.model_validate_json(data)
    except ValidationError as error:
        problems = [
            ListProblem(path=format_path(list_name, fault["loc"]), message=fault["msg"])
            for fault in error.errors(include_url=False)
        ]
        raise InvalidListError(list_name=list_name, problems=problems) from error
