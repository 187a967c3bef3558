"""Status that a process that forwards flows reports over HTTP."""

from __future__ import annotations

import http.client
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from laburnumbridge.cli.http_get import http_get
from laburnumbridge.forwarding.endpoints import parse_endpoint

if TYPE_CHECKING:
    from laburnumbridge.forwarding.forwarding_settings import ForwardingSettings

_PREFIX = "laburnumbridge_"
_EVACUATED = re.compile(
    r'^laburnumbridge_failure_domain_evacuated\{domain="(.*)"\} 1$', re.MULTILINE
)


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardingStatus:
    """Status of one process.

    ``readiness`` is the text that the process answers, or why there is no answer. Figures are None
    where the process didn't answer or has no such figure. ``evacuated`` names the failure domains
    that are evacuated in the view of the process.
    """

    process: str
    role: str
    readiness: str
    view_age_s: float | None = None
    flows: float | None = None
    busy: float | None = None
    arriving: float | None = None
    resets: float | None = None
    drops: float | None = None
    evacuated: tuple[str, ...] = ()


def read_forwarding_status(settings: ForwardingSettings) -> ForwardingStatus:
    """Query the process that runs with ``settings``; a failure is reported as its readiness."""
    role = "balancer" if settings.upstream is None else "agent"
    try:
        _, readiness = http_get(parse_endpoint(settings.ready_endpoint), "/readyz")
        _, metrics = http_get((settings.address, settings.metrics_port), "/metrics")
    except (OSError, http.client.HTTPException) as error:
        reason = f"no answer: {error or type(error).__name__}"
        return ForwardingStatus(process=settings.process, role=role, readiness=reason)
    figures = parse_metrics(metrics)
    return ForwardingStatus(
        process=settings.process,
        role=role,
        readiness=readiness.strip(),
        view_age_s=figures.get("view_age_seconds"),
        flows=figures.get("flows_known" if role == "balancer" else "flows_open"),
        busy=figures.get("requests_busy"),
        arriving=figures.get("requests_arriving"),
        resets=figures.get("flow_resets_total", 0.0),
        drops=figures.get("packets_dropped_total", 0.0),
        evacuated=tuple(_EVACUATED.findall(metrics)),
    )


def parse_metrics(text: str) -> dict[str, float]:
    """Return the figures of a metrics page by name, summed over their labels."""
    figures: dict[str, float] = {}
    for line in text.splitlines():
        name, _, value = line.rpartition(" ")
        name = name.partition("{")[0].removeprefix(_PREFIX)
        if name and not line.startswith("#"):
            figures[name] = figures.get(name, 0.0) + float(value)
    return figures
