"""Memory and processor time that docs/CAPACITY.md extrapolates to the size to design for."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
import tracemalloc
from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from typing import ClassVar

from laburnumbridge.cli.benchmark import Benchmark
from laburnumbridge.core import AgentNumber
from laburnumbridge.core import Incarnation
from laburnumbridge.core import ProcessId
from laburnumbridge.core import ServiceNumber
from laburnumbridge.membership import Ack
from laburnumbridge.membership import LivenessVersion
from laburnumbridge.routing import AgentRoute
from laburnumbridge.routing import AgentState
from laburnumbridge.routing import Router
from laburnumbridge.runtime.control.control_link import DatagramControlLink
from laburnumbridge.runtime.control.message_kinds import MessageKind
from laburnumbridge.standins.benchmarks.forwarding_target import make_codec
from laburnumbridge.standins.benchmarks.handshake import HandshakeBenchmark
from laburnumbridge.wire import Endpoint
from laburnumbridge.wire import SealingKey

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from laburnumbridge.cli.benchmark import Figure

ADDRESSES = (29, 290, 2900)
UPSTREAMS_PER_ADDRESS = 8500 / 2900
MESSAGES = 5000
FLOWS = (50, 100, 200)

_IMPORTS = "import laburnumbridge.runtime"
_READ_RSS = (
    "import os; print(int(open('/proc/self/statm').read().split()[1]) * os.sysconf('SC_PAGE_SIZE'))"
)


class CapacityBenchmark(Benchmark):
    """Memory and processor time by routes, flows and control messages."""

    name: ClassVar[str] = "capacity"

    def run(self) -> Mapping[str, Figure]:
        """Measure each slope at three sizes, and the other figures once."""
        return {
            "capacity": {
                "interpreter_mb": _rss_mb("pass"),
                "interpreter_and_libraries_mb": _rss_mb(_IMPORTS),
                "routing_table_mb_by_addresses": {
                    str(n): _memory_mb(partial(_build_router, n)) for n in ADDRESSES
                },
                "routing_table_change_ms": _change_ms(ADDRESSES[-1]),
                "agent_flow_mb_by_flows": {
                    str(n): _memory_mb(partial(_open_flows, n)) for n in FLOWS
                },
                "control_message_us": asyncio.run(_message_us()),
            }
        }


def _rss_mb(code: str) -> float:
    command = [sys.executable, "-c", f"{code}; {_READ_RSS}"]
    output = subprocess.run(command, capture_output=True, check=True, text=True)
    return round(int(output.stdout) / 1e6, 1)


def _memory_mb(build: Callable[[], Any]) -> float:
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    built = build()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return round((after - before) / 1e6, 3)


def _routes(addresses: int, removed: int | None = None) -> list[AgentRoute]:
    count = round(addresses * UPSTREAMS_PER_ADDRESS)
    return [
        AgentRoute(
            agent_number=AgentNumber(n + 1),
            service_number=ServiceNumber(n % addresses + 1),
            state=AgentState.GONE if n == removed else AgentState.LIVE,
        )
        for n in range(count)
    ]


def _build_router(addresses: int) -> Router:
    router = Router(codec=make_codec())
    services = [ServiceNumber(n + 1) for n in range(addresses)]
    router.set_routes(routes=_routes(addresses), services=services)
    return router


def _change_ms(addresses: int) -> float:
    """Return the processor time in ms to remove one agent from a full table."""
    router = _build_router(addresses)
    services = [ServiceNumber(n + 1) for n in range(addresses)]
    routes = _routes(addresses, removed=0)
    started = time.process_time()
    router.set_routes(routes=routes, services=services)
    return round((time.process_time() - started) * 1000, 2)


def _open_flows(count: int) -> list[object]:
    """Return the server's ends of ``count`` connections after their handshakes."""
    benchmark = HandshakeBenchmark()
    return benchmark.open_servers(count)


async def _message_us() -> float:
    """Return the processor time to seal, send, receive and open one control message, in us."""
    key = SealingKey(1, bytes(32), current=True)
    endpoint_by_process = {
        ProcessId("a"): Endpoint("127.0.0.1", 0),
        ProcessId("b"): Endpoint("127.0.0.1", 0),
    }
    links = {}
    received = asyncio.Event()
    count = 0

    def on_message(_sender: ProcessId, _message: Ack) -> None:
        nonlocal count
        count += 1
        if count == MESSAGES:
            received.set()

    for name in endpoint_by_process:
        link = DatagramControlLink(
            own=name,
            incarnation=Incarnation(1),
            address=endpoint_by_process[name],
            keys=[key],
            find_endpoint=endpoint_by_process.get,
        )
        link.register(MessageKind.ACK, Ack, on_message)
        link.start()
        endpoint_by_process[name] = link.local
        links[name] = link
    started = time.process_time()
    for number in range(MESSAGES):
        links[ProcessId("a")].send(ProcessId("b"), Ack(number, LivenessVersion(Incarnation(1))))
        if number % 100 == 0:
            await asyncio.sleep(0)
    async with asyncio.timeout(30):
        await received.wait()
    spent = time.process_time() - started
    for link in links.values():
        link.close()
    return round(spent / MESSAGES * 1e6, 1)
