"""A flow balancer with a fixed view, for the forwarding benchmark."""

from __future__ import annotations

import os
import tempfile
from pathlib import Path

import msgspec
from msgspec.structs import replace

from laburnumbridge.catalog import CatalogUpdate
from laburnumbridge.catalog import Revision
from laburnumbridge.core import pack_ipv4
from laburnumbridge.flows import FlowKey
from laburnumbridge.forwarding.decision_log import DecisionLog
from laburnumbridge.forwarding.endpoints import parse_endpoint
from laburnumbridge.forwarding.event_loop import EventLoop
from laburnumbridge.forwarding.flow_balancer import FlowBalancer
from laburnumbridge.forwarding.forwarding_settings import load_forwarding_settings
from laburnumbridge.forwarding.socket_network import SocketNetwork
from laburnumbridge.standins.flows.platform_data import make_configuration
from laburnumbridge.standins.flows.platform_data import make_entry
from laburnumbridge.standins.flows.platform_stand_in import StandInPlatformCodec
from laburnumbridge.standins.flows.process_settings import SERVICE
from laburnumbridge.standins.flows.process_settings import process_settings
from laburnumbridge.standins.flows.stand_in_packets import StandInPacket
from laburnumbridge.standins.flows.stand_in_packets import StandInPacketCodec

FLOWS = 1000
PACKET_DATA = b"p" * 1166
"""With the header and the envelope a datagram of about 1,200 bytes."""


def make_flow_packets() -> list[tuple[FlowKey, bytes]]:
    """Return one data packet for each of FLOWS flows."""
    service = pack_ipv4(SERVICE[0]) + SERVICE[1].to_bytes(2, "big")
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
    return CatalogUpdate(
        revision=Revision(1, 1),
        confirmed_age_ms=0,
        entries=(replace(make_entry(agent, slots=4), revision=Revision(1, 1)),),
        configuration=make_configuration(1, (SERVICE,)),
    )


def serve_flow_balancer(*, listen: str, target: str, packets: list[bytes]) -> None:
    """Forward packets that arrive at ``listen`` to an agent at ``target`` until killed."""
    address, _ = parse_endpoint(listen)
    agent, peer_port = parse_endpoint(target)
    own = f"{address.rsplit('.', 1)[0]}.2"
    settings = {
        **process_settings(own, platform=(own, 4_603), seeds=[], is_agent=False),
        "packet_endpoint": listen,
        "peer_port": peer_port,
        "ready_endpoint": f"{own}:4601",
        "metrics_port": 4602,
        "control_endpoint": None,
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
        process.view.apply(make_view(agent))
        for packet in packets:
            process.record_location(StandInPacketCodec().decode_from_client(packet).flow, agent)
        process.run()
