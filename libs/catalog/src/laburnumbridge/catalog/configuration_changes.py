"""Differences between two configurations.

A configuration of 1,300 routes takes 100 KB; a change usually affects a few routes.
"""

from __future__ import annotations

from laburnumbridge.catalog.records import ConfigurationChange
from laburnumbridge.catalog.records import RoutingConfiguration


def diff_configurations(
    base: RoutingConfiguration, newer: RoutingConfiguration
) -> ConfigurationChange:
    """Return the change that turns ``base`` into ``newer``."""
    base_by_name = {route.name: route for route in base.routes}
    newer_names = {route.name for route in newer.routes}
    return ConfigurationChange(
        base_version=base.version,
        version=newer.version,
        changed=tuple(route for route in newer.routes if base_by_name.get(route.name) != route),
        removed=tuple(name for name in base_by_name if name not in newer_names),
        idle_timeout_ms=newer.idle_timeout_ms,
        services=None if newer.services == base.services else newer.services,
        warm_ups=None if newer.warm_ups == base.warm_ups else newer.warm_ups,
    )


def apply_change(base: RoutingConfiguration, change: ConfigurationChange) -> RoutingConfiguration:
    """Return ``base`` with ``change`` applied to it."""
    route_by_name = {route.name: route for route in base.routes}
    for name in change.removed:
        route_by_name.pop(name, None)
    route_by_name.update({route.name: route for route in change.changed})
    return RoutingConfiguration(
        version=change.version,
        routes=tuple(route_by_name.values()),
        idle_timeout_ms=change.idle_timeout_ms,
        services=base.services if change.services is None else change.services,
        warm_ups=base.warm_ups if change.warm_ups is None else change.warm_ups,
    )
