"""Plans and their limits."""

from __future__ import annotations

from pydantic import Field
from pydantic import model_validator

from laburnumbridge.lists.list_model import ListModel
from laburnumbridge.lists.service_list import Name
from laburnumbridge.lists.uniqueness import require_unique


class Plan(ListModel):
    """Limits of a plan over the whole fleet; None means no limit.

    ``guaranteed_share`` and ``ceiling`` are fractions of the slots and connections of each
    service. The plan gets the first when upstreams are full and never more than the second.
    """

    name: Name
    services: tuple[Name, ...] = Field(min_length=1)
    open_connections: int | None = Field(default=None, ge=0)
    new_connections_per_s: int | None = Field(default=None, ge=0)
    requests_per_s: int | None = Field(default=None, ge=0)
    concurrent_requests: int | None = Field(default=None, ge=0)
    guaranteed_share: float = Field(default=0.0, ge=0, le=1)
    ceiling: float = Field(default=1.0, gt=0, le=1)

    @model_validator(mode="after")
    def _check(self) -> Plan:
        require_unique("services", self.services)
        if self.guaranteed_share > self.ceiling:
            raise ValueError("guaranteed_share is above ceiling")
        return self


class PlanList(ListModel):
    """The value ``plans``."""

    plans: tuple[Plan, ...] = Field(min_length=1)

    @model_validator(mode="after")
    def _check(self) -> PlanList:
        require_unique("plans.name", (plan.name for plan in self.plans))
        return self

    @property
    def plans_by_name(self) -> dict[str, Plan]:
        """Plans by their names."""
        return {plan.name: plan for plan in self.plans}
