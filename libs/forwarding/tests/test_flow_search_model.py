from __future__ import annotations

from itertools import combinations
from itertools import permutations
from itertools import product
from pathlib import Path
from tempfile import TemporaryDirectory

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from laburnumbridge.core import Event
from laburnumbridge.flows.peer_datagrams import DatagramKind
from laburnumbridge.standins.flows.process_settings import PEER_PORT
from laburnumbridge.standins.flows.process_settings import SECOND_SERVICE_NAME
from laburnumbridge.standins.flows.process_settings import SERVICE
from laburnumbridge.standins.flows.process_settings import SERVICE_NAME
from laburnumbridge.standins.flows.simulated_fleet import SimulatedFleet

DOWN_S = 0.9
LONG_DOWN_S = 4.0
THREE_PACKETS_S = 0.75
"""A client sends a packet again after 0.2 and 0.6 s. The rest is for 60 ms of work, and for queries
to agents that don't answer: the requirement is about packets, not about time."""
SETTLE_S = 0.5
"""A process that has started has its view after this."""


NEW_KINDS = (DatagramKind.RECORDS_REQUEST, DatagramKind.FLOW_QUERY, DatagramKind.FLOW_ANSWER)


class Model:
    """A fleet of 3 agents and 2 balancers with 2 open flows, and the faults that it gets.

    Agents in ``previous`` send and understand no datagrams of the kinds in ``NEW_KINDS``.
    """

    def __init__(self, directory, *, agents=3):
        self.fleet = SimulatedFleet(
            directory=directory, agents=agents, second_service_agents=1, balancers=2
        )
        self.fleet.start()
        self.flows = [self.fleet.client.open_flow(SERVICE) for _ in range(2)]
        for flow in self.flows:
            flow.request(b"first")
        self.run_for(1.5)
        self.holders = {self.fleet.holder(flow.key) for flow in self.flows}
        self.others = [agent for agent in self.fleet.agents if agent not in self.holders]
        self.down = set()
        self.previous = set()
        self.versions = 1

    def restart(self, address, *, down_s=DOWN_S):
        if address in self.down:
            return
        self.down.add(address)
        self.fleet.kill(address)
        self.fleet.simulation.schedule(down_s, lambda: self._start(address))

    def _start(self, address):
        self.fleet.start_process(address)
        self.down.discard(address)
        if address in self.previous:
            process = self.fleet.process_by_address[address]
            process._request_records = lambda _now: None
            process._search._inquire = process._search._walk

    def move_route(self):
        self.versions += 1
        weights = {SERVICE_NAME: 1, SECOND_SERVICE_NAME: self.versions % 3}
        self.fleet.configure(version=self.versions, weight_by_service=weights)

    def drop_service(self):
        """Move the route and leave the service of the open flows out of the configuration."""
        self.versions += 1
        self.fleet.configure(
            version=self.versions,
            weight_by_service={SECOND_SERVICE_NAME: 1},
            services=(SECOND_SERVICE_NAME,),
        )

    def run_for(self, seconds):
        """Run while the fabric sends packets to the balancers that are ready."""
        for _ in range(round(seconds / 0.05)):
            self.update_rotation()
            self.fleet.simulation.run_for(0.05)

    def update_rotation(self):
        processes = self.fleet.process_by_address
        self.fleet.rotation = [
            one
            for one in self.fleet.balancers
            if self.fleet.is_running(one) and processes[one].unready_reason is None
        ]

    def request(self, name):
        """Send a request on each flow; return which are answered within three packets.

        All three go to the same balancer.
        """
        self.update_rotation()
        for flow in self.flows:
            flow.request(name)
        self.fleet.simulation.run_for(THREE_PACKETS_S)
        return [name in flow.answers for flow in self.flows]

    def check(self):
        """No flow is reset, and no search goes in circles."""
        assert not any(flow.was_reset for flow in self.flows)
        assert not self.fleet.lines(Event.PACKET_DROPPED, "hops")
        assert not self.fleet.lines(Event.INTERNAL_ERROR)


