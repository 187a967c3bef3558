"""The lists in force in this process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.core import AgentNumber
from laburnumbridge.core import ServiceNumber
from laburnumbridge.core import hash64
from laburnumbridge.lists import ClientAccountDirectory
from laburnumbridge.lists import ClientAccountList
from laburnumbridge.lists import PlanList
from laburnumbridge.lists import ServiceList
from laburnumbridge.lists import VmList
from laburnumbridge.lists import parse_list
from laburnumbridge.routing import TokenCodec
from laburnumbridge.wire import Endpoint

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.lists import Vm

MODEL_BY_NAME: dict[str, type[ServiceList | ClientAccountList | PlanList | VmList]] = {
    "services": ServiceList,
    "guests": ClientAccountList,
    "plans": PlanList,
    "vms": VmList,
}


# Bounds memory. At the design size, 710 agents are replaced a day, and the loss of a failure
# domain removes 1,700 agents.
MAX_REMOVED_AGENTS = 4_000


class FleetView:
    """Parsed lists with their versions; only a higher version replaces one in force."""

    def __init__(self) -> None:
        self.version_by_name: dict[str, int] = dict.fromkeys(MODEL_BY_NAME, 0)
        self.digest_by_name: dict[str, str] = dict.fromkeys(MODEL_BY_NAME, "")
        self.services: ServiceList | None = None
        self.guests: ClientAccountList | None = None
        self.plans: PlanList | None = None
        self.vms = VmList()
        self.directory: ClientAccountDirectory | None = None
        self._removed_by_number: dict[AgentNumber, Vm] = {}
        self._control_endpoint_by_process: dict[str, Endpoint] = {}
        self._listeners: list[Callable[[str], None]] = []

    def listen(self, listener: Callable[[str], None]) -> None:
        """Call ``listener(name)`` after each change."""
        self._listeners.append(listener)

    def accept(self, name: str, version: int, payload: bytes) -> bool:
        """Put a version in force; return False if it isn't higher than the one in force.

        Raises InvalidListError for an invalid payload; the version in force then stays.
        """
        if version <= self.version_by_name[name]:
            return False
        model = MODEL_BY_NAME[name]
        parsed = parse_list(name, payload, model)
        if isinstance(parsed, VmList):
            self._record_removed(parsed)
            self._control_endpoint_by_process = {
                vm.name: Endpoint.parse(vm.control_address) for vm in parsed.vms
            }
        if isinstance(parsed, ClientAccountList):
            self.directory = ClientAccountDirectory(client_accounts=parsed)
        setattr(self, name, parsed)
        self.version_by_name[name] = version
        self.digest_by_name[name] = f"{hash64(payload):016x}"
        for listener in self._listeners:
            listener(name)
        return True

    def balancer_endpoints(self) -> list[Endpoint]:
        """Return the datagram addresses of the live balancers, sorted."""
        return sorted(Endpoint.parse(vm.address) for vm in self.vms.balancers if vm.state == "live")

    def control_endpoint(self, process_id: str) -> Endpoint | None:
        """Return the control address of a process, or None if it isn't listed."""
        return self._control_endpoint_by_process.get(process_id)

    def endpoints_by_agent(self) -> dict[AgentNumber, Endpoint]:
        """Return the datagram address of each agent, including agents removed from the list."""
        return {
            AgentNumber(vm.number or 0): Endpoint.parse(vm.address)
            for vm in reversed(self.listed_and_removed_agents())
        }

    def service_numbers(self) -> dict[str, ServiceNumber]:
        """Return service numbers by name; empty before a list of services is in force."""
        listed = self.services.services if self.services else ()
        return {service.name: ServiceNumber(service.number) for service in listed}

    def token_codec(self) -> TokenCodec | None:
        """Return the codec for the routing keys in force, or None before there are any."""
        if self.services is None:
            return None
        return TokenCodec(
            keys_by_number=self.services.keys_by_number,
            current_number=self.services.current_key_number,
        )

    def listed_and_removed_agents(self) -> list[Vm]:
        """Return the agents of the list, then those that were removed from it."""
        return [*self.vms.agents, *self._removed_by_number.values()]

    def _record_removed(self, newer: VmList) -> None:
        listed = {vm.number for vm in newer.agents}
        for vm in self.vms.agents:
            if vm.number not in listed:
                self._removed_by_number[AgentNumber(vm.number or 0)] = vm
        while len(self._removed_by_number) > MAX_REMOVED_AGENTS:
            del self._removed_by_number[next(iter(self._removed_by_number))]
        for number in listed & set(self._removed_by_number):
            del self._removed_by_number[AgentNumber(number or 0)]
