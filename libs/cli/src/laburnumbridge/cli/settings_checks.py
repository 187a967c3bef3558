"""Checks of the settings of a process against the lists."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.lists import ListProblem
from laburnumbridge.lists import Severity
from laburnumbridge.settings import AgentSettings

if TYPE_CHECKING:
    from collections.abc import Iterator

    from laburnumbridge.lists import ServiceList
    from laburnumbridge.lists import Vm
    from laburnumbridge.lists import VmList
    from laburnumbridge.settings import BalancerSettings

_COMMON_FIELDS = ("region", "failure_domain", "address", "control_address")
_AGENT_FIELDS = ("number", "service", "slots", "connections")


def check_settings(
    settings: AgentSettings | BalancerSettings,
    *,
    services: ServiceList | None,
    vms: VmList | None,
) -> Iterator[ListProblem]:
    """Yield the faults; a process that isn't in the list of VMs yet is a warning."""
    if services is not None:
        yield from _check_services(settings, services)
    if vms is not None:
        yield from _check_vm(settings, vms)


def _check_services(
    settings: AgentSettings | BalancerSettings, services: ServiceList
) -> Iterator[ListProblem]:
    if isinstance(settings, AgentSettings):
        service_by_path = {"settings.service": settings.service}
    else:
        service_by_path = {
            f"settings.listen_by_service.{name}": name for name in settings.listen_by_service
        }
    for path, name in service_by_path.items():
        if name not in services.services_by_name:
            yield ListProblem(path=path, message=f"there is no service {name!r}")


def _check_vm(settings: AgentSettings | BalancerSettings, vms: VmList) -> Iterator[ListProblem]:
    vm = next((vm for vm in vms.vms if vm.name == settings.name), None)
    if vm is None:
        yield ListProblem(
            path="settings.name",
            message=f"the VM list has no VM {settings.name!r}",
            severity=Severity.WARNING,
        )
        return
    yield from _compare(settings, vm)


def _compare(settings: AgentSettings | BalancerSettings, vm: Vm) -> Iterator[ListProblem]:
    is_agent = isinstance(settings, AgentSettings)
    role = "agent" if is_agent else "balancer"
    if vm.role != role:
        yield ListProblem(
            path="settings.name", message=f"{vm.name!r} is a {vm.role} in the VM list"
        )
        return
    for field in _COMMON_FIELDS + (_AGENT_FIELDS if is_agent else ()):
        own, listed = getattr(settings, field), getattr(vm, field)
        if own != listed:
            message = f"{own!r} differs from {listed!r} in the VM list"
            yield ListProblem(path=f"settings.{field}", message=message)
