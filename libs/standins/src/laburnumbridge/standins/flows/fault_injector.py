"""Injects the faults of a schedule into a fleet of processes."""

from __future__ import annotations

import signal
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from msgspec.structs import replace

from laburnumbridge.standins.flows.fault_proxy import ProxyFault
from laburnumbridge.standins.flows.fault_schedule import FaultKind
from laburnumbridge.standins.flows.invariant_checks import Evacuation
from laburnumbridge.standins.flows.platform_data import make_entry
from laburnumbridge.standins.flows.process_fleet import FAILURE_DOMAINS

if TYPE_CHECKING:
    from laburnumbridge.forwarding.network import Loop
    from laburnumbridge.standins.flows.fault_schedule import Fault
    from laburnumbridge.standins.flows.invariant_checks import SoakFindings
    from laburnumbridge.standins.flows.platform_stand_in import PlatformCopy
    from laburnumbridge.standins.flows.process_fleet import ProcessFleet

DEREGISTRATION_DELAY_S = 1.5
"""How long the entry of a crashed upstream stays registered."""
DRAIN_DURATION_S = 1.0
"""How long an upstream drains before it stops."""
COPY_INTERVAL_S = 4.0
"""How often the platform is copied; a restore loses up to as much."""
REPUBLISH_DELAY_S = 1.0
"""How long after a restore the operator and the upstreams have written again."""
EXPIRY_DELAY_S = 3.6
"""How long after a restore the entries of upstreams that don't run expire."""
POLL_INTERVAL_S = 0.1
_FOREIGN_VARIANTS: tuple[dict[str, Any], ...] = (
    {"service": "exporter"},
    {"service": "exporter", "port": 9_100},
    {"port": 9_100, "is_draining": True},
    {"port": 9_100},
)
"""Differences of another writer's entry from that of the upstream at its address."""

_PROXY_FAULT = {
    FaultKind.PROXY_DELAY: ProxyFault.DELAY,
    FaultKind.PROXY_RESET: ProxyFault.RESET,
    FaultKind.PROXY_SILENCE: ProxyFault.SILENCE,
    FaultKind.PROXY_CUT_REPLIES: ProxyFault.CUT_REPLIES,
}


