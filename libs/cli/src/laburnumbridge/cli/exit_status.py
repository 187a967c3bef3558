"""Exit statuses of the command, and the page that documents them."""

from __future__ import annotations

from enum import IntEnum

_INTRODUCTION = """\
# Exit statuses

Every error is one line on standard error that names the thing, the reason and the next step.

This page is generated: `python -m laburnumbridge.cli.print_exit_statuses > docs/exit-codes.md`.

| Status | Name | Meaning |
|---|---|---|"""


class ExitStatus(IntEnum):
    """How the command ended; the values of errors are those of ``LaburnumbridgeError``."""

    description: str

    FINE = (
        0,
        "The command has done its work. Warnings and processes that did not answer are listed.",
    )
    FAILED = (
        1,
        "The command ran, but there is no result; `explain` found no decision, for example.",
    )
    INVALID_INPUT = (2, "Options, settings, lists or certificates are not valid; nothing was done.")
    UNAVAILABLE = (3, "The platform, the processes or a local address can't be reached at present.")
    INTERRUPTED = (130, "Ctrl-C ended the command; connections were closed first.")

    def __new__(cls, value: int, description: str) -> ExitStatus:
        member = int.__new__(cls, value)
        member._value_ = value
        member.description = description
        return member


def render_exit_statuses() -> str:
    """Return the page as Markdown."""
    rows = [
        f"| {status.value} | `{status.name.lower()}` | {status.description} |"
        for status in ExitStatus
    ]
    return "\n".join([_INTRODUCTION, *rows]) + "\n"
