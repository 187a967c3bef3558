"""Fleet-wide plan limits, enforced by leases of credit."""

from __future__ import annotations

from laburnumbridge.limits.actions import Admit
from laburnumbridge.limits.actions import ClientAction
from laburnumbridge.limits.actions import Defer
from laburnumbridge.limits.actions import HolderAction
from laburnumbridge.limits.actions import Refuse
from laburnumbridge.limits.actions import SendGrant
from laburnumbridge.limits.actions import SendQuery
from laburnumbridge.limits.actions import SendReport
from laburnumbridge.limits.events import AdmissionCancelled
from laburnumbridge.limits.events import AdmissionRequested
from laburnumbridge.limits.events import ClientEvent
from laburnumbridge.limits.events import FleetChanged
from laburnumbridge.limits.events import GrantReceived
from laburnumbridge.limits.events import HolderEvent
from laburnumbridge.limits.events import PlansChanged
from laburnumbridge.limits.events import QueryReceived
from laburnumbridge.limits.events import ReportReceived
from laburnumbridge.limits.events import Tick
from laburnumbridge.limits.events import WorkEnded
from laburnumbridge.limits.holder_directory import HolderDirectory
from laburnumbridge.limits.lease_client import LeaseClient
from laburnumbridge.limits.lease_holder import LeaseHolder
from laburnumbridge.limits.limit_kind import LimitKind
from laburnumbridge.limits.limit_kind import Work
from laburnumbridge.limits.messages import Grant
from laburnumbridge.limits.messages import GrantLine
from laburnumbridge.limits.messages import Query
from laburnumbridge.limits.messages import Report
from laburnumbridge.limits.messages import ReportLine
from laburnumbridge.limits.plan_limits import PlanLimits
from laburnumbridge.limits.timing import TERM_S
from laburnumbridge.limits.timing import TICK_S

__all__ = [
    "TERM_S",
    "TICK_S",
    "AdmissionCancelled",
    "AdmissionRequested",
    "Admit",
    "ClientAction",
    "ClientEvent",
    "Defer",
    "FleetChanged",
    "Grant",
    "GrantLine",
    "GrantReceived",
    "HolderAction",
    "HolderDirectory",
    "HolderEvent",
    "LeaseClient",
    "LeaseHolder",
    "LimitKind",
    "PlanLimits",
    "PlansChanged",
    "Query",
    "QueryReceived",
    "Refuse",
    "Report",
    "ReportLine",
    "ReportReceived",
    "SendGrant",
    "SendQuery",
    "SendReport",
    "Tick",
    "Work",
    "WorkEnded",
]
