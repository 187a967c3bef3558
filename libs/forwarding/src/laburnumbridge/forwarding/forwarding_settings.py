"""Settings of a process that forwards flows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from laburnumbridge.forwarding.endpoints import Endpoint
from laburnumbridge.forwarding.endpoints import parse_endpoint
from laburnumbridge.forwarding.errors import InvalidSettingsError

if TYPE_CHECKING:
    from os import PathLike


class UpstreamSettings(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """The upstream beside an agent; endpoints are ``"address:port"``.

    The agent sends packets to ``endpoint``, and the upstream sends its own to ``output_endpoint``,
    which the agent binds.
    """

    service: str
    endpoint: str
    output_endpoint: str


class ForwardingSettings(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Settings whose values are checked; endpoints are ``"address:port"``.

    ``peer_port`` is the UDP port for datagrams between processes, the same on every VM. Peers
    connect to ``control_endpoint`` to share the view of the fleet; if it is None, the process only
    connects to seeds. ``upstream`` is set for agents. A cold upstream gets at most
    ``warm_up_overage`` times the openings that it accepts and ``warm_up_slack`` more in a second;
    None is no limit. ``failure_domains`` are the names of all failure domains, if they are given.
    """

    process: str
    failure_domain: str
    address: str
    packet_endpoint: str
    peer_port: int
    ready_endpoint: str
    metrics_port: int
    platform_endpoint: str
    seeds: list[str]
    flow_max_age_s: float
    stop_grace_s: float
    control_endpoint: str | None = None
    upstream: UpstreamSettings | None = None
    warm_up_overage: float | None = None
    warm_up_slack: float | None = None
    failure_domains: list[str] | None = None

    def __post_init__(self) -> None:
        """Check the values that the types don't. Raises ValueError."""
        for name in ("packet_endpoint", "ready_endpoint", "platform_endpoint"):
            parse_endpoint(getattr(self, name))
        for seed in self.seeds:
            parse_endpoint(seed)
        if self.control_endpoint is not None:
            parse_endpoint(self.control_endpoint)
        if self.upstream is not None:
            parse_endpoint(self.upstream.endpoint)
            parse_endpoint(self.upstream.output_endpoint)
        for name in ("peer_port", "metrics_port"):
            if not 0 < getattr(self, name) < 65_536:
                raise ValueError(f"{name} must be a port")
        for name in ("flow_max_age_s", "stop_grace_s"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name} must be above 0")
        for name in ("warm_up_overage", "warm_up_slack"):
            value = getattr(self, name)
            if value is not None and value < 0:
                raise ValueError(f"{name} must not be below 0")

    @property
    def packet_port(self) -> int:
        """The UDP port of ``packet_endpoint``, the same on every VM and at clients."""
        return parse_endpoint(self.packet_endpoint)[1]

    @property
    def platform(self) -> Endpoint:
        """The platform's address and port."""
        return parse_endpoint(self.platform_endpoint)


def read_settings(path: str | PathLike[str]) -> bytes:
    """Return the contents of the settings file. Raises OSError.

    ``pathlib`` isn't used in the processes: importing it takes 5 ms of a start.
    """
    with open(path, "rb") as file:
        return file.read()


def load_forwarding_settings(path: str | PathLike[str]) -> ForwardingSettings:
    """Read settings from a JSON file. Raises InvalidSettingsError."""
    try:
        return msgspec.json.decode(read_settings(path), type=ForwardingSettings)
    except OSError as error:
        raise InvalidSettingsError(
            path=str(path), field="file", reason=error.strerror or str(error)
        ) from error
    except msgspec.ValidationError as error:
        reason, _, field = str(error).partition(" - at ")
        raise InvalidSettingsError(
            path=str(path), field=field.strip("`").removeprefix("$.") or "settings", reason=reason
        ) from error
    except msgspec.DecodeError as error:
        raise InvalidSettingsError(path=str(path), field="JSON", reason=str(error)) from error
