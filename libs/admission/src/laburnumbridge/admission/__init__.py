"""Admission to the slots, the connections and the queue of one upstream."""

from __future__ import annotations

from laburnumbridge.admission.actions import AbortRequest
from laburnumbridge.admission.actions import AcceptConnection
from laburnumbridge.admission.actions import AdmissionAction
from laburnumbridge.admission.actions import ExpireRequest
from laburnumbridge.admission.actions import RefuseConnection
from laburnumbridge.admission.actions import RefuseRequest
from laburnumbridge.admission.actions import StartRequest
from laburnumbridge.admission.admission import Admission
from laburnumbridge.admission.admission_settings import AdmissionSettings
from laburnumbridge.admission.admission_snapshot import AdmissionSnapshot
from laburnumbridge.admission.events import AdmissionEvent
from laburnumbridge.admission.events import ConnectionClosed
from laburnumbridge.admission.events import ConnectionId
from laburnumbridge.admission.events import ConnectionOpened
from laburnumbridge.admission.events import DrainStarted
from laburnumbridge.admission.events import HealthReported
from laburnumbridge.admission.events import LoadReported
from laburnumbridge.admission.events import Outcome
from laburnumbridge.admission.events import PlanSharesChanged
from laburnumbridge.admission.events import RequestAnswered
from laburnumbridge.admission.events import RequestArrived
from laburnumbridge.admission.events import RequestCancelled
from laburnumbridge.admission.events import RequestFinished
from laburnumbridge.admission.events import Tick
from laburnumbridge.admission.events import UpstreamStartedCold

__all__ = [
    "AbortRequest",
    "AcceptConnection",
    "Admission",
    "AdmissionAction",
    "AdmissionEvent",
    "AdmissionSettings",
    "AdmissionSnapshot",
    "ConnectionClosed",
    "ConnectionId",
    "ConnectionOpened",
    "DrainStarted",
    "ExpireRequest",
    "HealthReported",
    "LoadReported",
    "Outcome",
    "PlanSharesChanged",
    "RefuseConnection",
    "RefuseRequest",
    "RequestAnswered",
    "RequestArrived",
    "RequestCancelled",
    "RequestFinished",
    "StartRequest",
    "Tick",
    "UpstreamStartedCold",
]
