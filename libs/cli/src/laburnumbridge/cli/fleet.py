"""The processes that a command queries."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeVar

from pydantic import BaseModel

from laburnumbridge.cli.errors import ListNotUsableError
from laburnumbridge.cli.errors import MissingOptionError
from laburnumbridge.cli.errors import NoProcessesError
from laburnumbridge.cli.errors import PlatformReadError
from laburnumbridge.cli.errors import TlsFilesNotUsableError
from laburnumbridge.cli.input_file import read_input
from laburnumbridge.lists import InvalidListError
from laburnumbridge.lists import ServiceList
from laburnumbridge.lists import VmList
from laburnumbridge.lists import parse_list
from laburnumbridge.runtime.errors import PlatformUnavailableError
from laburnumbridge.runtime.fleet_reader import TIMEOUT_S
from laburnumbridge.runtime.fleet_reader import FleetProcess
from laburnumbridge.runtime.fleet_reader import GrpcFleetReader
from laburnumbridge.runtime.published_lists.platform_client import PlatformClient
from laburnumbridge.wire import ChannelPool
from laburnumbridge.wire import Endpoint
from laburnumbridge.wire import FileCertificateSource
from laburnumbridge.wire.errors import CertificateUnreadableError
from laburnumbridge.wire.errors import InvalidCertificateError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from contextlib import AbstractAsyncContextManager
    from pathlib import Path

    from laburnumbridge.runtime.fleet_reader import FleetReader

M = TypeVar("M", bound=BaseModel)


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetOptions:
    """Sources of the lists, and the PEM files for mutual TLS.

    A list without a file is read from ``platform``. ``timeout_s`` is the time in seconds to wait
    for one process.
    """

    platform: str | None = None
    vms: Path | None = None
    services: Path | None = None
    tls_certificate: Path | None = None
    tls_key: Path | None = None
    tls_authority: Path | None = None
    timeout_s: float = TIMEOUT_S


@dataclass(frozen=True, kw_only=True, slots=True)
class Fleet:
    """Listed processes and a reader for them.

    ``services`` is None unless the fleet was opened with them.
    """

    processes: tuple[FleetProcess, ...]
    reader: FleetReader
    services: ServiceList | None = None


class FleetOpener(ABC):
    """Opens a fleet for the duration of a command."""

    @abstractmethod
    def open(self, *, with_services: bool = False) -> AbstractAsyncContextManager[Fleet]:
        """Read the lists and open the reader; raises LaburnumbridgeError."""


class GrpcFleetOpener(FleetOpener):
    """Reads lists from the platform or from files, and processes over gRPC."""

    def __init__(self, *, options: FleetOptions) -> None:
        self._options = options

    @asynccontextmanager
    async def open(self, *, with_services: bool = False) -> AsyncIterator[Fleet]:
        """Open the fleet and close its connections at the end."""
        pool = self._open_pool()
        reader = GrpcFleetReader(pool=pool, timeout_s=self._options.timeout_s)
        try:
            vms = await self._read_list("vms", self._options.vms, VmList)
            services = None
            if with_services:
                services = await self._read_list("services", self._options.services, ServiceList)
            yield Fleet(processes=self._processes(vms), reader=reader, services=services)
        finally:
            await reader.close()

    def _open_pool(self) -> ChannelPool:
        source = self._certificate_source()
        try:
            return ChannelPool(source=source)
        except (CertificateUnreadableError, InvalidCertificateError) as error:
            raise TlsFilesNotUsableError(reason=str(error)) from error

    def _certificate_source(self) -> FileCertificateSource:
        options = self._options
        purpose = "the processes accept calls over mutual TLS only"
        if options.tls_certificate is None:
            raise MissingOptionError(option="--tls-certificate", purpose=purpose)
        if options.tls_key is None:
            raise MissingOptionError(option="--tls-key", purpose=purpose)
        if options.tls_authority is None:
            raise MissingOptionError(option="--tls-authority", purpose=purpose)
        return FileCertificateSource(
            authorities=options.tls_authority,
            chain=options.tls_certificate,
            private_key=options.tls_key,
        )

    def _processes(self, vms: VmList) -> tuple[FleetProcess, ...]:
        if not vms.vms:
            raise NoProcessesError(origin=str(self._options.vms or self._options.platform))
        return tuple(
            FleetProcess(name=vm.name, endpoint=Endpoint.parse(vm.control_address))
            for vm in vms.vms
        )

    async def _read_list(self, name: str, file: Path | None, model: type[M]) -> M:
        if file is not None:
            return _parse(str(file), name, read_input(file), model)
        url = self._options.platform
        if url is None:
            raise MissingOptionError(
                option=f"--{name}",
                purpose=f"without --platform the list of {name} has to be a file",
            )
        return _parse(url, name, await self._read_platform(url, name), model)

    async def _read_platform(self, url: str, name: str) -> bytes:
        client = PlatformClient(url=url)
        await client.start()
        try:
            published = await client.read(name)
        except PlatformUnavailableError as error:
            raise PlatformReadError(reason=str(error)) from error
        finally:
            await client.close()
        if published is None:
            raise PlatformReadError(reason=f"the platform at {url} has published no {name}")
        return published.payload


def _parse(origin: str, name: str, data: bytes, model: type[M]) -> M:
    try:
        return parse_list(name, data, model)
    except InvalidListError as error:
        raise ListNotUsableError(origin=origin, reason=str(error)) from error
