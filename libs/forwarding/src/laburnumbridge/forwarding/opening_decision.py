"""Where an opening packet goes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from laburnumbridge.flows import Candidate


class OpeningDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Where an opening packet goes, and the inputs of the selection.

    ``agent`` is None if the packet is refused, for ``refusal``. ``service`` is that
    of ``agent``, and ``selected_service`` the one which the flow's hash selects; they differ after
    an overflow. ``located_agent`` has been sent an earlier copy of the packet. A packet that
    ``is_repeated`` goes there again, without a placement. ``candidates`` are those of the selected
    service, and ``excluded`` are the agents among them that can't be chosen.
    """

    agent: str | None
    service: str
    selected_service: str
    is_long: bool
    located_agent: str | None = None
    is_repeated: bool = False
    is_overflow: bool = False
    refusal: str = ""
    candidates: list[Candidate] = []
    excluded: tuple[str, ...] = ()
