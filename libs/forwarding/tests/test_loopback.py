from __future__ import annotations

import os
import signal
from contextlib import suppress

import msgspec
import pytest

from laburnumbridge.forwarding.decision_log import DecisionLog
from laburnumbridge.forwarding.event_loop import EventLoop
from laburnumbridge.forwarding.flow_agent import FlowAgent
from laburnumbridge.forwarding.flow_balancer import FlowBalancer
from laburnumbridge.forwarding.forwarding_settings import load_forwarding_settings
from laburnumbridge.forwarding.socket_network import SocketNetwork
from laburnumbridge.standins.benchmarks.flow_balancer_target import make_view
from laburnumbridge.standins.flows.client_stand_in import ClientStandIn
from laburnumbridge.standins.flows.platform_stand_in import StandInPlatformCodec
from laburnumbridge.standins.flows.process_settings import OUTPUT_PORT
from laburnumbridge.standins.flows.process_settings import SERVICE
from laburnumbridge.standins.flows.process_settings import UPSTREAM_PORT
from laburnumbridge.standins.flows.process_settings import process_settings
from laburnumbridge.standins.flows.stand_in_packets import StandInPacketCodec
from laburnumbridge.standins.flows.upstream_stand_in import UpstreamStandIn

TEST_TIMEOUT_S = 30.0
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
CODEC = StandInPacketCodec()


@pytest.fixture
def loop():
    handlers = {number: signal.getsignal(number) for number in HANDLED_SIGNALS}
    loop = EventLoop()
    loop.call_later(TEST_TIMEOUT_S, loop.stop)
    yield loop
    for number, handler in handlers.items():
        signal.signal(number, handler)


@pytest.fixture
def host():
    return f"127.{20 + os.getpid() % 200}"


@pytest.fixture
def start_process(loop, tmp_path, unused_tcp_port_factory):
    """Return a function that starts a process on a loopback address; all use the same ports."""
    processes = []
    packet_port, peer_port = unused_tcp_port_factory(), unused_tcp_port_factory()

    def start_process(process_type, address):
        settings = {
            **process_settings(
                address, platform=(address, 1), seeds=[], is_agent=process_type is FlowAgent
            ),
            "packet_endpoint": f"{address}:{packet_port}",
            "peer_port": peer_port,
            "ready_endpoint": f"{address}:{unused_tcp_port_factory()}",
            "metrics_port": unused_tcp_port_factory(),
            "control_endpoint": None,
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

    start_process.packet_port = packet_port
    yield start_process
    for process in processes:
        with suppress(ValueError, OSError):
            process.close()


class TestLoopback:
    def test_a_request_crosses_real_sockets(self, loop, host, start_process):
        # Guards against faults of addresses, ports and descriptors, which simulated sockets hide.
        balancer_address, agent_address, client_address = (
            f"{host}.0.{number}" for number in (1, 2, 3)
        )
        network = SocketNetwork(loop=loop)
        upstream = UpstreamStandIn(
            loop=loop,
            network=network,
            endpoint=(agent_address, UPSTREAM_PORT),
            output=(agent_address, OUTPUT_PORT),
            slots=1,
            work_s=0.01,
            seed=1,
        )
        upstream.start()
        balancer = start_process(FlowBalancer, balancer_address)
        agent = start_process(FlowAgent, agent_address)
        for process in (balancer, agent):
            process.view.apply(make_view(agent_address))
        client = ClientStandIn(
            loop=loop,
            network=network,
            endpoint=(client_address, start_process.packet_port),
            fabric=lambda _flow: (balancer_address, start_process.packet_port),
        )
        client.start()
        flow = client.open_flow(SERVICE)
        flow.request(b"request")
        loop.call_every(0.01, lambda: loop.stop() if flow.answers else None)
        loop.run()
        client.close()
        upstream.crash()
        assert upstream.started_requests == [b"request"]
        assert flow.answers == {b"request": b"answer to request"}
        assert balancer.metrics.value("flows_placed_total") == 1
