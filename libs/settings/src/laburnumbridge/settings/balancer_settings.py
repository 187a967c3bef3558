"""Settings of a balancer."""

from __future__ import annotations

from pydantic import Field

from laburnumbridge.settings.process_settings import Address
from laburnumbridge.settings.process_settings import ProcessSettings


class BalancerSettings(ProcessSettings):
    """Settings of a balancer.

    ``listen_by_service`` maps a service name to the local address for its packets.
    """

    listen_by_service: dict[str, Address] = Field(min_length=1)
