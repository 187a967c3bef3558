"""The query over HTTP where an opening packet would be sent."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import parse_qs
from urllib.parse import urlsplit

import msgspec

from laburnumbridge.core import pack_ipv4
from laburnumbridge.flows import FlowKey
from laburnumbridge.forwarding.errors import MalformedFlowError

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.forwarding.placement_explanation import PlacementExplanation


def answer_placement_query(
    path: str, explain: Callable[[FlowKey], PlacementExplanation]
) -> tuple[int, bytes]:
    """Return status and body: JSON of the explanation, or 400 and why the flow is malformed."""
    flows = parse_qs(urlsplit(path).query).get("flow", [""])
    try:
        flow = parse_flow(flows[0])
    except MalformedFlowError as error:
        return 400, f"{error}\n".encode()
    return 200, msgspec.json.encode(explain(flow))


def parse_flow(text: str) -> FlowKey:
    """Return the key of a flow from its id in logs. Raises MalformedFlowError."""
    client, separator, service = text.partition(">")
    if not separator:
        raise MalformedFlowError(text=text, reason="the sign > is missing")
    return FlowKey(_pack_end(text, client) + _pack_end(text, service))


def _pack_end(text: str, end: str) -> bytes:
    address, _, port = end.rpartition(":")
    digits = [*address.split("."), port]
    if not all(part.isascii() and part.isdigit() for part in digits):
        raise MalformedFlowError(text=text, reason=f"{end!r} is not an IPv4 address and a port")
    try:
        return pack_ipv4(address) + int(port).to_bytes(2, "big")
    except (ValueError, OverflowError):
        reason = f"{end!r} has a number that is out of range, or too many"
        raise MalformedFlowError(text=text, reason=reason) from None
