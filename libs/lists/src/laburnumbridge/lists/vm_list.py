"""VMs of the platform."""

from __future__ import annotations

from typing import Literal

from pydantic import Field
from pydantic import model_validator

from laburnumbridge.lists.list_model import ListModel
from laburnumbridge.lists.service_list import Address
from laburnumbridge.lists.service_list import Name
from laburnumbridge.lists.uniqueness import require_unique


class Vm(ListModel):
    """A VM that runs a balancer or an agent.

    ``address`` receives datagrams; ``control_address`` receives gRPC calls. The last four fields
    are set for agents only; ``slots`` and ``connections`` are the capacity of the agent's upstream.
    """

    name: Name
    role: Literal["balancer", "agent"]
    failure_domain: str = Field(min_length=1)
    region: str = Field(min_length=1)
    state: Literal["live", "leaving"] = "live"
    address: Address
    control_address: Address
    number: int | None = Field(default=None, ge=1, lt=1 << 24)
    service: Name | None = None
    slots: int | None = Field(default=None, ge=1)
    connections: int | None = Field(default=None, ge=1)

    @model_validator(mode="after")
    def _check(self) -> Vm:
        agent_fields = (self.number, self.service, self.slots, self.connections)
        if self.role == "agent" and None in agent_fields:
            raise ValueError("an agent needs number, service, slots and connections")
        return self


class VmList(ListModel):
    """The list of live and leaving VMs."""

    vms: tuple[Vm, ...] = ()

    @model_validator(mode="after")
    def _check(self) -> VmList:
        require_unique("vms.name", (vm.name for vm in self.vms))
        require_unique("vms.address", (vm.address for vm in self.vms))
        require_unique("vms.number", (vm.number for vm in self.agents))
        return self

    @property
    def agents(self) -> tuple[Vm, ...]:
        """VMs that run an agent."""
        return tuple(vm for vm in self.vms if vm.role == "agent")

    @property
    def balancers(self) -> tuple[Vm, ...]:
        """VMs that run a balancer."""
        return tuple(vm for vm in self.vms if vm.role == "balancer")
