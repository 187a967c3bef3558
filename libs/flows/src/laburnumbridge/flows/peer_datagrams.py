"""Datagrams between balancers and agents."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

from laburnumbridge.core import pack_ipv4
from laburnumbridge.core import unpack_ipv4
from laburnumbridge.flows.errors import MalformedPeerDatagramError
from laburnumbridge.flows.flow_packet import FlowKey

FLOW_KEY_BYTES = 12
FLOWS_PER_DATAGRAM = 90
"""Keeps a batch of flow keys below 1,200 bytes, the size that every link carries whole."""


class DatagramKind(IntEnum):
    """First byte of a datagram."""

    PACKET = 1
    LOAD = 2
    LOCATED = 3
    RECORDS = 4
    PROBE = 5
    """Asks an agent for a load report."""


class SearchStage(IntEnum):
    """How the sender of a packet chose the agent that gets it."""

    DIRECT = 0
    """The agent is believed to hold the flow."""
    RANKED = 1
    """Next in the ranking; records of directory nodes may shorten the search."""
    RECORDED = 2
    """A directory node's record names the agent."""
    RANKED_NO_RECORDS = 3
    """Next in the ranking, after a record turned out to be wrong."""


@dataclass(kw_only=True, slots=True)
class Envelope:
    """A client's packet on its way between processes.

    ``entry_address`` is the balancer that took the packet, ``hops`` counts the agents that passed
    it on, and ``service_tag`` stops an agent whose upstream serves another service.
    ``tried`` names the agents that did not take an opening packet.
    """

    stage: SearchStage
    hops: int
    service_tag: int
    entry_address: str
    raw: bytes
    tried: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """What an agent tells a balancer of its upstream.

    ``busy`` counts requests at work and flows about to send one; ``open_flows`` counts all open
    flows; ``slots`` is what the upstream runs at once. ``is_failing`` says that most of its
    requests seem to fail, so that new flows should go elsewhere while they can.
    """

    busy: int
    open_flows: int
    slots: int
    is_available: bool
    is_failing: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class FlowLocationUpdate:
    """The flows are open at ``agent_address``."""

    agent_address: str
    flows: tuple[FlowKey, ...]


_ENVELOPE = struct.Struct("!BBBI4sB")
_ADDRESS_BYTES = 4
MAX_TRIED = 8
"""Addresses that an envelope holds; an opening packet is passed on less often."""
_LOAD = struct.Struct("!BHIHB")
_AVAILABLE = 1
_FAILING = 2


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the datagram of a client's packet."""
    head = _ENVELOPE.pack(
        DatagramKind.PACKET,
        envelope.stage,
        envelope.hops,
        envelope.service_tag,
        pack_ipv4(envelope.entry_address),
        len(envelope.tried),
    )
    return head + b"".join(map(pack_ipv4, envelope.tried)) + envelope.raw


def decode_envelope(datagram: bytes) -> Envelope:
    """Decode a datagram of kind PACKET."""
    try:
        _, stage, hops, tag, entry, tried = _ENVELOPE.unpack_from(datagram)
        raw_at = _ENVELOPE.size + tried * _ADDRESS_BYTES
        if tried > MAX_TRIED or raw_at > len(datagram):
            raise ValueError(f"{tried} agents tried")
        return Envelope(
            stage=SearchStage(stage),
            hops=hops,
            service_tag=tag,
            entry_address=unpack_ipv4(entry),
            raw=datagram[raw_at:],
            tried=tuple(
                unpack_ipv4(datagram[start : start + _ADDRESS_BYTES])
                for start in range(_ENVELOPE.size, raw_at, _ADDRESS_BYTES)
            ),
        )
    except (struct.error, ValueError) as error:
        raise MalformedPeerDatagramError(reason=str(error), size=len(datagram)) from error


def encode_load(report: LoadReport) -> bytes:
    """Return the datagram of a load report."""
    return _LOAD.pack(
        DatagramKind.LOAD,
        min(report.busy, 0xFFFF),
        report.open_flows,
        min(report.slots, 0xFFFF),
        report.is_available * _AVAILABLE | report.is_failing * _FAILING,
    )


def decode_load(datagram: bytes) -> LoadReport:
    """Decode a datagram of kind LOAD."""
    try:
        _, busy, open_flows, slots, flags = _LOAD.unpack(datagram)
    except struct.error as error:
        raise MalformedPeerDatagramError(reason=str(error), size=len(datagram)) from error
    return LoadReport(
        busy=busy,
        open_flows=open_flows,
        slots=slots,
        is_available=bool(flags & _AVAILABLE),
        is_failing=bool(flags & _FAILING),
    )


def encode_locations(kind: DatagramKind, located: FlowLocationUpdate) -> bytes:
    """Return a datagram of kind LOCATED (to a balancer) or RECORDS (to a directory node)."""
    return bytes((kind,)) + pack_ipv4(located.agent_address) + b"".join(located.flows)


def decode_locations(datagram: bytes) -> FlowLocationUpdate:
    """Decode a datagram of kind LOCATED or RECORDS."""
    keys = datagram[5:]
    if len(datagram) < 5 or len(keys) % FLOW_KEY_BYTES:
        raise MalformedPeerDatagramError(reason="length", size=len(datagram))
    return FlowLocationUpdate(
        agent_address=unpack_ipv4(datagram[1:5]),
        flows=tuple(
            FlowKey(keys[start : start + FLOW_KEY_BYTES])
            for start in range(0, len(keys), FLOW_KEY_BYTES)
        ),
    )
