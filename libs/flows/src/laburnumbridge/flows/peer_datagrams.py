"""Datagrams between balancers and agents."""

from __future__ import annotations

import struct
from enum import IntEnum

import msgspec
from msgspec.structs import replace

from laburnumbridge.core import pack_ipv4
from laburnumbridge.core import unpack_ipv4
from laburnumbridge.flows.errors import MalformedPeerDatagramError
from laburnumbridge.flows.flow_packet import FlowKey

FLOW_KEY_BYTES = 12
FLOWS_PER_DATAGRAM = 90
"""Keeps a batch of flow keys below 1,200 bytes, which every link carries unfragmented."""


class DatagramKind(IntEnum):
    """First byte of a datagram."""

    PACKET = 1
    LOAD = 2
    LOCATED = 3
    RECORDS = 4
    PROBE = 5
    """Requests a load report from an agent. With a second byte, from ``DETAIL_VERSION`` on, it
    requests reports of kind LOAD_DETAIL for a time."""
    LOAD_DETAIL = 6
    """A load report with a work report, only for processes that have requested it."""
    RECORDS_REQUEST = 7
    """An agent without records has started; the receiver sends it those that it should have."""
    FLOW_QUERY = 8
    """Asks an agent whether it holds a flow."""
    FLOW_ANSWER = 9


class FlowPresence(IntEnum):
    """What an agent knows of a flow."""

    ABSENT = 0
    """Its upstream doesn't hold the flow."""
    OPEN = 1
    CLOSED = 2
    """The flow has ended at its upstream, which still answers retransmissions."""
    RECORDED = 3
    """Another agent has announced the flow."""
    UNCERTAIN = 4
    """The agent has started lately: its upstream may hold flows that it hasn't seen."""


class SearchStage(IntEnum):
    """How the sender of a packet chose the agent that gets it."""

    DIRECT = 0
    """The flow is expected at this agent."""
    RANKED = 1
    """Next among the service's agents; records may shorten the search."""
    RECORDED = 2
    """A directory node's record names the agent."""
    RANKED_NO_RECORDS = 3
    """Next among the service's agents, after a record was wrong; records aren't used again."""
    DIRECTORY = 4
    """The agent is a directory node of the flow."""
    OTHER_SERVICES = 5
    """Next among the agents of other services, after all of the service; records aren't used."""
    CANDIDATES = 6
    """Next among the agents that don't know whether they hold the flow. ``tried`` lists those that
    follow, and at its end ``NO_AGENT`` if others didn't answer, so that the flow isn't reset."""


class Envelope(msgspec.Struct, kw_only=True):
    """A client's packet on its way between processes.

    ``entry_address`` is the balancer that received the packet from the client, and ``hops`` is the
    number of agents that forwarded it. ``service_tag`` lets an agent reject a packet for a service
    that its upstream doesn't serve. ``tried`` lists the agents that did not accept an opening
    packet.
    """

    stage: SearchStage
    hops: int
    service_tag: int
    entry_address: str
    raw: bytes
    tried: tuple[str, ...] = ()


class WorkReport(msgspec.Struct, frozen=True, kw_only=True):
    """What an agent has learned about the work at its upstream.

    ``wait_s`` is the expected wait of a new request and ``work_s`` its expected work there, None
    if it isn't known. ``demand`` is the work of the open flows in seconds per second and slot, and
    ``samples`` the number of answers that the expected work is learned from.
    """

    wait_s: float
    work_s: float | None
    demand: float
    samples: int


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """An agent's report to a balancer on the load of its upstream.

    ``busy`` counts requests in progress and flows about to send one, ``arriving`` counts requests
    that clients are still sending, ``open_flows`` counts all open flows, and ``slots`` is the
    number of requests that the upstream runs at once. ``is_failing`` means that its requests seem
    to fail, so new flows should use other upstreams if there are any. ``work`` changes all the time
    and is left out of comparisons, which tell whether a new report is due.
    """

    busy: int
    open_flows: int
    slots: int
    is_available: bool
    is_failing: bool = False
    arriving: int = 0
    work: WorkReport | None = None


class FlowLocationUpdate(msgspec.Struct, frozen=True, kw_only=True):
    """States that ``flows`` are open at ``agent_address``."""

    agent_address: str
    flows: tuple[FlowKey, ...]


class FlowAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """States what an agent knows of ``flow``; ``agent`` is where it is open, if that is known."""

    flow: FlowKey
    presence: FlowPresence
    agent: str


