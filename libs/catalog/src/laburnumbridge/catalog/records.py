"""What the platform publishes, in the system's own words."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamEntry:
    """One upstream; ``revision`` is the platform's revision of the entry.

    ``started_ms`` is the Unix time of the upstream's start: an entry under a known name with
    another start is a new incarnation that holds no flow. ``warm_up_left_ms`` is how long the
    upstream stays slow after its start.
    """

    name: str
    service: str
    address: str
    port: int
    failure_domain: str
    slots: int
    is_draining: bool
    warm_up_left_ms: int
    started_ms: int
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamRemoval:
    """An upstream's entry was gone at ``revision``."""

    name: str
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceShare:
    """A service that takes ``weight`` of a route's new flows."""

    service: str
    weight: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Where new flows to an address and port go.

    ``is_retryable`` says that requests of the route may be repeated; ``is_download`` that each
    flow carries one download.
    """

    name: str
    address: str
    port: int
    shares: tuple[ServiceShare, ...]
    is_retryable: bool
    is_download: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutingConfiguration:
    """All routes at one version; ``idle_timeout_ms`` is how long a flow may be idle."""

    version: int
    routes: tuple[Route, ...]
    idle_timeout_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationChange:
    """What turns the configuration of ``base_version`` into that of ``version``."""

    base_version: int
    version: int
    changed: tuple[Route, ...]
    removed: tuple[str, ...]
    idle_timeout_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CatalogUpdate:
    """Changes of a catalog, as one process tells them to another.

    ``revision`` is the newest revision that the changes come from, ``confirmed_age_ms`` how long
    ago the platform last confirmed to ``confirmed_by`` what the sender holds (None: never). An
    update without changes is a heartbeat; it raises the receiver's revision only when
    ``is_own_reading`` says that the receiver itself read the platform. ``configuration_version`` is
    the sender's, 0 without one; a sender that can't apply a change ``lacks_configuration``.
    """

    revision: int
    confirmed_age_ms: int | None
    confirmed_by: str = ""
    is_own_reading: bool = False
    entries: tuple[UpstreamEntry, ...] = field(default=())
    removals: tuple[UpstreamRemoval, ...] = field(default=())
    configuration: RoutingConfiguration | None = None
    configuration_change: ConfigurationChange | None = None
    configuration_version: int = 0
    lacks_configuration: bool = False

    @property
    def has_changes(self) -> bool:
        """True unless the update is only a heartbeat."""
        return bool(
            self.entries or self.removals or self.configuration or self.configuration_change
        )
