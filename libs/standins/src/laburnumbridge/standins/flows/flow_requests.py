"""Requests on several flows of a client, and which of them were answered."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from laburnumbridge.flows import FlowKey
    from laburnumbridge.standins.flows.client_stand_in import ClientFlow


def request_on_all(flows: Iterable[ClientFlow], content: bytes) -> None:
    """Send ``content`` and the key of the flow as a request on each of ``flows``."""
    for flow in flows:
        flow.request(content + flow.key)


def unanswered(flows: Iterable[ClientFlow], count: int) -> list[FlowKey]:
    """Return the keys of flows that were reset or don't have ``count`` answers."""
    return [flow.key for flow in flows if flow.was_reset or len(flow.answers) != count]
