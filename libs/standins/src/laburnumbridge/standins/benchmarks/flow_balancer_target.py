"""A flow balancer with a fixed view, for the forwarding benchmark."""

from __future__ import annotations

import os
import tempfile
from pathlib import Path

import msgspec

from laburnumbridge.catalog import CatalogUpdate
from laburnumbridge.catalog import Route
from laburnumbridge.catalog import RoutingConfiguration
from laburnumbridge.catalog import ServiceShare
from laburnumbridge.catalog import UpstreamEntry
from laburnumbridge.core import pack_ipv4
from laburnumbridge.flows import FlowKey
from laburnumbridge.forwarding.decision_log import DecisionLog
from laburnumbridge.forwarding.endpoints import parse_endpoint
from laburnumbridge.forwarding.event_loop import EventLoop
from laburnumbridge.forwarding.flow_balancer import FlowBalancer
from laburnumbridge.forwarding.forwarding_settings import load_forwarding_settings
from laburnumbridge.forwarding.socket_network import SocketNetwork
from laburnumbridge.standins.flows.platform_stand_in import StandInPlatformCodec
from laburnumbridge.standins.flows.stand_in_packets import StandInPacket
from laburnumbridge.standins.flows.stand_in_packets import StandInPacketCodec

FLOWS = 1000
SERVICE_PORT = 443
SERVICE_ADDRESS = "198.18.0.1"
PACKET_DATA = b"p" * 1166
"""With the header and the envelope a datagram of about 1,200 bytes."""


def make_flow_packets() -> list[tuple[FlowKey, bytes]]:
    """Return one data packet for each of FLOWS flows."""
    service = pack_ipv4(SERVICE_ADDRESS) + SERVICE_PORT.to_bytes(2, "big")
    keys = [
        FlowKey(pack_ipv4("100.64.0.1") + number.to_bytes(2, "big") + service)
        for number in range(FLOWS)
    ]
    return [
        (key, StandInPacket(flow=key, sequence=1, acknowledged=1, data=PACKET_DATA).encode())
        for key in keys
    ]


def make_view(agent: str) -> CatalogUpdate:
    """Return a view of one service with one agent."""
    entry = UpstreamEntry(
        name="up",
        service="desk",
        address=agent,
        port=80,
        failure_domain="north",
        slots=4,
        is_draining=False,
        warm_up_left_ms=0,
        started_ms=1,
        revision=1,
    )
    route = Route(
        name="r",
        address=SERVICE_ADDRESS,
        port=SERVICE_PORT,
        shares=(ServiceShare(service="desk", weight=1),),
        is_retryable=True,
        is_download=False,
    )
    configuration = RoutingConfiguration(version=1, routes=(route,), idle_timeout_ms=60_000)
    return CatalogUpdate(
        revision=1, confirmed_age_ms=0, entries=(entry,), configuration=configuration
    )


def serve_flow_balancer(*, listen: str, target: str, packets: list[bytes]) -> None:
    """Forward packets that arrive at ``listen`` to an agent at ``target`` until killed."""
    address, _ = parse_endpoint(listen)
    agent, peer_port = parse_endpoint(target)
    own = f"{address.rsplit('.', 1)[0]}.2"
    settings = {
        "process": "bench",
        "failure_domain": "north",
        "address": own,
        "packet_endpoint": listen,
        "peer_port": peer_port,
        "ready_endpoint": f"{own}:4601",
        "metrics_port": 4602,
        "platform_endpoint": f"{own}:4603",
        "seeds": [],
        "flow_max_age_s": 60,
        "stop_grace_s": 6,
    }
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_bytes(msgspec.json.encode(settings))
        loop = EventLoop()
        process = FlowBalancer(
            settings=load_forwarding_settings(path),
            settings_path=path,
            packet_codec=StandInPacketCodec(),
            platform_codec=StandInPlatformCodec(),
            loop=loop,
            network=SocketNetwork(loop=loop),
            log=DecisionLog(process="bench", fd=os.open(os.devnull, os.O_WRONLY)),
        )
        process.start()
        process.view.take(make_view(agent))
        for packet in packets:
            process.locate(StandInPacketCodec().decode_from_client(packet).flow, agent)
        process.run()
