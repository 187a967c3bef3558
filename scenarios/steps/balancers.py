"""Routing at two balancers, each with its own lists and membership view."""

from __future__ import annotations

import json

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from laburnumbridge.core import AgentNumber
from laburnumbridge.core import FailureDomain
from laburnumbridge.core import Incarnation
from laburnumbridge.core import ProcessId
from laburnumbridge.core import ServiceNumber
from laburnumbridge.membership import Claim
from laburnumbridge.membership import LivenessRecord
from laburnumbridge.membership import LivenessVersion
from laburnumbridge.membership import Member
from laburnumbridge.membership import MembershipView
from laburnumbridge.membership import Role
from laburnumbridge.routing import Drop
from laburnumbridge.routing import RouteDecision
from laburnumbridge.routing import Router
from laburnumbridge.routing import RouteToAgent
from laburnumbridge.routing import SendStatelessReset
from laburnumbridge.runtime.client_connections.connection_id_issuer import ConnectionIdIssuer
from laburnumbridge.runtime.forwarding_path.route_table import build_routes
from laburnumbridge.runtime.published_lists.fleet_view import FleetView

SERVICE_NUMBERS = {"desk": 1, "store": 2}
SERVICE_BY_AGENT = {1: "desk", 2: "desk", 3: "desk", 4: "store", 5: "store"}
FIRST_INCARNATION = 1_000
NEW_FLOWS = 300
# Matches one balancer or both in the step texts.
BALANCER = r"(?P<name>balancer \w|each balancer)"
VM_LIST_CHANGE = (
    rf"{BALANCER} lists agent (?P<agent>\d) as (?P<state>\w+) in version (?P<version>\d+)"
)


def service_list(keys: dict[int, str], current: int) -> bytes:
    """Return the ``services`` list as JSON; ``keys`` maps key numbers to keys in hex."""
    services = [
        {"name": name, "number": number, "address": f"192.0.2.{number}:443"}
        for name, number in SERVICE_NUMBERS.items()
    ]
    routing_keys = [
        {"number": number, "key": key, "current": number == current} for number, key in keys.items()
    ]
    return json.dumps({"routing_keys": routing_keys, "services": services}).encode()


def vm_list(state_by_agent: dict[int, str], service_by_agent: dict[int, str]) -> bytes:
    """Return the VM list as JSON without the agents whose state is "gone"."""
    vms = [
        {
            "name": f"agent-{agent}",
            "role": "agent",
            "failure_domain": "osborne",
            "region": "perth",
            "state": state,
            "address": f"198.51.100.{agent}:4433",
            "control_address": f"198.51.100.{agent}:4434",
            "number": agent,
            "service": service_by_agent[agent],
            "slots": 4,
            "connections": 2000,
        }
        for agent, state in state_by_agent.items()
        if state != "gone"
    ]
    return json.dumps({"vms": vms}).encode()


class Balancer:
    """Combines lists, liveness and routes as `BalancerProcess` does."""

    def __init__(self) -> None:
        self.lists = FleetView()
        self.members = MembershipView()
        self.router: Router | None = None

    def accept(self, name: str, version: int, payload: bytes, now: float) -> None:
        if not self.lists.accept(name, version, payload):
            return
        codec = self.lists.token_codec()
        if self.router is None and codec is not None:
            self.router = Router(codec=codec)
        if self.router is not None and codec is not None:
            self.router.set_codec(codec)
        if name == "vms":
            self.members.apply_list(version=version, members=self._listed_members(), now=now)
        self.apply_routes()

    def apply_claim(self, agent: int, claim: Claim, now: float, *, incarnation: int) -> None:
        version = LivenessVersion(Incarnation(incarnation), 0)
        record = LivenessRecord(ProcessId(f"agent-{agent}"), claim, version, ProcessId("witness"))
        self.members.apply_record(record, now)
        self.apply_routes()

    def apply_routes(self) -> None:
        if self.router is not None:
            routes = build_routes(self.lists, self.members)
            self.router.set_routes(routes=routes, services=self.lists.service_numbers().values())

    def route(self, packet: bytes, service: str) -> RouteDecision:
        assert self.router is not None
        return self.router.route(packet, ServiceNumber(SERVICE_NUMBERS[service]))

    def new_flow_agents(self, service: str) -> set[int]:
        """Return the numbers of the agents that new flows reach."""
        agents: set[int] = set()
        for number in range(NEW_FLOWS):
            header = b"\xc0\x00\x00\x00\x01\x08" + number.to_bytes(8, "big")
            decision = self.route(header.ljust(1200, b"\0"), service)
            if isinstance(decision, RouteToAgent):
                agents.add(decision.agent_number)
        return agents

    def _listed_members(self) -> list[Member]:
        return [
            Member(
                process_id=ProcessId(vm.name),
                role=Role.AGENT,
                failure_domain=FailureDomain(vm.failure_domain),
                leaving=vm.state == "leaving",
            )
            for vm in self.lists.vms.agents
        ]


