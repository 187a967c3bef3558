"""Records of what the platform publishes, and the updates that processes exchange."""

from __future__ import annotations

import msgspec

from laburnumbridge.catalog.evacuations import Evacuations
from laburnumbridge.catalog.revision import NO_REVISION
from laburnumbridge.catalog.revision import Revision


class UpstreamEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One upstream; ``revision`` is the platform's revision of the entry.

    ``started_ms`` is the Unix time of the upstream's start. An entry with the same name and another
    start is a new incarnation, without the flows of the previous one. ``warm_up_left_ms`` is how
    long the upstream remains slow after its start.
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
    revision: Revision


class UpstreamRemoval(msgspec.Struct, frozen=True, kw_only=True):
    """The removal of an upstream's entry at the platform's ``revision``.

    ``started_ms`` is the start of the upstream that left, or None if its entry isn't known.
    """

    name: str
    revision: Revision
    started_ms: int | None = None


class ServiceShare(msgspec.Struct, frozen=True, kw_only=True):
    """A service that receives new flows of a route in proportion to ``weight``."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """The services for new flows to an address and port.

    ``is_retryable`` means that requests of the route may be repeated, ``is_transfer`` that each
    flow carries one download or upload. An answer is of use to the client for ``timeout_ms`` after
    its request, 0 if the platform doesn't say. The operator wants answers within
    ``target_latency_ms``, 0 if there is no target. Priority 0 is the highest.
    """

    name: str
    address: str
    port: int
    shares: tuple[ServiceShare, ...]
    is_retryable: bool
    is_transfer: bool
    timeout_ms: int = 0
    target_latency_ms: int = 0
    priority: int = 0


class ServiceWarmUp(msgspec.Struct, frozen=True, kw_only=True):
    """Upstreams of ``service`` are cold for ``warm_up_s`` after their start.

    A cold one accepts ``openings_per_s`` openings each second.
    """

    service: str
    warm_up_s: float
    openings_per_s: float


class RoutingConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """All routes at one version; a flow may be idle for ``idle_timeout_ms``.

    ``services`` are those that the operator has configured, also without a route. ``warm_ups`` are
    of the services whose upstreams are cold after their start. None means that a process of a
    version without them has passed the configuration on, and left out what it doesn't know.
    """

    version: int
    routes: tuple[Route, ...]
    idle_timeout_ms: int
    services: tuple[str, ...] = ()
    warm_ups: tuple[ServiceWarmUp, ...] | None = None


class ConfigurationChange(msgspec.Struct, frozen=True, kw_only=True):
    """The change from the configuration of ``base_version`` to that of ``version``.

    ``services`` and ``warm_ups`` are None if they are the same.
    """

    base_version: int
    version: int
    changed: tuple[Route, ...]
    removed: tuple[str, ...]
    idle_timeout_ms: int
    services: tuple[str, ...] | None = None
    warm_ups: tuple[ServiceWarmUp, ...] | None = None


class CatalogUpdate(msgspec.Struct, frozen=True, kw_only=True):
    """Changes of a catalog that one process sends to another.

    ``revision`` is the newest revision of the changes. The sender's view lacks no change up to
    ``complete_revision``, and the update has all changes after ``complete_since`` up to it; so a
    receiver whose view is complete up to the former is then complete up to the latter. ``present``
    names all upstreams of that view if the update comes from a listing or is a whole view, which
    don't tell what has left; otherwise it is None. ``confirmed_age_ms`` is the time since the
    platform last confirmed the sender's view to ``confirmed_by``, or None if it never did. An
    update without changes is a heartbeat; it raises the receiver's revision only if
    ``is_own_reading`` is set, which means that the receiver itself read the platform.
    ``configuration_version`` is the sender's version, or 0 without one. ``lacks_configuration``
    means that the sender can't apply a change and needs the whole configuration.
    ``accepts_compressed`` means that the sender can decode compressed updates. ``evacuations`` is
    the sender's register, also in a heartbeat, or None if it has none; ``has_evacuation_change``
    means that the evacuated domains have changed at the sender.
    """

    revision: Revision
    confirmed_age_ms: int | None
    confirmed_by: str = ""
    is_own_reading: bool = False
    complete_since: Revision = NO_REVISION
    complete_revision: Revision = NO_REVISION
    present: tuple[str, ...] | None = None
    entries: tuple[UpstreamEntry, ...] = ()
    removals: tuple[UpstreamRemoval, ...] = ()
    configuration: RoutingConfiguration | None = None
    configuration_change: ConfigurationChange | None = None
    configuration_version: int = 0
    lacks_configuration: bool = False
    accepts_compressed: bool = False
    evacuations: Evacuations | None = None
    has_evacuation_change: bool = False

    @property
    def has_changes(self) -> bool:
        """True unless the update is only a heartbeat."""
        return self.present is not None or bool(
            self.entries
            or self.removals
            or self.configuration
            or self.configuration_change
            or self.has_evacuation_change
        )
