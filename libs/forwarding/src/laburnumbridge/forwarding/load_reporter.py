"""Sends load reports of the upstream to balancers and to other agents."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec
from msgspec.structs import replace

from laburnumbridge.flows.peer_datagrams import encode_load
from laburnumbridge.flows.peer_datagrams import encode_load_detail

if TYPE_CHECKING:
    from laburnumbridge.flows.peer_datagrams import LoadReport
    from laburnumbridge.forwarding.network import DatagramPort

REPORT_INTERVAL_S = 0.02
"""Changes are reported once in this time at most; a request takes at least three times as long."""
ANSWER_INTERVAL_S = 0.1
"""A process that has sent packets since its last report gets the next one after this time, even
without a change."""
REPORTS_PER_INTERVAL = 6
"""Reports sent in one interval. This makes 300 a second, or 11 KB/s with their headers; control
traffic may take 27 KB/s of a link."""
RECIPIENT_TTL_S = 1.0
"""Processes get load reports for this time after their last packet."""
DETAIL_TTL_S = 2.0
"""Processes get work reports for this time after the last request, which they repeat once a second,
so that a lost one changes nothing. A process that is replaced by one of a version that can't decode
them takes longer to restart than what is left of this time."""


class _Recipient(msgspec.Struct, kw_only=True):
    last_packet_at: float
    last_report_at: float = 0.0
    last_report: LoadReport | None = None
    detail_until: float = -math.inf


class LoadReporter:
    """Sends load reports to the processes that sent packets within ``RECIPIENT_TTL_S``.

    A report is due after a change, or after ``ANSWER_INTERVAL_S`` as the answer to a packet. It has
    a work report for those that have requested that; a change of the work alone makes none due.
    """

    def __init__(self, *, port: DatagramPort, peer_port: int) -> None:
        self._port = port
        self._peer_port = peer_port
        self._recipient_by_address: dict[str, _Recipient] = {}

    def on_packet(self, address: str, now: float) -> None:
        """Note that the process at ``address`` has sent a packet."""
        recipient = self._recipient_by_address.get(address)
        if recipient is None:
            self._recipient_by_address[address] = _Recipient(last_packet_at=now)
        else:
            recipient.last_packet_at = now

    def on_detail_request(self, address: str, now: float) -> None:
        """Note that the process at ``address`` requests reports with a work report."""
        recipient = self._recipient_by_address.get(address)
        if recipient is None:
            # The request precedes the first packet.
            recipient = _Recipient(last_packet_at=now)
            self._recipient_by_address[address] = recipient
        recipient.detail_until = now + DETAIL_TTL_S

    def send(self, report: LoadReport, now: float) -> None:
        """Send ``report`` to the processes that are due, at most ``REPORTS_PER_INTERVAL`` of them.

        They take turns: at full size hundreds of balancers send packets to each agent.
        """
        plain = encode_load(report)
        detailed = encode_load_detail(report)
        # A change of the work alone isn't reported: the wait changes all the time.
        load = replace(report, work=None)
        sent = 0
        for address, recipient in list(self._recipient_by_address.items()):
            if sent == REPORTS_PER_INTERVAL:
                return
            has_changed = recipient.last_report != load
            is_due = (
                recipient.last_packet_at > recipient.last_report_at
                and now - recipient.last_report_at > ANSWER_INTERVAL_S
            )
            if has_changed or is_due:
                recipient.last_report = load
                recipient.last_report_at = now
                datagram = detailed if now < recipient.detail_until else plain
                self._port.send(datagram, (address, self._peer_port))
                # Move it to the end, so that the others are first in the next interval.
                self._recipient_by_address[address] = self._recipient_by_address.pop(address)
                sent += 1

    def expire(self, now: float) -> None:
        """Drop processes that have sent no packet for ``RECIPIENT_TTL_S``."""
        for address, recipient in list(self._recipient_by_address.items()):
            if now - recipient.last_packet_at > RECIPIENT_TTL_S:
                del self._recipient_by_address[address]
