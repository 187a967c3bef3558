"""Passes the state of the other agents to the decision modules of an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge import requests as req
from laburnumbridge.core import AgentNumber
from laburnumbridge.core import Incarnation
from laburnumbridge.core import ProcessId
from laburnumbridge.membership import MemberState
from laburnumbridge.placement import SiblingState
from laburnumbridge.runtime.control.timer import PeriodicTimer
from laburnumbridge.wire import Endpoint

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.lists import Vm
    from laburnumbridge.runtime.client_connections.placement_policy import PlacementPolicy
    from laburnumbridge.runtime.client_requests.request_runner import RequestRunner
    from laburnumbridge.runtime.control.lease_driver import LeaseDriver
    from laburnumbridge.runtime.process_core import ProcessCore

_SIBLING_STATES = {
    MemberState.LIVE: SiblingState.LIVE,
    MemberState.SUSPECT: SiblingState.SUSPECT,
    MemberState.LEAVING: SiblingState.LEAVING,
    MemberState.DEAD: SiblingState.GONE,
    MemberState.GONE: SiblingState.GONE,
    MemberState.UNKNOWN: SiblingState.SUSPECT,
}
# A list of VMs that the platform confirmed this long ago or earlier may lack changes, so the set
# of agents derived from it is no longer certain.
MAX_LIST_AGE_S = 15.0
CHECK_INTERVAL_S = 1.0

_REACHABLE = frozenset({MemberState.LIVE, MemberState.LEAVING, MemberState.SUSPECT})


class AgentFleet:
    """Passes changes of lists and membership on to leases, requests and placement.

    ``on_leaving()`` is called once, when membership reports that this agent is leaving.
    """

    def __init__(
        self,
        *,
        core: ProcessCore,
        service: str,
        leases: LeaseDriver,
        runner: RequestRunner,
        policy: PlacementPolicy,
        on_leaving: Callable[[], None],
    ) -> None:
        self._core = core
        self._service = service
        self._leases = leases
        self._runner = runner
        self._policy = policy
        self._on_leaving = on_leaving
        self._is_leaving = False
        self._set_version = 0
        self._latest: tuple[object, ...] | None = None
        self._timer = PeriodicTimer(interval_s=CHECK_INTERVAL_S, callback=self._check_age)

    def start(self) -> None:
        """Pass on the current state and every later change."""
        self._core.membership.listen(self._apply)
        self._apply()
        self._timer.start()

    def close(self) -> None:
        """Stop checking the age of the list."""
        self._timer.close()

    def _apply(self) -> None:
        view = self._core.membership.view
        agents = self._core.view.vms.agents
        self._apply_leases(agents)
        siblings = [vm for vm in agents if vm.service == self._service]
        self._apply_requests(siblings)
        self._apply_placement([vm for vm in siblings if vm.name != self._core.process_id])
        own = view.state(self._core.process_id)
        if own is MemberState.LEAVING and not self._is_leaving:
            self._is_leaving = True
            self._on_leaving()

    def _check_age(self) -> None:
        agents = self._core.view.vms.agents
        self._apply_requests([vm for vm in agents if vm.service == self._service])

    def _state(self, vm: Vm) -> MemberState:
        return self._core.membership.view.state(ProcessId(vm.name))

    def _apply_leases(self, agents: tuple[Vm, ...]) -> None:
        reachable: list[ProcessId] = []
        if not self._core.membership.is_expired:
            reachable = [ProcessId(vm.name) for vm in agents if self._state(vm) in _REACHABLE]
            reachable.append(self._core.process_id)
        listed = [ProcessId(vm.name) for vm in agents]
        self._leases.set_fleet(listed=listed, reachable=reachable)

    def _apply_requests(self, siblings: list[Vm]) -> None:
        agents = {req.AgentId(self._core.process_id, self._core.incarnation)}
        for vm in siblings:
            incarnation = self._core.membership.view.incarnation(ProcessId(vm.name))
            is_other = vm.name != self._core.process_id
            if is_other and incarnation is not None and self._state(vm) is MemberState.LIVE:
                agents.add(req.AgentId(ProcessId(vm.name), Incarnation(incarnation)))
        listed = frozenset(ProcessId(vm.name) for vm in siblings)
        is_recent = self._core.configuration.vm_list_age_s() < MAX_LIST_AGE_S
        certain = is_recent and not self._core.membership.is_expired
        latest = (frozenset(agents), listed, certain)
        if latest == self._latest:
            return
        self._latest = latest
        self._set_version += 1
        self._runner.set_agents(
            req.AgentSetChanged(
                version=self._set_version,
                agents=frozenset(agents),
                listed=listed,
                certain=certain,
            )
        )

    def _apply_placement(self, siblings: list[Vm]) -> None:
        by_number = {AgentNumber(vm.number or 0): vm for vm in siblings}
        self._policy.set_siblings(
            endpoint_by_number={n: Endpoint.parse(vm.address) for n, vm in by_number.items()},
            number_by_process={ProcessId(vm.name): n for n, vm in by_number.items()},
            state_by_number={n: _SIBLING_STATES[self._state(vm)] for n, vm in by_number.items()},
        )
