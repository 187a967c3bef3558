"""The harness itself: what runs on a machine already must not answer in place of its processes."""

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

ENDED_TIMEOUT_S = 20.0
START_AND_WAIT = """
import sys, time
from pathlib import Path
from laburnumbridge.standins.harness import Harness
harness = Harness(folder=Path(sys.argv[1]))
process = harness._run("sleeper", "timeit", "-n", "1", "-r", "1", "import time; time.sleep(600)")
print(process.pid, flush=True)
time.sleep(600)
"""


class TestLoopbackNetwork:
    def test_two_at_once_get_different_networks(self) -> None:
        # Guards against test runs side by side that mix their processes up.
        first, second = LoopbackNetwork(ports=()), LoopbackNetwork(ports=())
        first.start()
        second.start()
        assert first.prefix != second.prefix
        first.close()
        second.close()

    def test_a_network_on_which_a_stranger_listens_is_not_taken(self) -> None:
        # Guards against a platform and a fabric of an interrupted run that answer a new one: its
        # clients' flows were cut.
        free = LoopbackNetwork(ports=(HTTP_PORT,))
        free.start()
        free.close()
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stranger:
            # Like a server: closed connections of an earlier test may still hold the port.
            stranger.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            stranger.bind((f"{free.prefix}.0.2", HTTP_PORT))
            stranger.listen()
            other = LoopbackNetwork(ports=(HTTP_PORT,))
            other.start()
            assert other.prefix != free.prefix
            other.close()


class TestProcesses:
    async def test_they_end_with_a_harness_that_is_killed(self, tmp_path: Path) -> None:
        # Guards against processes that an interrupted test run leaves behind.
        harness = await asyncio.create_subprocess_exec(
            sys.executable, "-c", START_AND_WAIT, str(tmp_path), stdout=subprocess.PIPE
        )
        assert harness.stdout is not None
        started = int(await harness.stdout.readline())
        os.kill(harness.pid, signal.SIGKILL)
        await harness.wait()
        async with asyncio.timeout(ENDED_TIMEOUT_S):
            while _runs(started):
                await asyncio.sleep(0.05)


def _runs(process: int) -> bool:
    """Return whether a process exists and hasn't ended."""
    status = Path(f"/proc/{process}/stat")
    return status.exists() and status.read_text().rsplit(")", 1)[1].split()[0] not in ("Z", "X")
