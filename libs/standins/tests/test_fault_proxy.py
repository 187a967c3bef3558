from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from laburnumbridge.standins.flows.fault_proxy import DELAY_S
from laburnumbridge.standins.flows.fault_proxy import FaultProxy
from laburnumbridge.standins.flows.fault_proxy import ProxyFault
from laburnumbridge.standins.flows.simulation import SimulatedLoop
from laburnumbridge.standins.flows.simulation import SimulatedNetwork
from laburnumbridge.standins.flows.simulation import Simulation

if TYPE_CHECKING:
    from laburnumbridge.forwarding.network import ByteStream
    from laburnumbridge.forwarding.network import StreamEnd

TARGET = ("10.0.0.1", 80)
PROXY = ("10.0.0.2", 80)
SOON_S = 0.05


class Played:
    """A target that echoes, a proxy and a connection through it."""

    def __init__(self) -> None:
        self.simulation = Simulation()
        target = self._network(TARGET[0])
        self._listener = target.listener(TARGET, self._accept)
        self._listener.start()
        loop = SimulatedLoop(simulation=self.simulation, address=PROXY[0])
        self.proxy = FaultProxy(
            loop=loop, network=SimulatedNetwork(loop=loop), endpoint=PROXY, target=TARGET
        )
        self.proxy.start()
        self._client = self._network("10.0.0.3")
        self.reached = b""
        self.received = b""
        self.ends: list[StreamEnd] = []
        self.stream = self.connect()

    def _network(self, address: str) -> SimulatedNetwork:
        return SimulatedNetwork(loop=SimulatedLoop(simulation=self.simulation, address=address))

    def _accept(self, stream: ByteStream, _endpoint: object) -> None:
        def on_data(data: bytes) -> None:
            self.reached += data
            stream.send(data)

        stream.on_data = on_data

    def connect(self) -> ByteStream:
        stream = self._client.connect(PROXY)

        def on_data(data: bytes) -> None:
            self.received += data

        stream.on_data = on_data
        stream.on_end = self.ends.append
        self.simulation.run_for(SOON_S)
        return stream

    def send(self, data: bytes, wait_s: float = SOON_S) -> None:
        self.stream.send(data)
        self.simulation.run_for(wait_s)


@pytest.fixture
def played() -> Played:
    return Played()


class TestFaults:
    def test_without_a_fault_bytes_pass_both_ways(self, played: Played) -> None:
        # Guards against a proxy that disturbs what no fault should.
        played.send(b"one")
        assert (played.reached, played.received) == (b"one", b"one")

    def test_a_delay_keeps_the_order(self, played: Played) -> None:
        # Guards against bytes that overtake delayed ones when the fault ends: no real network
        # does that to a connection.
        played.proxy.inject(ProxyFault.DELAY)
        played.send(b"one")
        assert played.reached == b""
        played.proxy.inject(ProxyFault.NONE)
        played.send(b"two", wait_s=3 * DELAY_S)
        assert (played.reached, played.received) == (b"onetwo", b"onetwo")

    def test_a_reset_ends_old_and_new_connections(self, played: Played) -> None:
        # Guards against a reset that the callers don't see.
        played.proxy.inject(ProxyFault.RESET)
        played.simulation.run_for(SOON_S)
        assert len(played.ends) == 1
        played.connect()
        assert len(played.ends) == 2

    def test_a_silenced_connection_stays_silent(self, played: Played) -> None:
        # Guards against bytes that go on after a gap, which would be a corrupt connection.
        played.proxy.inject(ProxyFault.SILENCE)
        played.send(b"one")
        played.proxy.inject(ProxyFault.NONE)
        played.send(b"two")
        assert (played.reached, played.received, played.ends) == (b"", b"", [])
        played.stream = played.connect()
        played.send(b"three")
        assert played.received == b"three"

    def test_a_cut_one_way_loses_the_replies_only(self, played: Played) -> None:
        # Guards against a one-way cut that is a full one.
        played.proxy.inject(ProxyFault.CUT_REPLIES)
        played.send(b"one")
        assert (played.reached, played.received) == (b"one", b"")
