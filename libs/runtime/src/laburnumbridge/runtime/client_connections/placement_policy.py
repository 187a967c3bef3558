"""Places new connections among the agents of a service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from laburnumbridge import placement as plc
from laburnumbridge.runtime.client_connections.flow_endpoint import HandshakePolicy
from laburnumbridge.runtime.control.message_kinds import MessageKind
from laburnumbridge.runtime.control.timer import PeriodicTimer

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from laburnumbridge.core import AgentNumber
    from laburnumbridge.core import ProcessId
    from laburnumbridge.runtime.control.control_link import ControlLink
    from laburnumbridge.wire import Endpoint

# A change of the number of open flows is reported to the siblings within CHANGE_INTERVAL_S, and
# an unchanged one each REPORT_INTERVAL_S. With later reports, a burst of new flows would be placed
# by the hash alone until the next report, as each agent sees only its own part of the burst.
CHANGE_INTERVAL_S = 0.2
REPORT_INTERVAL_S = 1.0


class PlacementPolicy(HandshakePolicy):
    """Runs the placement decisions and exchanges load reports with the siblings.

    ``request_reconnect(count)`` is called when ``count`` flows should move to other upstreams.
    """

    def __init__(
        self,
        *,
        placement: plc.Placement,
        link: ControlLink,
        request_reconnect: Callable[[int], None],
    ) -> None:
        self._placement = placement
        self._link = link
        self._request_reconnect = request_reconnect
        self._endpoint_by_number: dict[AgentNumber, Endpoint] = {}
        self._number_by_process: dict[ProcessId, AgentNumber] = {}
        self._state_by_number: dict[AgentNumber, plc.SiblingState] = {}
        self._timer = PeriodicTimer(interval_s=CHANGE_INTERVAL_S, callback=self._report)
        self._reported_flows = 0
        self._reported_at = 0.0
        self.open_flows = 0
        link.register(MessageKind.LOAD_REPORT, plc.LoadReport, self._on_report)

    def start(self) -> None:
        """Start reporting."""
        self._timer.start()

    def close(self) -> None:
        """Stop reporting."""
        self._timer.close()

    def set_siblings(
        self,
        *,
        endpoint_by_number: Mapping[AgentNumber, Endpoint],
        number_by_process: Mapping[ProcessId, AgentNumber],
        state_by_number: Mapping[AgentNumber, plc.SiblingState],
    ) -> None:
        """Replace the addresses and states of the other agents of the service."""
        self._endpoint_by_number = dict(endpoint_by_number)
        self._number_by_process = dict(number_by_process)
        removed = dict.fromkeys(self._state_by_number, plc.SiblingState.GONE)
        for number, state in {**removed, **state_by_number}.items():
            if self._state_by_number.get(number) is not state:
                self._handle(plc.SiblingChanged(agent_number=number, state=state))
        self._state_by_number = dict(state_by_number)

    def drain(self) -> None:
        """Send new connections to siblings from now on."""
        self._handle(plc.DrainStarted())

    def upstream_started_cold(self) -> None:
        """Report to placement that the upstream has just started."""
        self._handle(plc.UpstreamStartedCold())

    def busy_slots_changed(self, busy_slots: int) -> None:
        """Report to placement how many slots of the upstream are in use."""
        self._handle(plc.BusySlotsChanged(busy_slots))

    def choose(self, flow_key: bytes, *, handed_off: bool, now: float) -> Endpoint | None:
        """Return the sibling that accepts the handshake, or None to accept it here."""
        arrived = plc.HandshakeArrived(key=flow_key, was_forwarded=handed_off)
        for action in self._placement.handle(arrived, now):
            if isinstance(action, plc.ForwardHandshake):
                return self._endpoint_by_number.get(action.agent_number)
        return None

    def opened(self, now: float) -> None:
        """Count a connection that has completed its handshake here."""
        self.open_flows += 1
        self._placement.handle(plc.FlowOpened(), now)

    def closed(self, now: float) -> None:
        """Count an open connection that has ended."""
        self.open_flows -= 1
        self._placement.handle(plc.FlowClosed(), now)

    def _handle(self, event: plc.PlacementEvent) -> None:
        now = asyncio.get_running_loop().time()
        for action in self._placement.handle(event, now):
            if isinstance(action, plc.RequestReconnect):
                self._request_reconnect(action.count)

    def _report(self) -> None:
        self._handle(plc.Tick())
        now = asyncio.get_running_loop().time()
        is_changed = self.open_flows != self._reported_flows
        if not is_changed and now - self._reported_at < REPORT_INTERVAL_S:
            return
        self._reported_flows = self.open_flows
        self._reported_at = now
        report = self._placement.load_report(now)
        for process_id in self._number_by_process:
            self._link.send(process_id, report)

    def _on_report(self, sender: ProcessId, report: plc.LoadReport) -> None:
        number = self._number_by_process.get(sender)
        if number is not None:
            reported = plc.SiblingReported(agent_number=number, report=report, age_s=0.0)
            self._handle(reported)
