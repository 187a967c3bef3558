"""Lookup of routes by endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.core import hash64
from laburnumbridge.core import pack_ipv4

if TYPE_CHECKING:
    from laburnumbridge.catalog.records import Route
    from laburnumbridge.catalog.records import RoutingConfiguration


class RouteIndex:
    """Finds the route of a packet by the address and port that the client addressed."""

    def __init__(self, *, configuration: RoutingConfiguration) -> None:
        self._by_endpoint: dict[bytes, Route] = {
            pack_ipv4(route.address) + route.port.to_bytes(2, "big"): route
            for route in configuration.routes
        }

    def find(self, flow: bytes) -> Route | None:
        """Return the route for a flow key, which ends with the endpoint in six bytes, or None."""
        return self._by_endpoint.get(flow[6:])

    @staticmethod
    def service(route: Route, flow: bytes) -> str:
        """Return the service for ``flow``: a hash of it, the same everywhere, selects by weight."""
        if len(route.shares) == 1:
            return route.shares[0].service
        total = sum(share.weight for share in route.shares)
        point = hash64(flow) % max(total, 1)
        for share in route.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return route.shares[-1].service
