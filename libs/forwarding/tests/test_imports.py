from __future__ import annotations

import os
import subprocess
import sys

import pytest

HEAVY_MODULES = (
    "asyncio",
    "structlog",
    "pydantic",
    "prometheus_client",
    "aiohttp",
    "grpc",
    "aioquic",
    "hdrh",
    "matplotlib",
    "http.client",
    "email",
    "ssl",
    "logging",
)

MODULES_OF_A_START = [
    "_bisect",
    "_heapq",
    "_socket",
    "_struct",
    "array",
    "base64",
    "binascii",
    "bisect",
    "errno",
    "heapq",
    "select",
    "selectors",
    "signal",
    "socket",
    "struct",
    "zlib",
]
"""Modules that a process imports before its first packet, besides msgspec and xxhash with theirs.

``dataclasses``, which imports ``inspect``, ``pathlib``, ``urllib.parse`` and ``h11`` took 0.07 s of
processor time, and twice as long on half a core.
"""


class TestImports:
    @pytest.mark.parametrize("module", ["laburnumbridge.forwarding", "laburnumbridge.adapter"])
    def test_no_heavy_module_is_imported(self, module):
        # Guards against an import that doubles the memory of every forwarding process: asyncio
        # alone takes 11 MB, aiohttp 15 MB.
        code = (
            f"import sys, {module}.{'run_process' if 'forwarding' in module else '__main__'}\n"
            f"print([name for name in {HEAVY_MODULES!r} if name in sys.modules])"
        )
        found = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        assert found.stdout.strip() == "[]"

    @pytest.mark.parametrize(("role", "other"), [("balancer", "agent"), ("agent", "balancer")])
    def test_the_modules_of_a_start_are_fixed(self, role, other):
        # Guards against an import that delays the first packet of every process after its start.
        code = (
            # Not installed on the platform; msgspec imports it where it is.
            "import sys; sys.modules['typing_extensions'] = None\n"
            "import msgspec, xxhash; base = set(sys.modules)\n"
            "import laburnumbridge.adapter.__main__\n"
            "from laburnumbridge.forwarding.run_process import process_type\n"
            f"process_type({role!r}); new = set(sys.modules) - base\n"
            "print(sorted(name for name in new if not name.startswith('laburnumbridge')))\n"
            f"print('laburnumbridge.forwarding.flow_{other}' in new)"
        )
        found = subprocess.run(
            # Without site, as on the platform.
            [sys.executable, "-S", "-c", code],
            env={"PYTHONPATH": os.pathsep.join(path for path in sys.path if path)},
            capture_output=True,
            text=True,
            check=True,
        )
        assert found.stdout.splitlines() == [str(MODULES_OF_A_START), "False"]

    def test_a_call_is_sent_before_its_response_can_be_read(self):
        # Guards against an import between the start and the first call to the platform.
        code = (
            "import sys; sys.modules['typing_extensions'] = None\n"
            "from laburnumbridge.forwarding.event_loop import EventLoop\n"
            "from laburnumbridge.forwarding.http_client import HttpClient\n"
            "from laburnumbridge.forwarding.socket_network import SocketNetwork\n"
            "loop = EventLoop()\n"
            "network = SocketNetwork(loop=loop)\n"
            "client = HttpClient(loop=loop, network=network, endpoint=('127.0.0.1', 9))\n"
            "client.get('/', timeout_s=1.0, on_answer=None, on_failure=None)\n"
            "print('h11' in sys.modules)"
        )
        found = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        assert found.stdout.strip() == "False"
