"""Renders the documentation page of log events."""

from __future__ import annotations

from laburnumbridge.core.event import Event

_GROUP_BY_HUNDRED = {
    1: "Processes",
    2: "Configuration",
    3: "Membership",
    4: "Flows and packets",
    5: "Requests and plans",
}
_INTRODUCTION = """\
# Events

Each process writes its events to standard error, one JSON object a line. Every line has
`timestamp` (UTC), `process`, `event` (the name below), `number` and `level`; further fields depend
on the event. The setting `log_level` (`debug`, `info`, `warning` or `error`) is the lowest level
that is written. Numbers are stable and are never reused.

`laburnumbridge explain` shows the decisions behind these events; see
[Explain and status](operations/explain-and-status.md).

This page is generated:
`python -m laburnumbridge.telemetry.print_event_catalogue > docs/events.md`.
"""


def render_event_catalogue() -> str:
    """Return the page as Markdown, one table a group, ordered by number."""
    lines = [_INTRODUCTION.rstrip()]
    group = 0
    for event in sorted(Event, key=lambda event: event.number):
        if event.number // 100 != group:
            group = event.number // 100
            lines += ["", f"## {_GROUP_BY_HUNDRED[group]}", ""]
            lines += ["| Number | Event | Level | Meaning |", "|---|---|---|---|"]
        name = event.name.lower()
        lines.append(f"| {event.number} | `{name}` | {event.level} | {event.description} |")
    return "\n".join(lines) + "\n"
