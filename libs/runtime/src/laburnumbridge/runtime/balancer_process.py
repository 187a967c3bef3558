"""The balancer: entry of the guests' packets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.routing import Router
from laburnumbridge.runtime.balancer_forwarder import BalancerForwarder
from laburnumbridge.runtime.configuration_follower import ConfigurationFollower
from laburnumbridge.runtime.errors import UnknownServiceError
from laburnumbridge.runtime.fleet_view import FleetView
from laburnumbridge.runtime.platform_client import PlatformClient
from laburnumbridge.runtime.process import Process
from laburnumbridge.telemetry import Event
from laburnumbridge.telemetry import EventLog
from laburnumbridge.wire import Encapsulation
from laburnumbridge.wire import Endpoint

if TYPE_CHECKING:
    from laburnumbridge.core import ServiceNumber
    from laburnumbridge.settings import BalancerSettings


class BalancerProcess(Process):
    """Reads the lists, then forwards packets by their tokens."""

    def __init__(self, *, settings: BalancerSettings) -> None:
        self._settings = settings
        self._log = EventLog(process=settings.name, level=settings.log_level)
        self._client = PlatformClient(url=settings.platform_url)
        self._view = FleetView()
        self._follower = ConfigurationFollower(client=self._client, view=self._view, log=self._log)
        self._router: Router | None = None
        self._forwarder: BalancerForwarder | None = None

    async def start(self) -> None:
        """Wait for the lists, then bind the services' addresses."""
        await self._client.start()
        await self._follower.start()
        codec = self._view.token_codec()
        assert codec is not None
        self._router = Router(codec=codec)
        self._forwarder = BalancerForwarder(
            router=self._router,
            encapsulation=Encapsulation(link_key=bytes.fromhex(self._settings.link_key)),
            address=Endpoint.parse(self._settings.address),
            address_by_service={
                self._service_number(name): Endpoint.parse(address)
                for name, address in self._settings.listen_by_service.items()
            },
        )
        self._apply("vms")
        self._view.listen(self._apply)
        self._forwarder.start()
        self._log.write(Event.PROCESS_STARTED, role="balancer")

    async def close(self) -> None:
        """Release the addresses; flows need nothing from this process."""
        self._log.write(Event.PROCESS_STOPPING)
        if self._forwarder is not None:
            self._forwarder.close()
        await self._follower.close()
        await self._client.close()
        self._log.write(Event.PROCESS_STOPPED)

    def _service_number(self, name: str) -> ServiceNumber:
        number = self._view.service_numbers().get(name)
        if number is None:
            raise UnknownServiceError(service=name)
        return number

    def _apply(self, name: str) -> None:
        if self._router is None or self._forwarder is None:
            return
        codec = self._view.token_codec()
        if name == "services" and codec is not None:
            self._router.set_codec(codec)
        self._forwarder.set_agents(self._view.endpoints_by_agent())
        self._router.set_routes(
            routes=self._view.agent_routes(), services=self._view.service_numbers().values()
        )
