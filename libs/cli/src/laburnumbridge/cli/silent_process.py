"""A process that did not answer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from rich.table import Table

from laburnumbridge.cli.errors import NoAnswerError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from laburnumbridge.runtime.fleet_reader import Reply

_SHOWN = 20


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class SilentProcess:
    """Name, control address and the reason why there is no answer."""

    name: str
    address: str
    reason: str

    @classmethod
    def of(cls, reply: Reply[object]) -> SilentProcess:
        """Copy a reply without content."""
        return cls(
            name=reply.process.name,
            address=str(reply.process.endpoint),
            reason=reply.failure or "no content",
        )


def require_answer(*, answered: int, silent: Sequence[SilentProcess]) -> None:
    """Raise NoAnswerError where every process is silent."""
    if silent and not answered:
        raise NoAnswerError(asked=len(silent), first_reason=silent[0].reason)


def build_silent_table(silent: Sequence[SilentProcess]) -> Table:
    """Return a table of the processes that did not answer, shortened where it is long."""
    table = Table(title=f"No answer from {len(silent)}", title_justify="left")
    for column in ("process", "control address", "reason"):
        table.add_column(column, overflow="fold")
    for process in silent[:_SHOWN]:
        table.add_row(process.name, process.address, process.reason)
    if len(silent) > _SHOWN:
        table.add_row(f"and {len(silent) - _SHOWN} more", "", "use --json for all of them")
    return table
