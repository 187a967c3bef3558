"""Packets a second through the balancer, against a bare relay in the same run."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
import time
from typing import TYPE_CHECKING
from typing import ClassVar

from laburnumbridge.cli.benchmark import Benchmark

if TYPE_CHECKING:
    from collections.abc import Mapping

    from laburnumbridge.cli.benchmark import Figure

WARM_UP_S = 1.0
WINDOW_S = 4.0
ROUNDS = 3

_MODULE = "laburnumbridge.standins.benchmarks.forwarding_target"
_BUFFER_BYTES = 8 * 1024 * 1024


class ForwardingBenchmark(Benchmark):
    """Takes medians of several alternating rounds, so that drift affects all targets alike."""

    name: ClassVar[str] = "forwarding"

    def run(self) -> Mapping[str, Figure]:
        """Measure the relay, the balancer and the flow balancer, in packets a second."""
        relay: list[float] = []
        balancer: list[float] = []
        flows: list[float] = []
        for _ in range(ROUNDS):
            relay.append(self._measure("relay"))
            balancer.append(self._measure("balancer"))
            flows.append(self._measure("flow-balancer", "--flows"))
        baseline = sorted(relay)[ROUNDS // 2]
        forwarded = sorted(balancer)[ROUNDS // 2]
        flow_forwarded = sorted(flows)[ROUNDS // 2]
        return {
            "relay_baseline_pps": round(baseline),
            "balancer_pps": round(forwarded),
            "balancer_pps_ratio": round(forwarded / baseline, 3),
            "forward_pps": round(flow_forwarded),
            "forward_pps_ratio": round(flow_forwarded / baseline, 3),
        }

    def _measure(self, role: str, *generator_options: str) -> float:
        host = f"127.9.{os.getpid() % 200}.1"
        sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sink.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
        sink.bind((host, 0))
        sink.settimeout(1.0)
        listen = f"{host}:4600"
        target = f"{host}:{sink.getsockname()[1]}"
        seconds = str(2 * WARM_UP_S + WINDOW_S)
        forwarder = subprocess.Popen([sys.executable, "-m", _MODULE, role, listen, target])
        generate = [sys.executable, "-m", _MODULE, "generate", listen, seconds]
        generator = subprocess.Popen([*generate, *generator_options])
        try:
            self._count(sink, WARM_UP_S, wait_first=True)
            return self._count(sink, WINDOW_S) / WINDOW_S
        finally:
            generator.kill()
            forwarder.kill()
            generator.wait()
            forwarder.wait()
            sink.close()

    def _count(self, sink: socket.socket, seconds: float, *, wait_first: bool = False) -> int:
        buffer = bytearray(2048)
        if wait_first:
            for _ in range(10):
                try:
                    sink.recv_into(buffer)
                    break
                except TimeoutError:
                    continue
        count = 0
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                for _ in range(100):
                    sink.recv_into(buffer)
                    count += 1
            except TimeoutError:
                continue
        return count
