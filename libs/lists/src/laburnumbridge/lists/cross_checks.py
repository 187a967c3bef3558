"""Checks across several lists."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from laburnumbridge.lists.list_problem import ListProblem
from laburnumbridge.lists.list_problem import Severity

if TYPE_CHECKING:
    from collections.abc import Iterator

    from laburnumbridge.lists.client_account_list import ClientAccountList
    from laburnumbridge.lists.plan_list import Plan
    from laburnumbridge.lists.plan_list import PlanList
    from laburnumbridge.lists.service_list import ServiceList
    from laburnumbridge.lists.vm_list import VmList


def check_lists(
    *,
    services: ServiceList,
    client_accounts: ClientAccountList,
    plans: PlanList,
    vms: VmList | None = None,
) -> list[ListProblem]:
    """Return the faults across the lists; limits above the capacity are warnings.

    The capacity is checked only if ``vms`` is given.
    """
    problems = [*_check_names(services, client_accounts, plans), *_check_shares(services, plans)]
    if vms is not None:
        problems.extend(_check_capacity(plans, vms))
    return problems


def _check_names(
    services: ServiceList, client_accounts: ClientAccountList, plans: PlanList
) -> Iterator[ListProblem]:
    plan_names = set(plans.plans_by_name)
    if client_accounts.default_plan not in plan_names:
        yield ListProblem(
            path="guests.default_plan", message=f"there is no plan {client_accounts.default_plan!r}"
        )
    for index, client_account in enumerate(client_accounts.guests):
        if client_account.plan not in plan_names:
            yield ListProblem(
                path=f"guests.guests[{index}].plan",
                message=f"there is no plan {client_account.plan!r}",
            )
    for index, plan in enumerate(plans.plans):
        for position, name in enumerate(plan.services):
            if name not in services.services_by_name:
                yield ListProblem(
                    path=f"plans.plans[{index}].services[{position}]",
                    message=f"there is no service {name!r}",
                )


def _check_shares(services: ServiceList, plans: PlanList) -> Iterator[ListProblem]:
    for service in services.services:
        service_plans = [plan for plan in plans.plans if service.name in plan.services]
        total = sum(plan.guaranteed_share for plan in service_plans)
        if total > 1:
            names = ", ".join(plan.name for plan in service_plans if plan.guaranteed_share)
            yield ListProblem(
                path="plans.plans[*].guaranteed_share",
                message=f"shares of {service.name} add up to {total:g}, above 1 ({names})",
            )


def _check_capacity(plans: PlanList, vms: VmList) -> Iterator[ListProblem]:
    slots: dict[str, int] = defaultdict(int)
    connections: dict[str, int] = defaultdict(int)
    for vm in vms.agents:
        if vm.service and vm.slots and vm.connections:
            slots[vm.service] += vm.slots
            connections[vm.service] += vm.connections
    for index, plan in enumerate(plans.plans):
        yield from _check_plan_capacity(index, plan, slots, connections)


def _check_plan_capacity(
    index: int, plan: Plan, slots: dict[str, int], connections: dict[str, int]
) -> Iterator[ListProblem]:
    for field, limit, capacity_by_service in (
        ("concurrent_requests", plan.concurrent_requests, slots),
        ("open_connections", plan.open_connections, connections),
    ):
        capacity = sum(capacity_by_service[name] for name in plan.services) * plan.ceiling
        if limit is not None and limit > capacity:
            yield ListProblem(
                path=f"plans.plans[{index}].{field}",
                message=f"the upstreams can meet {capacity:g} of {limit}",
                severity=Severity.WARNING,
            )
