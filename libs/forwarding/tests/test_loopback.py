from __future__ import annotations

import os
import signal
from contextlib import suppress

import msgspec
import pytest

from laburnumbridge.core import pack_ipv4
from laburnumbridge.flows import FlowKey
from laburnumbridge.forwarding.decision_log import DecisionLog
from laburnumbridge.forwarding.event_loop import EventLoop
from laburnumbridge.forwarding.flow_agent import FlowAgent
from laburnumbridge.forwarding.flow_balancer import FlowBalancer
from laburnumbridge.forwarding.forwarding_settings import load_forwarding_settings
from laburnumbridge.forwarding.socket_network import SocketNetwork
from laburnumbridge.standins.benchmarks.flow_balancer_target import SERVICE_ADDRESS
from laburnumbridge.standins.benchmarks.flow_balancer_target import SERVICE_PORT
from laburnumbridge.standins.benchmarks.flow_balancer_target import make_view
from laburnumbridge.standins.flows.platform_stand_in import StandInPlatformCodec
from laburnumbridge.standins.flows.stand_in_packets import StandInPacket
from laburnumbridge.standins.flows.stand_in_packets import StandInPacketCodec

GIVE_UP_S = 30.0
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
CODEC = StandInPacketCodec()


class Upstream:
    """Answers an opening packet and returns everything else that it doesn't hold."""

    def __init__(self, *, network, endpoint, output):
        self._output = output
        self._port = network.datagram_port(endpoint, self._on_datagram)
        self.requests = []
        self.close = self._port.close

    def start(self):
        self._port.start()

    def _on_datagram(self, datagram, _sender):
        packet = CODEC.decode_from_client(datagram)
        answer = {"flow": packet.flow, "acknowledged": 0, "is_answer": True}
        if packet.is_opening:
            reply = StandInPacket(sequence=700, is_opening=True, **answer).encode()
        elif packet.data_length and packet.acknowledged == 701:
            self.requests.append(CODEC.data(datagram))
            reply = StandInPacket(sequence=701, data=b"answer", **answer).encode()
        else:
            reply = CODEC.bounced(datagram)
        self._port.send(reply, self._output)


@pytest.fixture
def loop():
    handlers = {number: signal.getsignal(number) for number in HANDLED_SIGNALS}
    loop = EventLoop()
    loop.call_later(GIVE_UP_S, loop.stop)
    yield loop
    for number, handler in handlers.items():
        signal.signal(number, handler)


@pytest.fixture
def host():
    return f"127.{20 + os.getpid() % 200}"


@pytest.fixture
def start(loop, tmp_path, unused_tcp_port_factory):
    """Starts processes on loopback addresses; ports are the same on all of them."""
    processes = []
    packet_port, peer_port = unused_tcp_port_factory(), unused_tcp_port_factory()

    def start(process_type, address, **more):
        settings = {
            "process": address,
            "failure_domain": "north",
            "address": address,
            "packet_endpoint": f"{address}:{packet_port}",
            "peer_port": peer_port,
            "ready_endpoint": f"{address}:{unused_tcp_port_factory()}",
            "metrics_port": unused_tcp_port_factory(),
            "platform_endpoint": f"{address}:1",
            "seeds": [],
            "flow_max_age_s": 60,
            "stop_grace_s": 6,
            **more,
        }
        path = tmp_path / f"{address}.json"
        path.write_bytes(msgspec.json.encode(settings))
        process = process_type(
            settings=load_forwarding_settings(path),
            settings_path=path,
            packet_codec=CODEC,
            platform_codec=StandInPlatformCodec(),
            loop=loop,
            network=SocketNetwork(loop=loop),
            log=DecisionLog(process=address, fd=os.open(os.devnull, os.O_WRONLY)),
        )
        process.start()
        processes.append(process)
        return process

    start.packet_port = packet_port
    yield start
    for process in processes:
        with suppress(ValueError, OSError):
            process.close()


class TestLoopback:
    def test_a_request_crosses_real_sockets(self, loop, host, start):
        # Guards against faults that simulated sockets can't show: addresses, ports and descriptors.
        balancer_address, agent_address, client = f"{host}.0.1", f"{host}.0.2", f"{host}.0.3"
        network = SocketNetwork(loop=loop)
        upstream_endpoint = (agent_address, 4_711)
        output = (agent_address, 4_712)
        upstream = Upstream(network=network, endpoint=upstream_endpoint, output=output)
        upstream.start()
        balancer = start(FlowBalancer, balancer_address)
        agent = start(
            FlowAgent,
            agent_address,
            upstream={
                "service": "desk",
                "endpoint": f"{agent_address}:{upstream_endpoint[1]}",
                "output_endpoint": f"{agent_address}:{output[1]}",
            },
        )
        for process in (balancer, agent):
            process.view.take(make_view(agent_address))
        flow = FlowKey(
            pack_ipv4(client)
            + (9_000).to_bytes(2, "big")
            + pack_ipv4(SERVICE_ADDRESS)
            + SERVICE_PORT.to_bytes(2, "big")
        )
        entry = (balancer_address, start.packet_port)
        received = []

        def on_datagram(datagram, _sender):
            packet = CODEC.decode_from_upstream(datagram)
            received.append(CODEC.data(datagram))
            if packet.is_opening_answer:
                request = StandInPacket(flow=flow, sequence=1, acknowledged=701, data=b"request")
                port.send(request.encode(), entry)
            else:
                loop.stop()

        port = network.datagram_port((client, start.packet_port), on_datagram)
        port.start()
        opening = StandInPacket(flow=flow, sequence=0, acknowledged=0, is_opening=True)
        port.send(opening.encode(), entry)
        loop.run()
        port.close()
        upstream.close()
        assert upstream.requests == [b"request"]
        assert received == [b"", b"answer"]
        assert balancer.metrics.value("flows_placed_total") == 1
