"""Reads settings from a JSON file."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from pydantic import ValidationError

from laburnumbridge.lists import describe_faults
from laburnumbridge.settings.errors import InvalidSettingsError
from laburnumbridge.settings.errors import SettingsNotReadableError
from laburnumbridge.settings.process_settings import SettingsModel

if TYPE_CHECKING:
    from pathlib import Path

S = TypeVar("S", bound=SettingsModel)


def load_settings(path: Path, model: type[S]) -> S:
    """Read and validate a settings file.

    Raises SettingsNotReadableError or InvalidSettingsError; the latter names each faulty field.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        reason = error.strerror or type(error).__name__
        raise SettingsNotReadableError(path=path, reason=reason) from error
    try:
        return model.model_validate_json(data)
    except ValidationError as error:
        faults = [
            f"{path}: {message}" for path, message in describe_faults("settings", data, error)
        ]
        raise InvalidSettingsError(path=path, faults=faults) from error
