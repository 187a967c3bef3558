"""Base class of the validated models."""

from __future__ import annotations

from pydantic import BaseModel
from pydantic import ConfigDict


class ListModel(BaseModel):
    """Base model that rejects unknown fields and is immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)
