"""Base of the validated models."""

from __future__ import annotations

from pydantic import BaseModel
from pydantic import ConfigDict


class ListModel(BaseModel):
    """Rejects unknown fields and is immutable once validated."""

    model_config = ConfigDict(extra="forbid", frozen=True)
