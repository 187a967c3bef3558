"""The harness keeps its processes apart from those of other runs, and ends them."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

from laburnumbridge.standins.harness import HTTP_PORT
from laburnumbridge.standins.loopback_network import LoopbackNetwork

END_TIMEOUT_S = 20.0
HARNESS_PROGRAM = """
import sys, time
from pathlib import Path
from laburnumbridge.standins.harness import Harness
harness = Harness(folder=Path(sys.argv[1]))
process = harness._start_process(
    "sleeper", "timeit", "-n", "1", "-r", "1", "import time; time.sleep(600)"
)
print(process.pid, flush=True)
time.sleep(600)
"""


class TestLoopbackNetwork:
    def test_concurrent_claims_get_different_networks(self) -> None:
        # Guards against concurrent test runs whose processes reach one another.
        first, second = LoopbackNetwork(ports=()), LoopbackNetwork(ports=())
        first.start()
        second.start()
        assert first.prefix != second.prefix
        first.close()
        second.close()

    def test_network_with_a_foreign_listener_is_not_claimed(self) -> None:
        # Guards against a platform and a fabric that an interrupted run left behind: they
        # answered a new run and cut its clients' flows.
        free = LoopbackNetwork(ports=(HTTP_PORT,))
        free.start()
        free.close()
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as listener:
            # As servers do, since closed connections of an earlier test may still hold the port.
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((f"{free.prefix}.0.2", HTTP_PORT))
            listener.listen()
            other = LoopbackNetwork(ports=(HTTP_PORT,))
            other.start()
            assert other.prefix != free.prefix
            other.close()


class TestProcesses:
    async def test_processes_end_when_their_harness_is_killed(self, tmp_path: Path) -> None:
        # Guards against processes that an interrupted test run leaves behind.
        harness = await asyncio.create_subprocess_exec(
            sys.executable, "-c", HARNESS_PROGRAM, str(tmp_path), stdout=subprocess.PIPE
        )
        assert harness.stdout is not None
        started = int(await harness.stdout.readline())
        os.kill(harness.pid, signal.SIGKILL)
        await harness.wait()
        async with asyncio.timeout(END_TIMEOUT_S):
            while _runs(started):
                await asyncio.sleep(0.05)


def _runs(process: int) -> bool:
    """Return whether a process exists and hasn't ended."""
    status = Path(f"/proc/{process}/stat")
    return status.exists() and status.read_text().rsplit(")", 1)[1].split()[0] not in ("Z", "X")
