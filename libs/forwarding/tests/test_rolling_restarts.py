from __future__ import annotations

from functools import partial

import pytest

from laburnumbridge.forwarding.forwarding_process import flow_text
from laburnumbridge.standins.flows.process_settings import SERVICE
from laburnumbridge.standins.flows.process_settings import UPSTREAM_PORT
from laburnumbridge.standins.flows.simulated_fleet import SimulatedFleet

RESTART_S = 0.9
"""Time from the end of a process until it receives packets again: it is started after 0.5 s."""
GAP_S = 1.0
FLOW_S = 2.0
"""Packets of an open flow may reach only other upstreams for less than this."""
OTHERS = 3


class Arrivals:
    """Records which packets of open flows reach which upstream's socket."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.by_flow = {}
        fleet.simulation.should_drop = self._observe

    def _observe(self, datagram, endpoint):
        upstream = self.fleet.upstream_by_address.get(endpoint[0])
        if endpoint[1] == UPSTREAM_PORT and upstream is not None:
            packet = upstream._codec.decode_from_client(datagram)
            arrival = (self.fleet.simulation.now, packet.flow in upstream.openings)
            if not packet.is_opening:
                self.by_flow.setdefault(packet.flow, []).append(arrival)
        return False

    def astray(self, flows):
        """Return the flows whose packets reached only other upstreams for ``FLOW_S``."""
        found = []
        for flow in flows:
            others = []
            for at, is_own in self.by_flow.get(flow.key, ()):
                others = [] if is_own else [*others, at]
                if len(others) >= OTHERS and at - others[0] >= FLOW_S:
                    found.append(flow_text(flow.key))
                    break
        return found

    @property
    def strays(self):
        return sum(not is_own for arrivals in self.by_flow.values() for _, is_own in arrivals)


class Rolling:
    """Stops and starts processes in turn, several turns at a time.

    With ``is_fast`` the next one stops ``GAP_S`` after the last was stopped, not after its start.
    """

    def __init__(self, fleet, *, is_fast):
        self.fleet = fleet
        self.is_fast = is_fast
        self.busy = set()

    def turn(self, addresses, index=0):
        address = addresses[index % len(addresses)]
        following = partial(self.turn, addresses, index + 1)
        is_stopped = address not in self.busy
        if is_stopped:
            self.busy.add(address)
            self.fleet.terminate(address)
            self.wait(address, None if self.is_fast else following)
        if self.is_fast or not is_stopped:
            self.fleet.simulation.schedule(GAP_S, following)

    def wait(self, address, following):
        if self.fleet.is_running(address):
            self.fleet.simulation.schedule(0.05, lambda: self.wait(address, following))
        else:
            self.fleet.simulation.schedule(RESTART_S, lambda: self.start(address, following))

    def start(self, address, following):
        self.fleet.start_process(address)
        self.busy.discard(address)
        if following is not None:
            self.fleet.simulation.schedule(GAP_S, following)


def roll(tmp_path, *, agents, flows, seconds, is_fast=False):
    """Use open flows while agents and balancers restart; return the flows and their arrivals."""
    fleet = SimulatedFleet(directory=tmp_path, agents=agents, balancers=4)
    fleet.start()
    opened = [fleet.client.open_flow(SERVICE) for _ in range(flows)]
    for flow in opened:
        flow.request(b"r0")
    fleet.simulation.run_for(3.0)
    arrivals = Arrivals(fleet)
    rolling = Rolling(fleet, is_fast=is_fast)
    third = len(fleet.agents) // 3
    for start in (0, third, 2 * third):
        rolling.turn(fleet.agents[start:] + fleet.agents[:start])
    rolling.turn(fleet.balancers)
    for number in range(1, int(seconds / 0.5)):
        # The fabric checks readiness: balancers that don't run leave the rotation.
        fleet.rotation = [one for one in fleet.balancers if one not in rolling.busy]
        for index, flow in enumerate(opened):
            if (index + number) % 3 == 0 and not flow._queued_requests:
                flow.request(b"r%d" % number)
        fleet.simulation.run_for(0.5)
    return opened, arrivals


class TestRollingRestarts:
    @pytest.mark.parametrize(("agents", "is_fast"), [(7, False), (30, True)])
    def test_flows_are_found_while_agents_and_balancers_roll(self, tmp_path, agents, is_fast):
        # Guards against packets of open flows that are tried at other upstreams and don't reach
        # their own for 2 s: directory nodes restart, and searches pass agents that don't answer.
        # Resets came from agents that had just started, with a fresh confirmation of an empty view.
        flows, arrivals = roll(tmp_path, agents=agents, flows=60, seconds=50.0, is_fast=is_fast)
        assert arrivals.astray(flows) == []
        assert not any(flow.was_reset for flow in flows)
