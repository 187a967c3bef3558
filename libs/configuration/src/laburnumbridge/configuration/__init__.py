"""Distribution of the published lists: reads of the platform, relay between peers, versions."""

from __future__ import annotations

from laburnumbridge.configuration.actions import Action
from laburnumbridge.configuration.actions import ActivateValue
from laburnumbridge.configuration.actions import ReadPlatform
from laburnumbridge.configuration.actions import ReportConflict
from laburnumbridge.configuration.actions import RequestValue
from laburnumbridge.configuration.actions import SendDigest
from laburnumbridge.configuration.actions import SendValue
from laburnumbridge.configuration.actions import StartServing
from laburnumbridge.configuration.actions import ValidateCandidate
from laburnumbridge.configuration.configuration_relay import VALUE_NAMES
from laburnumbridge.configuration.configuration_relay import ConfigurationRelay
from laburnumbridge.configuration.events import CandidateValidated
from laburnumbridge.configuration.events import Event
from laburnumbridge.configuration.events import MembersChanged
from laburnumbridge.configuration.events import PeerDigest
from laburnumbridge.configuration.events import PeerRequest
from laburnumbridge.configuration.events import PeerUnavailable
from laburnumbridge.configuration.events import PeerValue
from laburnumbridge.configuration.events import PlatformAnswer
from laburnumbridge.configuration.events import PlatformNotModified
from laburnumbridge.configuration.events import PlatformUnavailable
from laburnumbridge.configuration.events import Tick
from laburnumbridge.configuration.member import Member
from laburnumbridge.configuration.read_schedule import WATCH_WAIT_S
from laburnumbridge.configuration.relay_counters import RelayCounters
from laburnumbridge.configuration.value_delta import ValueDelta
from laburnumbridge.configuration.value_digest import ValueDigest
from laburnumbridge.configuration.value_document import ValueDocument

__all__ = [
    "VALUE_NAMES",
    "WATCH_WAIT_S",
    "Action",
    "ActivateValue",
    "CandidateValidated",
    "ConfigurationRelay",
    "Event",
    "Member",
    "MembersChanged",
    "PeerDigest",
    "PeerRequest",
    "PeerUnavailable",
    "PeerValue",
    "PlatformAnswer",
    "PlatformNotModified",
    "PlatformUnavailable",
    "ReadPlatform",
    "RelayCounters",
    "ReportConflict",
    "RequestValue",
    "SendDigest",
    "SendValue",
    "StartServing",
    "Tick",
    "ValidateCandidate",
    "ValueDelta",
    "ValueDigest",
    "ValueDocument",
]
