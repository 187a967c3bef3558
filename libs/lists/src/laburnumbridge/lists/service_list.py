"""Services of the platform and the keys of the routing tokens."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field
from pydantic import StringConstraints
from pydantic import model_validator

from laburnumbridge.lists.list_model import ListModel
from laburnumbridge.lists.uniqueness import require_unique

Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
HexKey = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{32}$")]
Address = Annotated[str, StringConstraints(pattern=r"^(\[[0-9a-f:]+\]|[0-9.]+):[0-9]{1,5}$")]
PathPrefix = Annotated[str, StringConstraints(pattern=r"^/")]


class RoutingKey(ListModel):
    """A key of the routing tokens: 16 bytes in hex; exactly one is current."""

    number: int = Field(ge=0, le=255)
    key: HexKey
    current: bool = False


class Objectives(ListModel):
    """Service-level objectives of a service.

    ``availability`` is the share of requests that don't fail because of the system;
    ``latency_share`` is the share of requests answered within ``latency_ms``.
    """

    availability: float = Field(default=0.999, gt=0, lt=1)
    latency_ms: float = Field(default=250, gt=0)
    latency_share: float = Field(default=0.99, gt=0, lt=1)


class Service(ListModel):
    """A service at one address.

    Requests to paths below ``streams`` occupy a connection, but no slot.
    """

    name: Name
    number: int = Field(ge=1, lt=1 << 16)
    address: Address
    streams: tuple[PathPrefix, ...] = ()
    objectives: Objectives = Objectives()


class ServiceList(ListModel):
    """The value ``services``."""

    routing_keys: tuple[RoutingKey, ...] = Field(min_length=1)
    services: tuple[Service, ...]

    @model_validator(mode="after")
    def _check(self) -> ServiceList:
        require_unique("routing_keys.number", (key.number for key in self.routing_keys))
        require_unique("services.name", (service.name for service in self.services))
        require_unique("services.number", (service.number for service in self.services))
        require_unique("services.address", (service.address for service in self.services))
        if sum(key.current for key in self.routing_keys) != 1:
            raise ValueError("exactly one routing key must be current")
        return self

    @property
    def current_key_number(self) -> int:
        """Number of the key with which new tokens are encoded."""
        return next(key.number for key in self.routing_keys if key.current)

    @property
    def keys_by_number(self) -> dict[int, bytes]:
        """Keys of 16 bytes by their numbers."""
        return {key.number: bytes.fromhex(key.key) for key in self.routing_keys}

    @property
    def services_by_name(self) -> dict[str, Service]:
        """Services by their names."""
        return {service.name: service for service in self.services}
