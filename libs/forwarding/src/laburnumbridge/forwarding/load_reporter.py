"""Tells balancers and siblings how busy the upstream is."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from laburnumbridge.flows.peer_datagrams import encode_load

if TYPE_CHECKING:
    from laburnumbridge.flows.peer_datagrams import LoadReport
    from laburnumbridge.forwarding.network import DatagramPort

REPORT_INTERVAL_S = 0.02
"""Changes are told this often at most; a request takes three times as long or more."""
REPORT_AT_LEAST_S = 0.1
"""A process that sent packets hears from the agent this often even without a change."""
REPORTS_AT_ONCE = 6
"""300 reports a second are 11 KB/s with their headers; control may take 27 KB/s of a link."""
LISTENER_S = 1.0
"""Processes that sent packets within this time get load reports."""


@dataclass(kw_only=True, slots=True)
class _Listener:
    heard_at: float
    reported_at: float = 0.0
    reported: LoadReport | None = None


class LoadReporter:
    """Sends reports to the processes that sent packets lately, when something has changed."""

    def __init__(self, *, port: DatagramPort, peer_port: int) -> None:
        self._port = port
        self._peer_port = peer_port
        self._listener_by_address: dict[str, _Listener] = {}

    def on_packet(self, address: str, now: float) -> None:
        """Note that the process at ``address`` has sent a packet."""
        listener = self._listener_by_address.get(address)
        if listener is None:
            self._listener_by_address[address] = _Listener(heard_at=now)
        else:
            listener.heard_at = now

    def send(self, report: LoadReport, now: float) -> None:
        """Send ``report`` to those for whom it is news, or who wait for an answer.

        A few at a time, in turn: at full size hundreds of balancers send packets to each agent.
        """
        datagram = encode_load(report)
        sent = 0
        for address, listener in list(self._listener_by_address.items()):
            if sent == REPORTS_AT_ONCE:
                return
            has_news = listener.reported != report
            is_due = (
                listener.heard_at > listener.reported_at
                and now - listener.reported_at > REPORT_AT_LEAST_S
            )
            if has_news or is_due:
                listener.reported = report
                listener.reported_at = now
                self._port.send(datagram, (address, self._peer_port))
                # To the end of the order, so that the others come first at the next time.
                self._listener_by_address[address] = self._listener_by_address.pop(address)
                sent += 1

    def expire(self, now: float) -> None:
        """Forget processes that have sent nothing for a while."""
        for address, listener in list(self._listener_by_address.items()):
            if now - listener.heard_at > LISTENER_S:
                del self._listener_by_address[address]
