"""Settings of a process, read from JSON."""

from __future__ import annotations

from laburnumbridge.settings.agent_settings import AgentSettings
from laburnumbridge.settings.balancer_settings import BalancerSettings
from laburnumbridge.settings.errors import InvalidSettingsError
from laburnumbridge.settings.errors import SettingsNotReadableError
from laburnumbridge.settings.loading import load_settings
from laburnumbridge.settings.process_settings import ControlKey
from laburnumbridge.settings.process_settings import MutualTlsFiles
from laburnumbridge.settings.process_settings import ProcessSettings
from laburnumbridge.settings.process_settings import TlsFiles

__all__ = [
    "AgentSettings",
    "BalancerSettings",
    "ControlKey",
    "InvalidSettingsError",
    "MutualTlsFiles",
    "ProcessSettings",
    "SettingsNotReadableError",
    "TlsFiles",
    "load_settings",
]
