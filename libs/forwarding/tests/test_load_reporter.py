from __future__ import annotations

from collections import Counter

import pytest

from laburnumbridge.flows.peer_datagrams import DatagramKind
from laburnumbridge.flows.peer_datagrams import LoadReport
from laburnumbridge.flows.peer_datagrams import WorkReport
from laburnumbridge.forwarding.load_reporter import DETAIL_TTL_S
from laburnumbridge.forwarding.load_reporter import REPORT_INTERVAL_S
from laburnumbridge.forwarding.load_reporter import REPORTS_PER_INTERVAL
from laburnumbridge.forwarding.load_reporter import LoadReporter
from laburnumbridge.forwarding.network import DatagramPort

CONTROL_LIMIT_BYTES_S = 27_000
DATAGRAM_HEADER_BYTES = 28


class RecordingPort(DatagramPort):
    def __init__(self):
        self.sent_bytes = 0
        self.datagrams_by_address = Counter()
        self.kinds = []

    def start(self):
        pass

    def close(self):
        pass

    def send(self, datagram, endpoint):
        self.sent_bytes += len(datagram) + DATAGRAM_HEADER_BYTES
        self.datagrams_by_address[endpoint[0]] += 1
        self.kinds.append(datagram[0])
        return True


@pytest.fixture
def port():
    return RecordingPort()


@pytest.fixture
def reporter(port):
    return LoadReporter(port=port, peer_port=7720)


def report(busy: int, wait_s: float = 0.01) -> LoadReport:
    work = WorkReport(wait_s=wait_s, work_s=0.04, demand=0.5, samples=9)
    return LoadReport(busy=busy, open_flows=1, slots=4, is_available=True, work=work)


class TestLoadReporter:
    def test_a_change_is_reported_once(self, reporter, port):
        # Guards against datagrams that repeat an unchanged report.
        reporter.on_packet("10.0.0.1", 0.0)
        for _ in range(5):
            reporter.send(report(1), 0.01)
        assert port.datagrams_by_address["10.0.0.1"] == 1
        reporter.send(report(2), 0.03)
        assert port.datagrams_by_address["10.0.0.1"] == 2

    def test_a_packet_is_answered_with_an_unchanged_report(self, reporter, port):
        # Guards against agents that seem unresponsive because their load hasn't changed.
        reporter.on_packet("10.0.0.1", 0.0)
        reporter.send(report(1), 0.01)
        reporter.on_packet("10.0.0.1", 0.1)
        reporter.send(report(1), 0.15)
        assert port.datagrams_by_address["10.0.0.1"] == 2

    def test_many_recipients_take_turns_within_the_limit(self, reporter, port):
        # Guards against control traffic that grows with the number of balancers: at full size 780
        # of them send packets to each agent, and a node may use 27 KB/s for control traffic.
        addresses = [f"10.0.{number >> 8}.{number & 255}" for number in range(780)]
        ticks = int(1 / REPORT_INTERVAL_S)
        for tick in range(10 * ticks):
            now = tick * REPORT_INTERVAL_S
            for address in addresses:
                reporter.on_packet(address, now)
                reporter.on_detail_request(address, now)
            reporter.send(report(tick % 4), now)
        assert port.sent_bytes / 10 < CONTROL_LIMIT_BYTES_S
        assert (
            max(port.datagrams_by_address.values()) - min(port.datagrams_by_address.values()) <= 1
        )
        assert sum(port.datagrams_by_address.values()) == 10 * ticks * REPORTS_PER_INTERVAL

    def test_a_process_without_packets_gets_no_report(self, reporter, port):
        # Guards against reports to balancers that have stopped.
        reporter.on_packet("10.0.0.1", 0.0)
        reporter.expire(1.1)
        reporter.send(report(1), 1.2)
        assert not port.datagrams_by_address


class TestDetail:
    def test_only_a_process_that_asked_gets_work_reports_for_a_time(self, reporter, port):
        # Guards against processes of the previous version that get a kind they can't decode, and
        # against one that replaces a newer one at the same address.
        reporter.on_packet("10.0.0.1", 0.0)
        reporter.send(report(1), 0.02)
        reporter.on_detail_request("10.0.0.1", 0.03)
        reporter.send(report(2), 0.04)
        reporter.send(report(3), 0.03 + DETAIL_TTL_S)
        assert port.kinds == [DatagramKind.LOAD, DatagramKind.LOAD_DETAIL, DatagramKind.LOAD]

    def test_a_change_of_the_work_alone_makes_no_report(self, reporter, port):
        # Guards against a report every 20 ms, since the remaining work changes all the time.
        reporter.on_detail_request("10.0.0.1", 0.0)
        reporter.on_packet("10.0.0.1", 0.0)
        reporter.send(report(1), 0.01)
        reporter.send(report(1, wait_s=0.02), 0.03)
        assert port.datagrams_by_address["10.0.0.1"] == 1
