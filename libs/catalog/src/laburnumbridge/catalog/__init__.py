"""The view of upstreams and routes, read from the platform and exchanged between processes."""

from __future__ import annotations

from laburnumbridge.catalog.catalog import Catalog
from laburnumbridge.catalog.errors import MalformedItemError
from laburnumbridge.catalog.errors import MalformedUpdateError
from laburnumbridge.catalog.evacuations import EvacuationChange
from laburnumbridge.catalog.evacuations import Evacuations
from laburnumbridge.catalog.platform_codec import Listing
from laburnumbridge.catalog.platform_codec import MalformedAnswerError
from laburnumbridge.catalog.platform_codec import OutdatedAnswerError
from laburnumbridge.catalog.platform_codec import PlatformCodec
from laburnumbridge.catalog.platform_codec import PlatformItems
from laburnumbridge.catalog.platform_codec import PlatformRefusedError
from laburnumbridge.catalog.platform_codec import RevisionCompactedError
from laburnumbridge.catalog.read_plan import ReadPlan
from laburnumbridge.catalog.records import CatalogUpdate
from laburnumbridge.catalog.records import ConfigurationChange
from laburnumbridge.catalog.records import Route
from laburnumbridge.catalog.records import RoutingConfiguration
from laburnumbridge.catalog.records import ServiceShare
from laburnumbridge.catalog.records import ServiceWarmUp
from laburnumbridge.catalog.records import UpstreamEntry
from laburnumbridge.catalog.records import UpstreamRemoval
from laburnumbridge.catalog.revision import NO_REVISION
from laburnumbridge.catalog.revision import Revision
from laburnumbridge.catalog.routes import RouteIndex
from laburnumbridge.catalog.update_codec import UpdateDecoder
from laburnumbridge.catalog.update_codec import encode_update

__all__ = [
    "NO_REVISION",
    "Catalog",
    "CatalogUpdate",
    "ConfigurationChange",
    "EvacuationChange",
    "Evacuations",
    "Listing",
    "MalformedAnswerError",
    "MalformedItemError",
    "MalformedUpdateError",
    "OutdatedAnswerError",
    "PlatformCodec",
    "PlatformItems",
    "PlatformRefusedError",
    "ReadPlan",
    "Revision",
    "RevisionCompactedError",
    "Route",
    "RouteIndex",
    "RoutingConfiguration",
    "ServiceShare",
    "ServiceWarmUp",
    "UpdateDecoder",
    "UpstreamEntry",
    "UpstreamRemoval",
    "encode_update",
]