class TestOrders:
    @pytest.mark.parametrize("stagger_s", [0.0, 0.4])
    def test_open_flows_are_found_whichever_others_are_down(self, tmp_path, stagger_s):
        # Guards against flows that aren't found while other agents are down and the balancers have
        # just restarted: a search that ends, or waits, at an agent that doesn't answer.
        orders = product(permutations(range(4)), combinations(range(3), 2))
        for index, (order, pair) in enumerate(orders):
            directory = tmp_path / str(index)
            directory.mkdir()
            model = Model(directory)
            restarted = [*(model.others[number] for number in pair), *model.fleet.balancers]
            for number in order:
                model.restart(restarted[number], down_s=DOWN_S if number > 1 else LONG_DOWN_S)
                model.run_for(stagger_s)
            model.run_for(0.05)
            while not model.fleet.rotation:
                model.run_for(0.05)
            for number in range(3):
                assert model.request(b"r%d" % number) == [True, True], (order, pair, number)
            model.check()

    @pytest.mark.parametrize("stagger_s", [0.0, 0.3, 1.0])
    def test_open_flows_are_found_after_all_have_restarted(self, tmp_path, stagger_s):
        # Guards against flows whose agent and directory nodes have all lost their records: all
        # orders of three agents and one balancer.
        for index, order in enumerate(permutations(range(4))):
            directory = tmp_path / str(index)
            directory.mkdir()
            model = Model(directory, agents=2)
            restarted = [*model.fleet.agents, model.fleet.balancers[0]]
            for number in order:
                model.restart(restarted[number])
                model.run_for(stagger_s)
            model.run_for(DOWN_S + SETTLE_S)
            assert model.request(b"second") == [True, True], order
            model.check()


class TestPreviousVersion:
    def test_flows_at_agents_that_dont_know_queries_are_found(self, tmp_path):
        # Guards against flows that are lost during an upgrade: agents of the previous version drop
        # datagrams of unknown kinds, whether they hold the flow or are its directory nodes.
        for index, previous in enumerate(product((False, True), repeat=4)):
            directory = tmp_path / str(index)
            directory.mkdir()
            model = Model(directory)
            agents = zip(model.fleet.agents, previous, strict=True)
            model.previous = {agent for agent, is_previous in agents if is_previous}
            model.fleet.simulation.should_drop = lambda datagram, endpoint, model=model: (
                endpoint[0] in model.previous
                and endpoint[1] == PEER_PORT
                and datagram[0] in NEW_KINDS
            )
            for address in (*model.fleet.agents, *model.fleet.balancers):
                model.restart(address)
            model.run_for(DOWN_S + SETTLE_S)
            assert model.request(b"second") == [True, True], model.previous
            model.check()


ACTIONS = st.one_of(
    st.tuples(st.just("restart"), st.integers(0, 5)),
    st.tuples(st.just("freeze"), st.integers(0, 5)),
    st.tuples(st.just("lose"), st.sampled_from(sorted(DatagramKind))),
    st.tuples(st.just("move"), st.just(0)),
    st.tuples(st.just("request"), st.just(0)),
    st.tuples(st.just("wait"), st.integers(1, 10)),
)


DROP = st.tuples(st.just("drop"), st.just(0))


def play(actions) -> None:
    """Play ``actions`` one after the other; no flow may be reset, or not found in the end."""
    with TemporaryDirectory() as directory:
        model = Model(Path(directory))
        lost = set()
        model.fleet.simulation.should_drop = lambda datagram, endpoint: (
            endpoint[1] == PEER_PORT and datagram[0] in lost
        )
        addresses = [*model.fleet.agents, *model.fleet.balancers]
        for number, (action, argument) in enumerate(actions):
            if action == "restart":
                model.restart(addresses[argument])
            elif action == "freeze" and addresses[argument] not in model.down:
                model.fleet.pause(addresses[argument], 0.7)
            elif action == "lose":
                lost.symmetric_difference_update({argument})
            elif action == "move":
                model.move_route()
            elif action == "drop":
                model.drop_service()
            elif action == "request":
                model.request(b"r%d" % number)
            else:
                model.run_for(0.1 * argument)
            model.check()
        lost.clear()
        model.run_for(DOWN_S + SETTLE_S)
        # Earlier requests are answered first; the client repeats them after up to 1.6 s.
        model.run_for(3.0)
        assert model.request(b"last") == [True, True]
        model.check()


class TestRandomFaults:
    @given(actions=st.lists(ACTIONS, min_size=4, max_size=14))
    @settings(derandomize=True, max_examples=60, deadline=None)
    def test_no_flow_is_reset_and_each_is_found_in_the_end(self, actions):
        # Guards against orders of restarts, frozen processes, lost datagrams and changed routes in
        # which a flow is reset, or isn't found once all processes run again.
        play(actions)

    @given(actions=st.lists(st.one_of(ACTIONS, DROP), min_size=6, max_size=18))
    @settings(derandomize=True, max_examples=60, deadline=None)
    def test_no_flow_of_a_dropped_service_is_reset(self, actions):
        # Guards against the same while the operator drops the service of the flows, and adds it
        # again by moving the route back.
        play([("drop", 0), *actions])
