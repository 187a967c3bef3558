"""The catalogue of numbered log events."""

from __future__ import annotations

from enum import Enum


class Event(Enum):
    """A log event: its number, level and description for operators.

    Numbers are stable: 1xx processes, 2xx configuration, 3xx membership, 4xx flows and packets,
    5xx requests and plans.
    """

    PROCESS_STARTED = (101, "info", "A process has started and serves.")
    PROCESS_STOPPING = (102, "info", "A process received a request to stop and drains.")
    PROCESS_STOPPED = (103, "info", "A process has closed its sockets.")
    CLOCK_JUMPED = (104, "warning", "The process was paused; its view and leases have expired.")
    SETTINGS_RELOADED = (106, "info", "Changed settings are in force.")
    LINES_LEFT_OUT = (107, "warning", "Log lines were omitted to bound the volume of the log.")
    NETWORK_FAULT = (108, "warning", "The system refused an operation on a socket.")
    PROCESS_PAUSED = (109, "warning", "The process could not run: its VM is slow or was suspended.")
    INTERNAL_ERROR = (110, "error", "An unexpected error ended one packet, call or connection.")
    LIST_IN_FORCE = (201, "info", "A new version of a list is in force.")
    LIST_REJECTED = (202, "error", "A version of a list is not valid; the one in force is kept.")
    LIST_OLDER_IGNORED = (203, "warning", "An older version was received and ignored.")
    PLATFORM_UNAVAILABLE = (204, "warning", "The platform can't be read; versions stay in force.")
    LIST_CONFLICT = (206, "error", "A version was received with other contents; ours are kept.")
    PLATFORM_AVAILABLE = (205, "info", "The platform can be read again.")
    ITEM_IGNORED = (207, "warning", "An item of the platform can't be used; the others apply.")
    PLATFORM_RESTORED = (
        210,
        "warning",
        "The platform was restored from a copy and gives revisions out again.",
    )
    READING_STARTED = (208, "info", "The process reads the platform itself.")
    READING_STOPPED = (209, "info", "The process stops reading the platform; its peers read it.")
    EVACUATION_CHANGED = (211, "info", "A failure domain was evacuated, or may be used again.")
    SERVICES_COLLIDE = (
        212,
        "warning",
        "Services have the same tag in datagrams; the routes of their flows tell them apart.",
    )
    MEMBER_CHANGED = (301, "info", "The state of a process has changed in this view.")
    PANIC_THRESHOLD = (302, "warning", "Too many processes seem dead at once; none is evicted.")
    UPSTREAM_DOWN = (304, "warning", "The upstream refuses connections.")
    UPSTREAM_STARTED = (305, "info", "The upstream accepts connections again; it starts slowly.")
    SUPERSEDED = (306, "error", "A newer process runs under this name; this one must stop.")
    REFUTED = (307, "warning", "This process was suspected to be dead and has refuted it.")
    PEER_CONNECTED = (308, "info", "A peer that shares the view of the fleet is connected.")
    PEER_LOST = (309, "warning", "The connection to a peer has ended.")
    UPSTREAM_CHANGED = (310, "info", "An upstream was listed, changed or removed in this view.")
    UPSTREAM_SILENT = (311, "warning", "The upstream doesn't answer the opening packets of flows.")
    AGENTS_UNREACHABLE = (312, "warning", "No agent responds, or one responds again.")
    UPSTREAM_FAILING = (313, "warning", "Requests at the upstream seem to fail, or no longer do.")
    UPSTREAMS_UNEVEN = (
        314,
        "info",
        "Flows of a service are placed by expected work, or no longer.",
    )
    UPSTREAM_DRAINING = (303, "info", "The upstream is draining; it receives no new work.")
    FLOW_OPENED = (403, "debug", "A client's connection is open.")
    FLOW_CLOSED = (404, "debug", "A client's connection has ended.")
    FLOW_PLACED = (405, "info", "A new flow was sent to an agent.")
    FLOW_HANDED_OVER = (406, "info", "An agent passed a new flow to another agent.")
    FLOW_RESET = (407, "info", "The client was sent a reset for a flow.")
    FLOW_SEARCHED = (408, "info", "A packet of a flow without a record here was forwarded.")
    FLOW_LOCATED = (409, "info", "A flow was found at an agent.")
    FLOW_HELD = (411, "info", "A new flow waits for a free slot.")
    OVERLOAD_CHANGED = (414, "info", "Openings wait longer than their target allows, or none does.")
    PACKET_DROPPED = (410, "warning", "A packet was dropped.")
    REQUEST_REFUSED = (501, "info", "A request was refused before it ran.")
    REQUEST_RETRIED = (502, "info", "A request is tried on another upstream.")
    OUTCOME_UNKNOWN = (503, "warning", "An upstream was lost while a request ran.")
    ANSWER_CUT = (504, "warning", "An answer was cut; the client's stream was reset.")
    REQUEST_ANSWERED = (506, "debug", "A request was answered.")
    UPSTREAM_SHED = (505, "info", "The upstream sheds load; fewer slots are used for a while.")

    def __init__(self, number: int, level: str, description: str) -> None:
        self.number = number
        self.level = level
        self.description = description
