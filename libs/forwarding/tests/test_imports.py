from __future__ import annotations

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