_ENVELOPE = struct.Struct("!BBBI4sB")
_ADDRESS_BYTES = 4
MAX_TRIED = 8
"""Limit of the addresses in ``tried``; an opening packet is forwarded fewer times than this."""
MAX_CANDIDATES = 32
"""Limit of the agents that get a packet in stage CANDIDATES, one after the other: their addresses
fit into a datagram beside a full packet."""
NO_AGENT = "0.0.0.0"
_LOAD = struct.Struct("!BHIHBH")
_ANSWER = struct.Struct("!BB4s12s")
_WORK = struct.Struct("!HHHB")
_WORK_TIME_S = 0.0001
"""Unit of the times in a work report, which end at 6.5 s."""
_DEMAND_UNIT = 0.001
DETAIL_VERSION = 2
"""Version of the load report in a PROBE that requests work reports."""
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
        limit = MAX_CANDIDATES if stage == SearchStage.CANDIDATES else MAX_TRIED
        if tried > limit or raw_at > len(datagram):
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
        min(report.arriving, 0xFFFF),
    )


def encode_load_detail(report: LoadReport) -> bytes:
    """Return the datagram of a load report with its work report, or of kind LOAD without one."""
    work = report.work
    if work is None:
        return encode_load(report)
    head = bytes((DatagramKind.LOAD_DETAIL,)) + encode_load(report)[1:]
    # A known work is at least one unit, since 0 stands for an unknown one.
    work_units = 0 if work.work_s is None else max(_units(work.work_s, _WORK_TIME_S), 1)
    return head + _WORK.pack(
        _units(work.wait_s, _WORK_TIME_S),
        work_units,
        _units(work.demand, _DEMAND_UNIT),
        min(work.samples, 0xFF),
    )


def _units(value: float, unit: float) -> int:
    return round(min(max(value / unit, 0), 0xFFFF))


def encode_probe() -> bytes:
    """Return the datagram that requests load reports of kind LOAD_DETAIL."""
    return bytes((DatagramKind.PROBE, DETAIL_VERSION))


def requests_detail(probe: bytes) -> bool:
    """Return whether a datagram of kind PROBE requests reports of kind LOAD_DETAIL."""
    return len(probe) > 1 and probe[1] >= DETAIL_VERSION


def decode_load_detail(datagram: bytes) -> LoadReport:
    """Decode a datagram of kind LOAD_DETAIL; later versions may append to it."""
    report = decode_load(datagram[: _LOAD.size])
    try:
        wait, work, demand, samples = _WORK.unpack_from(datagram, _LOAD.size)
    except struct.error as error:
        raise MalformedPeerDatagramError(reason=str(error), size=len(datagram)) from error
    return replace(
        report,
        work=WorkReport(
            wait_s=wait * _WORK_TIME_S,
            work_s=work * _WORK_TIME_S if work else None,
            demand=demand * _DEMAND_UNIT,
            samples=samples,
        ),
    )


def decode_load(datagram: bytes) -> LoadReport:
    """Decode a datagram of kind LOAD."""
    try:
        _, busy, open_flows, slots, flags, arriving = _LOAD.unpack(datagram)
    except struct.error as error:
        raise MalformedPeerDatagramError(reason=str(error), size=len(datagram)) from error
    return LoadReport(
        busy=busy,
        open_flows=open_flows,
        slots=slots,
        is_available=bool(flags & _AVAILABLE),
        is_failing=bool(flags & _FAILING),
        arriving=arriving,
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


def encode_flow_query(flow: FlowKey) -> bytes:
    """Return a datagram of kind FLOW_QUERY."""
    return bytes((DatagramKind.FLOW_QUERY,)) + flow


def decode_flow_query(datagram: bytes) -> FlowKey:
    """Decode a datagram of kind FLOW_QUERY; bytes after the flow are ignored."""
    if len(datagram) <= FLOW_KEY_BYTES:
        raise MalformedPeerDatagramError(reason="length", size=len(datagram))
    return FlowKey(datagram[1 : 1 + FLOW_KEY_BYTES])


def encode_flow_answer(answer: FlowAnswer) -> bytes:
    """Return a datagram of kind FLOW_ANSWER."""
    return _ANSWER.pack(
        DatagramKind.FLOW_ANSWER, answer.presence, pack_ipv4(answer.agent), answer.flow
    )


def decode_flow_answer(datagram: bytes) -> FlowAnswer:
    """Decode a datagram of kind FLOW_ANSWER; bytes after the flow are ignored."""
    try:
        _, presence, agent, flow = _ANSWER.unpack_from(datagram)
        return FlowAnswer(
            flow=FlowKey(flow), presence=FlowPresence(presence), agent=unpack_ipv4(agent)
        )
    except (struct.error, ValueError) as error:
        raise MalformedPeerDatagramError(reason=str(error), size=len(datagram)) from error
