from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import pytest
from aiohttp import web

from laburnumbridge.cli.errors import FileNotReadableError
from laburnumbridge.cli.errors import ListNotUsableError
from laburnumbridge.cli.errors import MissingOptionError
from laburnumbridge.cli.errors import NoProcessesError
from laburnumbridge.cli.errors import PlatformReadError
from laburnumbridge.cli.errors import TlsFilesNotUsableError
from laburnumbridge.cli.fleet import FleetOptions
from laburnumbridge.cli.fleet import GrpcFleetOpener
from laburnumbridge.runtime.fleet_reader import FleetProcess
from laburnumbridge.standins.certificates import CertificateAuthority
from laburnumbridge.standins.platform import PlatformStandIn
from laburnumbridge.wire import Endpoint

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

VMS = (Path(__file__).parents[3] / "examples" / "swan-coast" / "vms.json").read_bytes()
FIRST = FleetProcess(name="balancer-1", endpoint=Endpoint("192.0.2.11", 4701))


class Options:
    def __init__(self, folder: Path) -> None:
        authority = CertificateAuthority()
        self.root = authority.write_root(folder / "root.pem")
        self.chain, self.key = authority.issue("laburnumbridge", addresses=[], folder=folder)
        self.vms = folder / "vms.json"

    def make(self, **changes: object) -> FleetOptions:
        files = {"tls_certificate": self.chain, "tls_key": self.key, "tls_authority": self.root}
        return FleetOptions(**{**files, **changes})


@pytest.fixture
def options(tmp_path: Path) -> Options:
    return Options(tmp_path)


@pytest.fixture
async def platform() -> AsyncIterator[str]:
    standin = PlatformStandIn()
    standin.publish("vms", VMS)
    runner = web.AppRunner(standin.application())
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    yield f"http://127.0.0.1:{runner.addresses[0][1]}"
    await runner.cleanup()


class TestGrpcFleetOpener:
    async def test_processes_come_from_a_file(self, options: Options) -> None:
        options.vms.write_bytes(VMS)
        async with GrpcFleetOpener(options=options.make(vms=options.vms)).open() as fleet:
            assert (fleet.processes[0], len(fleet.processes)) == (FIRST, 15)

    async def test_processes_come_from_the_platform(self, options: Options, platform: str) -> None:
        opener = GrpcFleetOpener(options=options.make(platform=platform))
        async with opener.open() as fleet:
            assert (fleet.processes[0], len(fleet.processes)) == (FIRST, 15)
        with pytest.raises(PlatformReadError, match="has published no services"):
            async with opener.open(with_services=True):
                pass

    @pytest.mark.parametrize(
        ("content", "error"),
        [
            (None, FileNotReadableError),
            ("{", ListNotUsableError),
            ('{"vms": []}', NoProcessesError),
        ],
    )
    async def test_unusable_lists_are_typed_errors(
        self, options: Options, content: str | None, error: type[Exception]
    ) -> None:
        if content is not None:
            options.vms.write_text(content)
        with pytest.raises(error, match=r"vms\.json"):
            async with GrpcFleetOpener(options=options.make(vms=options.vms)).open():
                pass

    async def test_unusable_certificates_are_typed_errors(self, options: Options) -> None:
        for changes in ({"tls_key": options.root}, {"tls_authority": options.vms}):
            with pytest.raises(TlsFilesNotUsableError, match="--tls-authority"):
                async with GrpcFleetOpener(options=options.make(**changes)).open():
                    pass

    @pytest.mark.parametrize("name", ["tls_certificate", "tls_key", "tls_authority", "vms"])
    async def test_a_missing_option_is_named(self, options: Options, name: str) -> None:
        with pytest.raises(MissingOptionError, match=f"^--{name.replace('_', '-')} is missing"):
            async with GrpcFleetOpener(options=options.make(**{name: None})).open():
                pass
