"""A part of the loopback network that only one harness uses."""

from __future__ import annotations

import os
import socket
from contextlib import suppress

from laburnumbridge.standins.errors import NoFreeNetworkError

FIRST_NETWORK = 20
NETWORKS = 200
CLAIM_PORT = 4_699
"""Port of the socket that claims a network; no process of the harness uses it."""


class LoopbackNetwork:
    """Claims addresses below one of 127.20.0.0/16 to 127.219.0.0/16.

    ``ports`` are probed at the first two addresses, so that a network on which processes of an
    earlier run still listen isn't claimed: they would answer in place of the new ones.
    """

    def __init__(self, *, ports: tuple[int, ...]) -> None:
        self._ports = ports
        self._claim: socket.socket | None = None
        self.prefix = ""

    def start(self) -> None:
        """Claim a free network. Raises NoFreeNetworkError."""
        for offset in range(NETWORKS):
            number = FIRST_NETWORK + (os.getpid() + offset) % NETWORKS
            if self._try_claim(f"127.{number}"):
                return
        raise NoFreeNetworkError(tried=NETWORKS)

    def close(self) -> None:
        """Release the network."""
        if self._claim is not None:
            self._claim.close()
            self._claim = None

    def _try_claim(self, prefix: str) -> bool:
        claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with suppress(OSError):
            claim.bind((f"{prefix}.255.1", CLAIM_PORT))
            for host in (f"{prefix}.0.1", f"{prefix}.0.2"):
                for port in self._ports:
                    _probe(host, port)
            self._claim = claim
            self.prefix = prefix
            return True
        claim.close()
        return False


def _probe(host: str, port: int) -> None:
    """Raise OSError if a process listens at ``host`` and ``port``."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((host, port))
