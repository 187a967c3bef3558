"""Builds the routes of agents from the list of VMs and the membership view."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.core import AgentNumber
from laburnumbridge.core import ProcessId
from laburnumbridge.membership import MemberState
from laburnumbridge.routing import AgentRoute
from laburnumbridge.routing import AgentState

if TYPE_CHECKING:
    from laburnumbridge.membership import MembershipView
    from laburnumbridge.runtime.published_lists.fleet_view import FleetView

_ROUTE_STATES = {
    MemberState.LIVE: AgentState.LIVE,
    MemberState.UNKNOWN: AgentState.LIVE,
    MemberState.SUSPECT: AgentState.SUSPECT,
    MemberState.LEAVING: AgentState.LEAVING,
    MemberState.DEAD: AgentState.GONE,
    MemberState.GONE: AgentState.GONE,
}


def build_routes(view: FleetView, members: MembershipView) -> list[AgentRoute]:
    """Return a route for each agent of a published service.

    An agent that was removed from the list is routed as gone for as long as membership remembers
    it. After that none of its flows can be open, and it has no route.
    """
    numbers = view.service_numbers()
    listed = {vm.name for vm in view.vms.agents}
    states = {vm.name: members.state(ProcessId(vm.name)) for vm in view.listed_and_removed_agents()}
    return [
        AgentRoute(
            agent_number=AgentNumber(vm.number or 0),
            service_number=numbers[vm.service],
            state=_ROUTE_STATES[states[vm.name]],
            incarnation=members.incarnation(ProcessId(vm.name)),
        )
        for vm in view.listed_and_removed_agents()
        if vm.service in numbers
        and (vm.name in listed or states[vm.name] is not MemberState.UNKNOWN)
    ]
