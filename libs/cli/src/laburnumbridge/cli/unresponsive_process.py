"""Processes that did not answer, and the table that lists them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from rich.table import Table

from laburnumbridge.cli.errors import NoAnswerError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from laburnumbridge.runtime.fleet_reader import Reply

_MAX_ROWS = 20


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class UnresponsiveProcess:
    """A process that did not answer, with its control address and the reason."""

    name: str
    address: str
    reason: str

    @classmethod
    def from_reply(cls, reply: Reply[object]) -> UnresponsiveProcess:
        """Return the process of a reply that has no content."""
        return cls(
            name=reply.process.name,
            address=str(reply.process.endpoint),
            reason=reply.failure or "no content",
        )


def require_answer(*, answered: int, unresponsive: Sequence[UnresponsiveProcess]) -> None:
    """Raise NoAnswerError if there are processes and none of them answered."""
    if unresponsive and not answered:
        raise NoAnswerError(processes=len(unresponsive), first_reason=unresponsive[0].reason)


def build_unresponsive_table(unresponsive: Sequence[UnresponsiveProcess]) -> Table:
    """Return a table of the processes that did not answer, limited to ``_MAX_ROWS`` of them."""
    table = Table(title=f"No answer from {len(unresponsive)}", title_justify="left")
    for column in ("process", "control address", "reason"):
        table.add_column(column, overflow="fold")
    for process in unresponsive[:_MAX_ROWS]:
        table.add_row(process.name, process.address, process.reason)
    if len(unresponsive) > _MAX_ROWS:
        table.add_row(f"and {len(unresponsive) - _MAX_ROWS} more", "", "use --json for all of them")
    return table