class BalancersWorld:
    """Balancers A and B, the platform's lists and one open stream."""

    def __init__(self) -> None:
        self.now = 100.0
        self.keys = {1: "01" * 16}
        self.current_key = 1
        self.service_version = 1
        self.state_by_agent = dict.fromkeys(SERVICE_BY_AGENT, "live")
        self.service_by_agent = dict(SERVICE_BY_AGENT)
        self.balancer_by_name = {"A": Balancer(), "B": Balancer()}
        self.packet = b""
        self.publish_keys()
        self.publish_vms(1)

    def balancers(self, name: str) -> list[Balancer]:
        if name == "each balancer":
            return list(self.balancer_by_name.values())
        return [self.balancer_by_name[name.removeprefix("balancer ")]]

    def publish_keys(self, name: str = "each balancer") -> None:
        payload = service_list(self.keys, self.current_key)
        for balancer in self.balancers(name):
            balancer.accept("services", self.service_version, payload, self.now)

    def publish_vms(self, version: int, name: str = "each balancer") -> None:
        payload = vm_list(self.state_by_agent, self.service_by_agent)
        for balancer in self.balancers(name):
            balancer.accept("vms", version, payload, self.now)

    def open_stream(self, agent: int) -> None:
        codec = self.balancers("balancer A")[0].lists.token_codec()
        assert codec is not None
        issuer = ConnectionIdIssuer(
            codec=codec,
            agent_number=AgentNumber(agent),
            incarnation=Incarnation(FIRST_INCARNATION),
            service_number=ServiceNumber(SERVICE_NUMBERS[SERVICE_BY_AGENT[agent]]),
        )
        self.packet = b"\x40" + issuer.issue().connection_id + b"reading"

    def routes(self, name: str, service: str = "desk") -> list[RouteDecision]:
        return [balancer.route(self.packet, service) for balancer in self.balancers(name)]


@pytest.fixture
def balancers_world() -> BalancersWorld:
    return BalancersWorld()


@given(parsers.parse("a new balancer B whose list lacks agent {agent:d}"))
def new_balancer(balancers_world: BalancersWorld, agent: int) -> None:
    balancers_world.balancer_by_name["B"] = Balancer()
    balancers_world.state_by_agent[agent] = "gone"
    balancers_world.publish_keys("balancer B")
    balancers_world.publish_vms(1, "balancer B")


@given(parsers.parse("an open reading stream at agent {agent:d}"))
def open_stream(balancers_world: BalancersWorld, agent: int) -> None:
    balancers_world.open_stream(agent)


@given(parsers.re(VM_LIST_CHANGE))
@when(parsers.re(VM_LIST_CHANGE))
def vms_change(
    balancers_world: BalancersWorld, name: str, agent: str, state: str, version: str
) -> None:
    balancers_world.state_by_agent[int(agent)] = state
    balancers_world.publish_vms(int(version), name)


@when(
    parsers.re(
        rf"{BALANCER} lists agent (?P<agent>\d) under the service (?P<service>\w+) in "
        r"version (?P<version>\d+)"
    )
)
def agent_changes_service(
    balancers_world: BalancersWorld, name: str, agent: str, service: str, version: str
) -> None:
    balancers_world.service_by_agent[int(agent)] = service
    balancers_world.publish_vms(int(version), name)


@when(
    parsers.re(
        rf"{BALANCER} receives a claim that agent (?P<agent>\d) is (?P<claim>suspect|dead|leaving)"
    )
)
def receives_claim(balancers_world: BalancersWorld, name: str, agent: str, claim: str) -> None:
    for balancer in balancers_world.balancers(name):
        balancer.apply_claim(
            int(agent), Claim[claim.upper()], balancers_world.now, incarnation=FIRST_INCARNATION
        )


@when(
    parsers.re(
        rf"{BALANCER} receives a record of a new process at the address of agent (?P<agent>\d)"
    )
)
def receives_newer_incarnation(balancers_world: BalancersWorld, name: str, agent: str) -> None:
    for balancer in balancers_world.balancers(name):
        balancer.apply_claim(
            int(agent), Claim.ALIVE, balancers_world.now, incarnation=FIRST_INCARNATION + 1
        )


@when(parsers.re(rf"the routing key rotates to number (?P<number>\d+) at {BALANCER}"))
def key_rotates(balancers_world: BalancersWorld, number: str, name: str) -> None:
    balancers_world.current_key = int(number)
    balancers_world.keys[int(number)] = f"{int(number):02x}" * 16
    balancers_world.service_version += 1
    balancers_world.publish_keys(name)


@when(parsers.parse("{seconds:d} seconds pass at the balancers"))
def time_passes(balancers_world: BalancersWorld, seconds: int) -> None:
    balancers_world.now += seconds
    for balancer in balancers_world.balancers("each balancer"):
        balancer.members.expire(balancers_world.now)
        balancer.apply_routes()


@then(parsers.re(rf"packets of the stream reach agent (?P<agent>\d) through {BALANCER}"))
def packets_reach_agent(balancers_world: BalancersWorld, agent: str, name: str) -> None:
    expected = RouteToAgent(AgentNumber(int(agent)))
    assert set(balancers_world.routes(name)) == {expected}


@then(parsers.re(rf"{BALANCER} sends the client a stateless reset at once"))
def sends_reset(balancers_world: BalancersWorld, name: str) -> None:
    assert all(isinstance(d, SendStatelessReset) for d in balancers_world.routes(name))


@then(parsers.re(rf"{BALANCER} drops packets of the stream and sends no reset"))
def drops(balancers_world: BalancersWorld, name: str) -> None:
    assert all(isinstance(decision, Drop) for decision in balancers_world.routes(name))


@then(
    parsers.re(
        rf"{BALANCER} drops packets of the stream that arrive for the service (?P<service>\w+)"
    )
)
def drops_for_other_service(balancers_world: BalancersWorld, name: str, service: str) -> None:
    assert all(isinstance(d, Drop) for d in balancers_world.routes(name, service))


@then(
    parsers.re(
        rf"new flows for (?P<service>\w+) through {BALANCER} reach the agents (?P<agents>[\d, ]+)"
    )
)
def new_flows(balancers_world: BalancersWorld, service: str, name: str, agents: str) -> None:
    expected = {int(agent) for agent in agents.split(",")}
    for balancer in balancers_world.balancers(name):
        assert balancer.new_flow_agents(service) == expected
