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
DELIVERY_S = 0.05


class ProxyHarness:
    """An echoing target, a proxy, and a client with one connection through the proxy."""

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
        self.target_received = b""
        self.client_received = b""
        self.ends: list[StreamEnd] = []
        self.stream = self.connect()

    def _network(self, address: str) -> SimulatedNetwork:
        return SimulatedNetwork(loop=SimulatedLoop(simulation=self.simulation, address=address))

    def _accept(self, stream: ByteStream, _endpoint: object) -> None:
        def on_data(data: bytes) -> None:
            self.target_received += data
            stream.send(data)

        stream.on_data = on_data

    def connect(self) -> ByteStream:
        stream = self._client.connect(PROXY)

        def on_data(data: bytes) -> None:
            self.client_received += data

        stream.on_data = on_data
        stream.on_end = self.ends.append
        self.simulation.run_for(DELIVERY_S)
        return stream

    def send(self, data: bytes, wait_s: float = DELIVERY_S) -> None:
        self.stream.send(data)
        self.simulation.run_for(wait_s)


@pytest.fixture
def harness() -> ProxyHarness:
    return ProxyHarness()


class TestFaults:
    def test_bytes_pass_both_ways_without_a_fault(self, harness: ProxyHarness) -> None:
        # Guards against a proxy that changes traffic while no fault is active.
        harness.send(b"one")
        assert (harness.target_received, harness.client_received) == (b"one", b"one")

    def test_bytes_stay_in_order_after_a_delay(self, harness: ProxyHarness) -> None:
        # Guards against bytes that overtake delayed ones when the fault ends: a real network never
        # reorders the bytes of a connection.
        harness.proxy.inject(ProxyFault.DELAY)
        harness.send(b"one")
        assert harness.target_received == b""
        harness.proxy.inject(ProxyFault.NONE)
        harness.send(b"two", wait_s=3 * DELAY_S)
        assert (harness.target_received, harness.client_received) == (b"onetwo", b"onetwo")

    def test_reset_closes_existing_and_new_connections(self, harness: ProxyHarness) -> None:
        # Guards against a reset that is not reported to the clients.
        harness.proxy.inject(ProxyFault.RESET)
        harness.simulation.run_for(DELIVERY_S)
        assert len(harness.ends) == 1
        harness.connect()
        assert len(harness.ends) == 2

    def test_silenced_connection_stays_silent_after_the_fault(self, harness: ProxyHarness) -> None:
        # Guards against bytes that arrive after dropped ones, which would corrupt the connection.
        harness.proxy.inject(ProxyFault.SILENCE)
        harness.send(b"one")
        harness.proxy.inject(ProxyFault.NONE)
        harness.send(b"two")
        assert (harness.target_received, harness.client_received, harness.ends) == (
            b"",
            b"",
            [],
        )
        harness.stream = harness.connect()
        harness.send(b"three")
        assert harness.client_received == b"three"

    def test_cut_replies_drops_replies_only(self, harness: ProxyHarness) -> None:
        # Guards against CUT_REPLIES dropping the bytes to the target as well.
        harness.proxy.inject(ProxyFault.CUT_REPLIES)
        harness.send(b"one")
        assert (harness.target_received, harness.client_received) == (b"one", b"")
