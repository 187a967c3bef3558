"""Parsing of published JSON into models."""

from __future__ import annotations

from typing import TypeVar

from pydantic import BaseModel
from pydantic import ValidationError

from laburnumbridge.lists.errors import InvalidListError
from laburnumbridge.lists.list_problem import ListProblem
from laburnumbridge.lists.validation_faults import describe_faults

M = TypeVar("M", bound=BaseModel)


def parse_list(list_name: str, data: bytes | str, model: type[M]) -> M:
    """Return the model of a published JSON value.

    Raises InvalidListError with the path and message of each fault.
    """
    try:
        return model.model_validate_json(data)
    except ValidationError as error:
        problems = [
            ListProblem(path=path, message=message)
            for path, message in describe_faults(list_name, data, error)
        ]
        raise InvalidListError(list_name=list_name, problems=problems) from error
