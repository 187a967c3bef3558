"""Settings that every process has."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import StringConstraints

HexKey = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{32}$")]
Address = Annotated[str, StringConstraints(pattern=r"^(\[[0-9a-f:]+\]|[0-9.]+):[0-9]{1,5}$")]


class SettingsModel(BaseModel):
    """Rejects unknown fields and is immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class TlsFiles(SettingsModel):
    """PEM files of a certificate; replacing the files takes effect without a restart."""

    certificate: Path
    private_key: Path
    authority: Path | None = None


class ProcessSettings(SettingsModel):
    """Who a process is and how it reaches the platform and its peers.

    ``link_key`` authenticates datagrams between own processes (16 bytes in hex).
    """

    name: str = Field(min_length=1)
    region: str = Field(min_length=1)
    failure_domain: str = Field(min_length=1)
    platform_url: str = Field(pattern=r"^https?://")
    address: Address
    control_address: Address
    metrics_address: Address | None = None
    link_key: HexKey
    control_tls: TlsFiles | None = None
    log_level: str = Field(default="info", pattern=r"^(debug|info|warning|error)$")
