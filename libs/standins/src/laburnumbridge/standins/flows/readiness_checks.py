"""The fabric's readiness checks."""

from __future__ import annotations

from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

from laburnumbridge.forwarding.http_client import HttpClient

if TYPE_CHECKING:
    from laburnumbridge.forwarding.endpoints import Endpoint
    from laburnumbridge.forwarding.http_client import HttpCallFailedError
    from laburnumbridge.forwarding.network import Loop
    from laburnumbridge.forwarding.network import Network

INTERVAL_S = 0.5
TIMEOUT_S = 0.4
MISSES = 2


class ReadinessChecks:
    """Asks each process twice a second; two misses take its address out of ``ready``."""

    def __init__(self, *, loop: Loop, network: Network, endpoints: list[Endpoint]) -> None:
        self._loop = loop
        self._client_by_address = {
            endpoint[0]: HttpClient(loop=loop, network=network, endpoint=endpoint)
            for endpoint in endpoints
        }
        self._misses: Counter[str] = Counter()
        self.ready: set[str] = set()
        self._is_open = False

    def start(self) -> None:
        """Begin to ask."""
        self._is_open = True
        self._loop.call_every(INTERVAL_S, self._ask)

    def close(self) -> None:
        """Close all connections."""
        self._is_open = False
        for client in self._client_by_address.values():
            client.close()

    def _ask(self) -> None:
        if not self._is_open:
            return
        for address, client in self._client_by_address.items():
            if not client.is_calling:
                client.get(
                    "/readyz",
                    timeout_s=TIMEOUT_S,
                    on_answer=partial(self._on_answer, address),
                    on_failure=partial(self._on_failure, address),
                )

    def _on_answer(self, address: str, status: int, _body: bytes) -> None:
        if status != 200:
            self._miss(address)
            return
        self._misses[address] = 0
        self.ready.add(address)

    def _on_failure(self, address: str, _error: HttpCallFailedError) -> None:
        self._miss(address)

    def _miss(self, address: str) -> None:
        self._misses[address] += 1
        if self._misses[address] >= MISSES:
            self.ready.discard(address)
