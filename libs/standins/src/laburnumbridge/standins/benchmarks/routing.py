"""Time of one routing decision, by the number of upstreams."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import ClassVar

from laburnumbridge.cli.benchmark import Benchmark
from laburnumbridge.standins.benchmarks.forwarding_target import FLOWS
from laburnumbridge.standins.benchmarks.forwarding_target import SERVICE
from laburnumbridge.standins.benchmarks.forwarding_target import make_packets
from laburnumbridge.standins.benchmarks.forwarding_target import make_router

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from laburnumbridge.cli.benchmark import Figure
    from laburnumbridge.routing import Router

SIZES = (10, 1000, 8500)
ROUNDS = 7
CALLS = 20_000


class RoutingBenchmark(Benchmark):
    """Takes the lowest time of several rounds, which interruptions affect least."""

    name: ClassVar[str] = "routing"

    def run(self) -> Mapping[str, Figure]:
        """Measure decisions on new flows and by token, and the time to build a table."""
        routers = {size: make_router(size) for size in SIZES}
        new = {str(size): self._new(routers[size]) for size in SIZES}
        return {
            "route_new_us": new,  # type: ignore[dict-item]
            "route_new_ratio": round(new[str(SIZES[-1])] / new[str(SIZES[0])], 3),
            "route_token_us": self._token(routers[SIZES[-1]]),
            "route_token_cold_us": self._token(routers[SIZES[-1]], clear_cache=True),
            "maglev_build_ms": {str(size): self._build(size) for size in SIZES},
        }

    def _new(self, router: Router) -> float:
        keys = [number.to_bytes(8, "big") for number in range(CALLS)]

        def decide() -> None:
            for key in keys:
                router.route_new(key, SERVICE)

        return _lowest_us(decide, CALLS)

    def _token(self, router: Router, *, clear_cache: bool = False) -> float:
        """Measure FLOWS decisions; with ``clear_cache`` no flow is cached."""
        packets = make_packets(FLOWS)

        def decide() -> None:
            if clear_cache:
                router._decision_by_flow.clear()
            for packet in packets:
                router.route(packet, SERVICE)

        decide()
        return _lowest_us(decide, len(packets))

    def _build(self, size: int) -> float:
        started = time.perf_counter()
        make_router(size)
        return round((time.perf_counter() - started) * 1000, 2)


def _lowest_us(work: Callable[[], None], calls: int) -> float:
    best = float("inf")
    for _ in range(ROUNDS):
        started = time.perf_counter()
        work()
        best = min(best, time.perf_counter() - started)
    return round(best / calls * 1e6, 3)
