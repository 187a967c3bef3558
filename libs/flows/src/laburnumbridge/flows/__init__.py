"""Decisions about flows whose packets are forwarded without being ended."""

from __future__ import annotations

from laburnumbridge.flows.agent_ranking import AgentRanking
from laburnumbridge.flows.early_packets import EarlyPackets
from laburnumbridge.flows.errors import MalformedPacketError
from laburnumbridge.flows.errors import MalformedPeerDatagramError
from laburnumbridge.flows.expiring_map import ExpiringMap
from laburnumbridge.flows.flow_directory import FlowDirectory
from laburnumbridge.flows.flow_directory import FlowRecord
from laburnumbridge.flows.flow_directory import FlowState
from laburnumbridge.flows.flow_packet import FlowKey
from laburnumbridge.flows.flow_packet import FlowPacket
from laburnumbridge.flows.flow_records import FlowRecords
from laburnumbridge.flows.opening_queue import OpeningQueue
from laburnumbridge.flows.packet_codec import PacketCodec
from laburnumbridge.flows.upstream_choice import Candidate
from laburnumbridge.flows.upstream_choice import UpstreamChoice
from laburnumbridge.flows.upstream_outcomes import UpstreamOutcomes

__all__ = [
    "AgentRanking",
    "Candidate",
    "EarlyPackets",
    "ExpiringMap",
    "FlowDirectory",
    "FlowKey",
    "FlowPacket",
    "FlowRecord",
    "FlowRecords",
    "FlowState",
    "MalformedPacketError",
    "MalformedPeerDatagramError",
    "OpeningQueue",
    "PacketCodec",
    "UpstreamChoice",
    "UpstreamOutcomes",
]
