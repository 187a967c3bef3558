"""Errors, identifiers, hashing and refusals shared by all libraries."""

from __future__ import annotations

from laburnumbridge.core.addresses import pack_ipv4
from laburnumbridge.core.addresses import unpack_ipv4
from laburnumbridge.core.choice import Choice
from laburnumbridge.core.errors import InvalidInputError
from laburnumbridge.core.errors import LaburnumbridgeError
from laburnumbridge.core.errors import UnavailableError
from laburnumbridge.core.event import Event
from laburnumbridge.core.hashing import hash64
from laburnumbridge.core.hashing import rendezvous_rank
from laburnumbridge.core.hashing import rendezvous_winner
from laburnumbridge.core.identifiers import AgentNumber
from laburnumbridge.core.identifiers import ClientAccountName
from laburnumbridge.core.identifiers import FailureDomain
from laburnumbridge.core.identifiers import Incarnation
from laburnumbridge.core.identifiers import PlanName
from laburnumbridge.core.identifiers import ProcessId
from laburnumbridge.core.identifiers import RequestId
from laburnumbridge.core.identifiers import ServiceName
from laburnumbridge.core.identifiers import ServiceNumber
from laburnumbridge.core.identifiers import UpstreamName
from laburnumbridge.core.refusal import Refusal
from laburnumbridge.core.refusal import RefusalReason

__all__ = [
    "AgentNumber",
    "Choice",
    "ClientAccountName",
    "Event",
    "FailureDomain",
    "Incarnation",
    "InvalidInputError",
    "LaburnumbridgeError",
    "PlanName",
    "ProcessId",
    "Refusal",
    "RefusalReason",
    "RequestId",
    "ServiceName",
    "ServiceNumber",
    "UnavailableError",
    "UpstreamName",
    "hash64",
    "pack_ipv4",
    "rendezvous_rank",
    "rendezvous_winner",
    "unpack_ipv4",
]
