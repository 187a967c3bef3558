"""Settings of an agent."""

from __future__ import annotations

from pydantic import Field

from laburnumbridge.settings.process_settings import ProcessSettings
from laburnumbridge.settings.process_settings import TlsFiles


class AgentSettings(ProcessSettings):
    """Settings of an agent and its upstream.

    ``guest_tls`` is the service's certificate, which clients receive. ``health_path`` is
    the path of the upstream's health endpoint, which is requested once a second and is only a
    hint; None without one.
    """

    number: int = Field(ge=1, lt=1 << 24)
    service: str = Field(min_length=1)
    upstream_url: str = Field(pattern=r"^http://")
    slots: int = Field(ge=1)
    connections: int = Field(ge=1)
    guest_tls: TlsFiles
    health_path: str | None = Field(default=None, pattern=r"^/")
