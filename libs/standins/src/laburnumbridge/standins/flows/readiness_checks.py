"""The readiness checks that the fabric makes."""

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
FAILURE_THRESHOLD = 2


class ReadinessChecks:
    """Checks each process twice a second; two failures in a row remove it from ``ready``."""

    def __init__(self, *, loop: Loop, network: Network, endpoints: list[Endpoint]) -> None:
        self._loop = loop
        self._client_by_address = {
            endpoint[0]: HttpClient(loop=loop, network=network, endpoint=endpoint)
            for endpoint in endpoints
        }
        self._consecutive_failures: Counter[str] = Counter()
        self.ready: set[str] = set()
        self._is_open = False

    def start(self) -> None:
        """Start the checks."""
        self._is_open = True
        self._loop.call_every(INTERVAL_S, self._check_all)

    def close(self) -> None:
        """Stop the checks and close all connections."""
        self._is_open = False
        for client in self._client_by_address.values():
            client.close()

    def _check_all(self) -> None:
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

    def _on_answer(self, address: str, status: int, _headers: dict[str, str], _body: bytes) -> None:
        if status != 200:
            self._record_failure(address)
            return
        self._consecutive_failures[address] = 0
        self.ready.add(address)

    def _on_failure(self, address: str, _error: HttpCallFailedError) -> None:
        self._record_failure(address)

    def _record_failure(self, address: str) -> None:
        self._consecutive_failures[address] += 1
        if self._consecutive_failures[address] >= FAILURE_THRESHOLD:
            self.ready.discard(address)
