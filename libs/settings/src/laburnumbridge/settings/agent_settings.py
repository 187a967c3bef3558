"""Settings of an agent."""

from __future__ import annotations

from pydantic import Field

from laburnumbridge.settings.process_settings import ProcessSettings
from laburnumbridge.settings.process_settings import TlsFiles


class AgentSettings(ProcessSettings):
    """``guest_tls`` is the certificate that clients see; it is that of the service.

    ``health_path`` is the upstream's health endpoint, a hint that is asked once a second.
    """

    number: int = Field(ge=1, lt=1 << 24)
    service: str = Field(min_length=1)
    upstream_url: str = Field(pattern=r"^http://")
    slots: int = Field(ge=1)
    connections: int = Field(ge=1)
    guest_tls: TlsFiles
    health_path: str | None = Field(default=None, pattern=r"^/")
