from __future__ import annotations

from collections import Counter

import pytest

from laburnumbridge.flows.peer_datagrams import LoadReport
from laburnumbridge.forwarding.load_reporter import REPORT_INTERVAL_S
from laburnumbridge.forwarding.load_reporter import REPORTS_PER_INTERVAL
from laburnumbridge.forwarding.load_reporter import LoadReporter
from laburnumbridge.forwarding.network import DatagramPort

CONTROL_BYTES_S = 27_000
DATAGRAM_HEADER_BYTES = 28


class RecordingPort(DatagramPort):
    def __init__(self):
        self.bytes = 0
        self.taken = Counter()

    def start(self):
        pass

    def close(self):
        pass

    def send(self, datagram, endpoint):
        self.bytes += len(datagram) + DATAGRAM_HEADER_BYTES
        self.taken[endpoint[0]] += 1
        return True


@pytest.fixture
def port():
    return RecordingPort()


@pytest.fixture
def reporter(port):
    return LoadReporter(port=port, peer_port=7720)


def report(busy: int) -> LoadReport:
    return LoadReport(busy=busy, open_flows=1, slots=4, is_available=True)


class TestLoadReporter:
    def test_a_change_is_told_once(self, reporter, port):
        # Guards against datagrams that say nothing new.
        reporter.on_packet("10.0.0.1", 0.0)
        for _ in range(5):
            reporter.send(report(1), 0.01)
        assert port.taken["10.0.0.1"] == 1
        reporter.send(report(2), 0.03)
        assert port.taken["10.0.0.1"] == 2

    def test_a_packet_is_answered_without_a_change(self, reporter, port):
        # Guards against agents that seem silent because nothing has changed.
        reporter.on_packet("10.0.0.1", 0.0)
        reporter.send(report(1), 0.01)
        reporter.on_packet("10.0.0.1", 0.1)
        reporter.send(report(1), 0.15)
        assert port.taken["10.0.0.1"] == 2

    def test_many_listeners_share_the_budget_in_turn(self, reporter, port):
        # Guards against control traffic that grows with the balancers: 780 of them send packets to
        # each agent at full size, and a node may spend 27 KB/s.
        addresses = [f"10.0.{number >> 8}.{number & 255}" for number in range(780)]
        ticks = int(1 / REPORT_INTERVAL_S)
        for tick in range(10 * ticks):
            now = tick * REPORT_INTERVAL_S
            for address in addresses:
                reporter.on_packet(address, now)
            reporter.send(report(tick % 4), now)
        assert port.bytes / 10 < CONTROL_BYTES_S
        assert max(port.taken.values()) - min(port.taken.values()) <= 1
        assert sum(port.taken.values()) == 10 * ticks * REPORTS_PER_INTERVAL

    def test_a_process_that_sends_nothing_is_forgotten(self, reporter, port):
        # Guards against reports to balancers that left.
        reporter.on_packet("10.0.0.1", 0.0)
        reporter.expire(1.1)
        reporter.send(report(1), 1.2)
        assert not port.taken
