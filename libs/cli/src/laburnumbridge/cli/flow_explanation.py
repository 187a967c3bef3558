"""Decisions about one flow, merged from the logs of several processes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

CONTEXT_S = 5.0
"""A change of the view may be a cause up to this long before or after the lines of a flow."""
_COMMON_FIELDS = frozenset(
    {"timestamp", "monotonic", "process", "event", "number", "level", "outcome", "flow"}
)


@dataclass(frozen=True, kw_only=True, slots=True)
class LoggedDecision:
    """One line of a log.

    ``at`` is in seconds since the epoch, ``outcome`` is empty if the line has none, and ``fields``
    are the flow and the fields that are specific to the event.
    """

    at: float
    process: str
    number: int
    event: str
    outcome: str
    fields: dict[str, Any]


def explain_flow(flow: str, lines: Iterable[bytes]) -> list[LoggedDecision]:
    """Return the decisions about ``flow`` and about the agents that they name, oldest first.

    Lines about agents are taken only from processes that logged the flow, because every process of
    the fleet logs each change of the view.

    Lines that aren't JSON objects of the log are skipped, so that complete files of standard
    output can be passed.
    """
    parsed = [line for text in lines if (line := _parse(text)) is not None]
    flow_lines = [line for line in parsed if line.fields.get("flow") == flow]
    if not flow_lines:
        return []
    processes = {line.process for line in flow_lines}
    agents = {line.fields["agent"] for line in flow_lines if "agent" in line.fields}
    first = min(line.at for line in flow_lines) - CONTEXT_S
    last = max(line.at for line in flow_lines) + CONTEXT_S
    context = [
        line
        for line in parsed
        if "flow" not in line.fields
        and line.process in processes
        and first <= line.at <= last
        and agents & {line.fields.get("agent"), line.fields.get("upstream")}
    ]
    return sorted([*flow_lines, *context], key=lambda line: (line.at, line.process))


def _parse(text: bytes) -> LoggedDecision | None:
    start = text.find(b"{")
    if start < 0:
        return None
    try:
        line = msgspec.json.decode(text[start:], type=dict[str, Any])
        return LoggedDecision(
            at=float(line["timestamp"]),
            process=str(line["process"]),
            number=int(line["number"]),
            event=str(line["event"]),
            outcome=str(line.get("outcome") or ""),
            fields={
                name: value
                for name, value in line.items()
                if name not in _COMMON_FIELDS or name == "flow"
            },
        )
    except (msgspec.MsgspecError, RecursionError, KeyError, TypeError, ValueError):
        return None
