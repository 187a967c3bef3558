"""The configuration and entries that the stand-in for the platform publishes."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

from laburnumbridge.catalog import NO_REVISION
from laburnumbridge.catalog import Route
from laburnumbridge.catalog import RoutingConfiguration
from laburnumbridge.catalog import ServiceShare
from laburnumbridge.catalog import ServiceWarmUp
from laburnumbridge.catalog import UpstreamEntry
from laburnumbridge.standins.flows.process_settings import SECOND_SERVICE_NAME
from laburnumbridge.standins.flows.process_settings import SERVICE_NAME
from laburnumbridge.standins.flows.process_settings import UPSTREAM_PORT

if TYPE_CHECKING:
    from collections.abc import Mapping

    from laburnumbridge.forwarding.endpoints import Endpoint

IDLE_TIMEOUT_MS = 15_000
SERVICES = (SERVICE_NAME, SECOND_SERVICE_NAME)
ONE_SERVICE = MappingProxyType({SERVICE_NAME: 1})
NO_PRIORITIES: Mapping[Endpoint, int] = MappingProxyType({})
NO_WEIGHTS: Mapping[Endpoint, Mapping[str, int]] = MappingProxyType({})


def make_configuration(
    version: int,
    endpoints: tuple[Endpoint, ...],
    *,
    timeout_ms: int = 0,
    weight_by_service: Mapping[str, int] = ONE_SERVICE,
    services: tuple[str, ...] = SERVICES,
    target_latency_ms: int = 0,
    priority_by_endpoint: Mapping[Endpoint, int] = NO_PRIORITIES,
    weights_by_endpoint: Mapping[Endpoint, Mapping[str, int]] = NO_WEIGHTS,
    warm_up_s: float = 0.0,
    openings_per_s: float = 0.2,
) -> RoutingConfiguration:
    """Return routes from ``endpoints``; ``timeout_ms`` 0 is no time-out.

    ``weight_by_service`` applies to the endpoints that ``weights_by_endpoint`` leaves out.

    Upstreams are cold for ``warm_up_s`` after their start, and take ``openings_per_s`` then.
    """
    return RoutingConfiguration(
        version=version,
        routes=tuple(
            Route(
                name=f"r-{address}-{port}",
                address=address,
                port=port,
                shares=tuple(
                    ServiceShare(service=service, weight=weight)
                    for service, weight in weights_by_endpoint.get(
                        (address, port), weight_by_service
                    ).items()
                ),
                is_retryable=False,
                is_transfer=False,
                timeout_ms=timeout_ms,
                target_latency_ms=target_latency_ms,
                priority=priority_by_endpoint.get((address, port), 0),
            )
            for address, port in endpoints
        ),
        idle_timeout_ms=IDLE_TIMEOUT_MS,
        services=services,
        warm_ups=tuple(
            ServiceWarmUp(service=service, warm_up_s=warm_up_s, openings_per_s=openings_per_s)
            for service in services
            if warm_up_s
        ),
    )


def entry_name(address: str) -> str:
    """Return the name of the entry of the upstream at ``address``."""
    return f"up-{address}"


def make_entry(
    address: str,
    *,
    slots: int,
    is_draining: bool = False,
    started_ms: int = 1,
    service: str = SERVICE_NAME,
    failure_domain: str = "north",
    warm_up_left_ms: int = 0,
) -> UpstreamEntry:
    """Return the entry of the upstream at ``address``."""
    return UpstreamEntry(
        name=entry_name(address),
        service=service,
        address=address,
        port=UPSTREAM_PORT,
        failure_domain=failure_domain,
        slots=slots,
        is_draining=is_draining,
        warm_up_left_ms=warm_up_left_ms,
        started_ms=started_ms,
        revision=NO_REVISION,
    )
