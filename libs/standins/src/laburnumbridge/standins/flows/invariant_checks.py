"""Invariants of what callers and upstreams see, whichever faults occur."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from laburnumbridge.core import unpack_ipv4

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from laburnumbridge.flows import FlowKey
    from laburnumbridge.standins.flows.client_stand_in import ClientFlow
    from laburnumbridge.standins.flows.upstream_stand_in import UpstreamStandIn


EVACUATE_S = 5.0
"""From the acknowledgement of the operator's write until no opening reaches the domain."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Evacuation:
    """A failure domain was evacuated from ``since`` until ``until``, in seconds of the loop."""

    domain: str
    since: float
    until: float


@dataclass(kw_only=True, slots=True)
class SoakFindings:
    """Descriptions of violated invariants, and counts of events by name."""

    violations: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)


def check_invariants(
    flows: Iterable[ClientFlow], upstreams: Iterable[UpstreamStandIn], findings: SoakFindings
) -> None:
    """Add counts and violations of ``flows`` and of the requests that ran to ``findings``.

    Each request runs at most once and receives its own answer, and no open flow is reset while
    the upstream that holds it is running.
    """
    upstreams = list(upstreams)
    runs = Counter(request for upstream in upstreams for request in upstream.started_requests)
    findings.violations += [
        f"request {request.decode()} ran {count} times"
        for request, count in runs.items()
        if count > 1
    ]
    for flow in flows:
        _check_flow(flow, upstreams, findings)


def check_evacuations(
    evacuations: Iterable[Evacuation],
    upstreams: Iterable[UpstreamStandIn],
    failure_domain: Callable[[str], str],
    findings: SoakFindings,
) -> None:
    """Add a violation for each opening that reached an upstream of an evacuated failure domain.

    ``failure_domain`` returns the domain of an address. Openings count from ``EVACUATE_S`` after
    the operator's write until the removal.
    """
    upstreams = list(upstreams)
    for evacuation in evacuations:
        due_at = evacuation.since + EVACUATE_S
        findings.counts["evacuations_checked"] += due_at < evacuation.until
        findings.violations += [
            f"flow {flow_name(flow)} reached {upstream.endpoint[0]} {at - evacuation.since:.2f} s"
            f" after the evacuation of {evacuation.domain}"
            for upstream in upstreams
            if failure_domain(upstream.endpoint[0]) == evacuation.domain
            for at, flow in upstream.opening_attempts
            if due_at < at < evacuation.until
        ]


def _check_flow(flow: ClientFlow, upstreams: list[UpstreamStandIn], findings: SoakFindings) -> None:
    name = flow_name(flow.key)
    for request, answer in flow.answers.items():
        findings.counts["answered"] += 1
        if answer != b"answer to " + request:
            findings.violations.append(f"flow {name}: {request!r} was answered with {answer!r}")
    if flow.has_timed_out:
        findings.counts["given_up"] += 1
    if not flow.was_reset:
        return
    findings.counts["reset_open" if flow.is_open else "refused"] += 1
    holders = [upstream for upstream in upstreams if upstream.holds(flow.key)]
    if flow.is_open and any(upstream.is_running for upstream in holders):
        findings.violations.append(f"flow {name} was reset while its upstream lives")


def flow_name(flow: FlowKey) -> str:
    """Return the client address and port of a flow in the format of log lines."""
    return f"{unpack_ipv4(flow[0:4])}:{int.from_bytes(flow[4:6], 'big')}"
