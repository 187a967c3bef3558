from __future__ import annotations

import json
import os

import pytest

from laburnumbridge.core import Event
from laburnumbridge.forwarding.decision_log import LINES_PER_S
from laburnumbridge.forwarding.decision_log import MAX_BURST_LINES
from laburnumbridge.forwarding.decision_log import DecisionLog


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def pipe():
    read, write = os.pipe()
    os.set_blocking(read, False)
    yield read, write
    os.close(read)
    os.close(write)


@pytest.fixture
def log(pipe, clock):
    log = DecisionLog(process="p", fd=pipe[1], clock=clock, wall_clock=lambda: 5.0)
    log.start()
    return log


def read_lines(fd: int) -> list[dict[str, object]]:
    data = b""
    while True:
        try:
            data += os.read(fd, 65_536)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]


class TestLines:
    def test_a_line_has_process_event_and_fields(self, log, pipe):
        # Guards against lines that can't be joined by the flow's id.
        log.write(Event.FLOW_RESET, outcome="no_route", flow="a>b")
        [line] = read_lines(pipe[0])
        assert line["process"] == "p"
        assert (line["event"], line["number"]) == ("flow_reset", 407)
        assert (line["outcome"], line["flow"], line["timestamp"]) == ("no_route", "a>b", 5.0)


class TestLimits:
    def test_one_kind_is_limited_without_hiding_others(self, log, pipe):
        # Guards against a flood of placements that makes the log drop the only reset.
        for _ in range(1_000):
            log.write(Event.FLOW_PLACED, outcome="first")
        log.write(Event.FLOW_RESET, outcome="no_route")
        lines = read_lines(pipe[0])
        assert len(lines) == MAX_BURST_LINES + 1
        assert lines[-1]["event"] == "flow_reset"

    def test_dropped_lines_are_reported(self, log, pipe, clock):
        # Guards against a log that seems complete although lines were dropped.
        for _ in range(MAX_BURST_LINES + 7):
            log.write(Event.FLOW_PLACED, outcome="first")
        clock.now += 5.0
        log.write(Event.PROCESS_STOPPING)
        [report] = [line for line in read_lines(pipe[0]) if line["event"] == "lines_left_out"]
        assert report["lines_by_kind"] == {"flow_placed/first": 7}

    def test_the_token_bucket_refills(self, log, pipe, clock):
        # Guards against a kind of line that is never written again after a flood.
        for _ in range(200):
            log.write(Event.FLOW_PLACED, outcome="first")
        read_lines(pipe[0])
        clock.now += 1.0
        for _ in range(200):
            log.write(Event.FLOW_PLACED, outcome="first")
        assert len(read_lines(pipe[0])) == LINES_PER_S

    def test_a_full_pipe_doesnt_block(self, log, pipe, clock):
        # Guards against packets that are delayed while the reader of the log is slow.
        for number in range(20_000):
            clock.now += 1.0
            log.write(Event.FLOW_PLACED, outcome="first", padding="x" * 200, number_of_line=number)
        assert len(read_lines(pipe[0])) < 20_000
