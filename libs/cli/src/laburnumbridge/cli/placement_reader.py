"""Query of a running balancer where it would send an opening packet."""

from __future__ import annotations

import http.client
from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec

from laburnumbridge.cli.errors import NoPlacementAnswerError
from laburnumbridge.cli.errors import NotABalancerError
from laburnumbridge.cli.errors import PlacementQueryRejectedError
from laburnumbridge.cli.http_get import http_get
from laburnumbridge.forwarding.forwarding_process import PLACE_PATH
from laburnumbridge.forwarding.placement_explanation import PlacementExplanation

if TYPE_CHECKING:
    from laburnumbridge.forwarding.forwarding_settings import ForwardingSettings


def read_placement(settings: ForwardingSettings, flow: str) -> PlacementExplanation:
    """Return where the balancer that runs with ``settings`` would send an opening of ``flow``.

    Raises NotABalancerError, PlacementQueryRejectedError if the balancer finds ``flow`` malformed,
    and NoPlacementAnswerError.
    """
    process = settings.process
    if settings.upstream is not None:
        raise NotABalancerError(process=process)
    path = f"{PLACE_PATH}?flow={quote(flow, safe='')}"
    try:
        status, body = http_get((settings.address, settings.metrics_port), path)
    except (OSError, http.client.HTTPException, UnicodeError) as error:
        reason = str(error) or type(error).__name__
        raise NoPlacementAnswerError(process=process, reason=reason) from error
    if status == http.HTTPStatus.BAD_REQUEST:
        raise PlacementQueryRejectedError(reason=body.strip())
    if status != http.HTTPStatus.OK:
        raise NoPlacementAnswerError(process=process, reason=f"status {status}, {body.strip()}")
    try:
        return msgspec.json.decode(body, type=PlacementExplanation)
    except msgspec.MsgspecError as error:
        # A balancer of an earlier release answers every path with its metrics.
        reason = "the answer isn't an explanation, as from a balancer of another release"
        raise NoPlacementAnswerError(process=process, reason=reason) from error
