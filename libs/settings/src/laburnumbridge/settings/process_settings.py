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


class MutualTlsFiles(TlsFiles):
    """PEM files for both directions; ``authority`` signs the certificates of all processes."""

    authority: Path


class ControlKey(SettingsModel):
    """A key that seals control datagrams: 32 bytes in hex; exactly one is current."""

    number: int = Field(ge=0, le=255)
    secret: Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]
    current: bool = False


class ProcessSettings(SettingsModel):
    """Identity of a process, and its addresses and keys for the platform and its peers.

    ``link_key`` authenticates client datagrams between processes of the fleet (16 bytes in hex),
    ``control_keys`` seal the control datagrams and ``control_tls`` protects gRPC calls.
    ``expected_processes`` sets the jitter of a start until the size of the fleet is known.
    """

    name: str = Field(min_length=1)
    region: str = Field(min_length=1)
    failure_domain: str = Field(min_length=1)
    platform_url: str = Field(pattern=r"^https?://")
    address: Address
    control_address: Address
    metrics_address: Address | None = None
    link_key: HexKey
    control_keys: tuple[ControlKey, ...] = Field(min_length=1)
    control_tls: MutualTlsFiles
    expected_processes: int = Field(default=100, ge=1)
    log_level: str = Field(default="info", pattern=r"^(debug|info|warning|error)$")
