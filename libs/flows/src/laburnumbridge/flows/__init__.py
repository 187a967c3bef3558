"""Placement, tracking and search of flows that are forwarded without terminating them."""

from __future__ import annotations

from laburnumbridge.flows.agent_contacts import AgentContacts
from laburnumbridge.flows.agent_ranking import AgentRanking
from laburnumbridge.flows.candidate import Candidate
from laburnumbridge.flows.errors import MalformedPacketError
from laburnumbridge.flows.errors import MalformedPeerDatagramError
from laburnumbridge.flows.expiring_map import ExpiringMap
from laburnumbridge.flows.flow_inquiry import Ask
from laburnumbridge.flows.flow_inquiry import FlowInquiry
from laburnumbridge.flows.flow_inquiry import InquiryResult
from laburnumbridge.flows.flow_locations import FlowLocations
from laburnumbridge.flows.flow_packet import FlowKey
from laburnumbridge.flows.flow_packet import FlowPacket
from laburnumbridge.flows.flow_tracker import FlowState
from laburnumbridge.flows.flow_tracker import FlowTracker
from laburnumbridge.flows.flow_tracker import TrackedFlow
from laburnumbridge.flows.newest_first_queue import NewestFirstQueue
from laburnumbridge.flows.opening_deadline import OpeningDeadline
from laburnumbridge.flows.opening_order import OpeningOrder
from laburnumbridge.flows.opening_queue import DisplacedOpening
from laburnumbridge.flows.opening_queue import OpeningQueue
from laburnumbridge.flows.opening_queue import WaitingOpening
from laburnumbridge.flows.outlier_detector import OutlierDetector
from laburnumbridge.flows.packet_buffer import PacketBuffer
from laburnumbridge.flows.packet_codec import PacketCodec
from laburnumbridge.flows.planned_queue import PlannedQueue
from laburnumbridge.flows.record_recovery import RecordRecovery
from laburnumbridge.flows.scored_candidate import ScoredCandidate
from laburnumbridge.flows.search_order import SearchOrder
from laburnumbridge.flows.search_order import SearchStep
from laburnumbridge.flows.upstream_selector import UpstreamSelector
from laburnumbridge.flows.warm_up_limiter import WarmUpLimiter
from laburnumbridge.flows.work_estimator import WorkEstimator
from laburnumbridge.flows.work_observer import WorkObserver
from laburnumbridge.flows.work_placement import UnevennessChange
from laburnumbridge.flows.work_placement import WorkPlacement

__all__ = [
    "AgentContacts",
    "AgentRanking",
    "Ask",
    "Candidate",
    "DisplacedOpening",
    "ExpiringMap",
    "FlowInquiry",
    "FlowKey",
    "FlowLocations",
    "FlowPacket",
    "FlowState",
    "FlowTracker",
    "InquiryResult",
    "MalformedPacketError",
    "MalformedPeerDatagramError",
    "NewestFirstQueue",
    "OpeningDeadline",
    "OpeningOrder",
    "OpeningQueue",
    "OutlierDetector",
    "PacketBuffer",
    "PacketCodec",
    "PlannedQueue",
    "RecordRecovery",
    "ScoredCandidate",
    "SearchOrder",
    "SearchStep",
    "TrackedFlow",
    "UnevennessChange",
    "UpstreamSelector",
    "WaitingOpening",
    "WarmUpLimiter",
    "WorkEstimator",
    "WorkObserver",
    "WorkPlacement",
]