class FaultInjector:
    """Kills, terminates and pauses processes, and injects faults into what they depend on.

    Counts each fault in ``findings``; ``evacuations`` has those that have ended. Adds a violation
    for a process that has started and doesn't exit with code 0 within ``stop_timeout_s`` seconds of
    SIGTERM.
    """

    def __init__(
        self, *, loop: Loop, fleet: ProcessFleet, findings: SoakFindings, stop_timeout_s: float
    ) -> None:
        self._loop = loop
        self._fleet = fleet
        self._findings = findings
        self._stop_timeout_s = stop_timeout_s
        self._stopped_addresses: set[str] = set()
        self._copy: PlatformCopy | None = None
        self._planned_evacuations: set[str] = set()
        self._acknowledged_at_by_domain: dict[str, float] = {}
        self.evacuations: list[Evacuation] = []
        loop.call_every(COPY_INTERVAL_S, self._copy_platform)

    def inject(self, fault: Fault) -> None:
        """Start ``fault`` and schedule its end."""
        self._findings.counts[f"fault_{fault.kind.value}"] += 1
        name = fault.kind.value
        is_balancer = name.endswith("balancer")
        addresses = self._fleet.balancers if is_balancer else self._fleet.agents
        address = addresses[int(fault.target * len(addresses))]
        if name.startswith("kill"):
            self._stop_process(address, signal.SIGKILL, fault.duration_s)
        elif name.startswith("terminate"):
            self._stop_process(address, signal.SIGTERM, fault.duration_s)
        elif name.startswith("pause"):
            self._pause(address, fault.duration_s)
        elif fault.kind is FaultKind.CRASH_UPSTREAM:
            self._crash_upstream(address, fault.duration_s)
        elif fault.kind is FaultKind.DRAIN_UPSTREAM:
            self._drain_upstream(address, fault.duration_s)
        elif fault.kind is FaultKind.PLATFORM_SILENT:
            self._fleet.platform.is_unresponsive = True
            self._loop.call_later(fault.duration_s, self._resume_platform)
        elif fault.kind is FaultKind.PLATFORM_FORGETS:
            self._fleet.platform.compact()
        elif fault.kind is FaultKind.PLATFORM_RESTORED:
            self._restore_platform()
        elif fault.kind is FaultKind.CONFIGURE:
            self._fleet.configure()
        elif fault.kind is FaultKind.MOVE_ROUTE:
            self._fleet.move_route()
        elif fault.kind is FaultKind.DROP_SERVICE:
            self._fleet.drop_service()
            self._loop.call_later(fault.duration_s, self._fleet.configure_all_services)
        elif fault.kind is FaultKind.EVACUATE:
            self._evacuate(fault)
        elif fault.kind is FaultKind.FOREIGN_ENTRY:
            self._publish_foreign_entry(address, fault)
        elif fault.kind is FaultKind.RELOAD:
            self._fleet.write_settings(address)
            self._fleet.signal(address, signal.SIGHUP)
        else:
            self._inject_proxy_fault(fault)

    def _stop_process(self, address: str, signal_number: signal.Signals, downtime_s: float) -> None:
        if address in self._stopped_addresses:
            return
        self._stopped_addresses.add(address)
        self._fleet.signal(address, signal.SIGCONT)
        self._fleet.signal(address, signal_number)
        signalled_at = self._loop.now()
        self._loop.call_later(
            POLL_INTERVAL_S,
            partial(self._await_exit, address, signal_number, signalled_at, downtime_s),
        )

    def _await_exit(
        self, address: str, signal_number: signal.Signals, signalled_at: float, downtime_s: float
    ) -> None:
        code = self._fleet.exit_code(address)
        elapsed_s = self._loop.now() - signalled_at
        if code is None and elapsed_s < self._stop_timeout_s:
            poll = partial(self._await_exit, address, signal_number, signalled_at, downtime_s)
            self._loop.call_later(POLL_INTERVAL_S, poll)
            return
        # A SIGTERM that arrives before its handler is installed ends the process at once; nothing
        # is open then.
        if signal_number is signal.SIGTERM and code != 0 and self._fleet.has_started(address):
            self._findings.violations.append(f"{address} ended with {code} after SIGTERM")
            self._fleet.signal(address, signal.SIGKILL)
        self._loop.call_later(downtime_s, partial(self._restart, address))

    def _restart(self, address: str) -> None:
        self._fleet.start_process(address)
        self._stopped_addresses.discard(address)

    def _pause(self, address: str, duration_s: float) -> None:
        if address not in self._stopped_addresses:
            self._fleet.signal(address, signal.SIGSTOP)
            self._loop.call_later(duration_s, partial(self._fleet.signal, address, signal.SIGCONT))

    def _crash_upstream(self, address: str, duration_s: float) -> None:
        if not self._fleet.upstream_by_address[address].is_running:
            return
        self._fleet.upstream_by_address[address].crash()
        self._loop.call_later(
            DEREGISTRATION_DELAY_S, partial(self._fleet.deregister_upstream, address)
        )
        self._loop.call_later(
            max(duration_s, 2 * DEREGISTRATION_DELAY_S),
            partial(self._fleet.start_upstream, address),
        )

    def _drain_upstream(self, address: str, duration_s: float) -> None:
        upstream = self._fleet.upstream_by_address[address]
        if upstream.is_running and upstream.accepts:
            upstream.accepts = False
            self._fleet.register_upstream(address, is_draining=True)
            self._loop.call_later(
                DRAIN_DURATION_S, partial(self._crash_upstream, address, duration_s)
            )

    def _publish_foreign_entry(self, address: str, fault: Fault) -> None:
        """Publish an entry of another writer for the VM at ``address``, and remove it later."""
        name = f"other-writer-{fault.at}"
        variant = _FOREIGN_VARIANTS[int(fault.target * 1_000) % len(_FOREIGN_VARIANTS)]
        entry = make_entry(
            address,
            slots=1,
            service=self._fleet.service(address),
            failure_domain=self._fleet.failure_domain(address),
        )
        self._fleet.platform.put(replace(entry, name=name, **variant))
        self._loop.call_later(fault.duration_s, partial(self._fleet.platform.remove, name))

    def _evacuate(self, fault: Fault) -> None:
        """Evacuate a failure domain until the fault ends, unless it is evacuated already."""
        domain = FAILURE_DOMAINS[int(fault.target * len(FAILURE_DOMAINS))]
        if domain not in self._planned_evacuations:
            self._planned_evacuations.add(domain)
            self._write_evacuation(domain)
            self._loop.call_later(fault.duration_s, partial(self._take_back, domain))

    def _write_evacuation(self, domain: str) -> None:
        """Write the item; a silent platform acknowledges it only when it answers again."""
        if domain not in self._planned_evacuations:
            return
        if self._fleet.platform.is_unresponsive:
            self._loop.call_later(POLL_INTERVAL_S, partial(self._write_evacuation, domain))
            return
        self._fleet.evacuate(domain)
        self._acknowledged_at_by_domain[domain] = self._loop.now()

    def _take_back(self, domain: str) -> None:
        self._planned_evacuations.discard(domain)
        acknowledged_at = self._acknowledged_at_by_domain.pop(domain, None)
        if acknowledged_at is not None:
            self._fleet.take_back(domain)
            self.evacuations.append(
                Evacuation(domain=domain, since=acknowledged_at, until=self._loop.now())
            )

    def _resume_platform(self) -> None:
        self._fleet.platform.is_unresponsive = False

    def _copy_platform(self) -> None:
        self._copy = self._fleet.platform.copy()

    def _restore_platform(self) -> None:
        if self._copy is None:
            return
        self._fleet.platform.restore(self._copy)
        self._loop.call_later(REPUBLISH_DELAY_S, self._fleet.republish)
        self._loop.call_later(EXPIRY_DELAY_S, self._fleet.expire_entries)

    def _inject_proxy_fault(self, fault: Fault) -> None:
        proxies = [
            proxy for proxies in self._fleet.proxies_by_address.values() for proxy in proxies
        ]
        proxy = proxies[int(fault.target * len(proxies))]
        proxy.inject(_PROXY_FAULT[fault.kind])
        self._loop.call_later(fault.duration_s, partial(proxy.inject, ProxyFault.NONE))
