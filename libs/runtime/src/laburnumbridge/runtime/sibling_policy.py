"""Keeps new connections here unless the upstream drains."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.core import rendezvous_winner
from laburnumbridge.runtime.flow_endpoint import HandshakePolicy
from laburnumbridge.wire import Endpoint

if TYPE_CHECKING:
    from laburnumbridge.runtime.fleet_view import FleetView


class SiblingPolicy(HandshakePolicy):
    """Hands handshakes to a live sibling while this agent drains or its VM is leaving."""

    def __init__(self, *, view: FleetView, name: str, service: str) -> None:
        self._view = view
        self._name = name
        self._service = service
        self.draining = False
        self.open_flows = 0

    def choose(self, flow_key: bytes, *, handed_off: bool, now: float) -> Endpoint | None:
        """Return the sibling that takes the handshake, or None to take it here."""
        if handed_off or not self._is_leaving():
            return None
        siblings = {
            vm.name: vm.address
            for vm in self._view.vms.agents
            if vm.service == self._service and vm.state == "live" and vm.name != self._name
        }
        chosen = rendezvous_winner(flow_key, siblings)
        return Endpoint.parse(siblings[chosen]) if chosen else None

    def opened(self, now: float) -> None:
        """Note that a connection has completed its handshake here."""
        self.open_flows += 1

    def closed(self, now: float) -> None:
        """Note that an open connection has ended."""
        self.open_flows -= 1

    def _is_leaving(self) -> bool:
        own = (vm for vm in self._view.vms.agents if vm.name == self._name)
        return self.draining or any(vm.state == "leaving" for vm in own)
