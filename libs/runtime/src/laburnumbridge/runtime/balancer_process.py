"""The balancer process, which receives clients' packets and forwards them to agents."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from laburnumbridge.core import ProcessId
from laburnumbridge.routing import AgentState
from laburnumbridge.routing import Router
from laburnumbridge.runtime.errors import UnknownServiceError
from laburnumbridge.runtime.forwarding_path.balancer_forwarder import BalancerForwarder
from laburnumbridge.runtime.forwarding_path.route_table import build_routes
from laburnumbridge.runtime.process import Process
from laburnumbridge.runtime.process_core import ProcessCore
from laburnumbridge.telemetry import Event
from laburnumbridge.wire import Encapsulation
from laburnumbridge.wire import Endpoint

if TYPE_CHECKING:
    from laburnumbridge.core import ServiceNumber
    from laburnumbridge.settings import BalancerSettings


# A stopping balancer forwards until it has received no packets for IDLE_S, for at most
# STOP_LIMIT_S, because the fabric takes a while to notice that a balancer is leaving.
STOP_LIMIT_S = 30.0
IDLE_S = 1.0

_ROUTING_LISTS = frozenset({"services", "vms"})


class BalancerProcess(Process):
    """Waits for the lists, then forwards packets by their routing tokens."""

    def __init__(self, *, settings: BalancerSettings) -> None:
        self._settings = settings
        self._core = ProcessCore(settings=settings, role="balancer")
        self._router: Router | None = None
        self._forwarder: BalancerForwarder | None = None
        self._process_by_endpoint: dict[Endpoint, ProcessId] = {}

    async def start(self) -> None:
        """Wait for the lists, then bind the services' addresses."""
        core = self._core
        await core.start()
        codec = core.view.token_codec()
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
            on_agent_refused=self._on_agent_refused,
        )
        core.metrics.attach("packets_dropped", self._forwarder.dropped)
        self._apply_list("vms")
        core.view.listen(self._apply_list)
        core.membership.listen(self._apply_routes)
        self._forwarder.start()
        core.log.write(Event.PROCESS_STARTED, role="balancer")

    async def close(self) -> None:
        """Forward until the fabric has stopped sending, then release the addresses.

        Flows don't depend on this process; only packets already sent to it would be lost.
        """
        self._core.log.write(Event.PROCESS_STOPPING)
        self._core.membership.announce_leave()
        if self._forwarder is not None:
            await self._wait_until_idle(self._forwarder)
            self._forwarder.close()
        await self._core.close()

    async def _wait_until_idle(self, forwarder: BalancerForwarder) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + STOP_LIMIT_S
        while loop.time() < until:
            before = forwarder.forwarded
            await asyncio.sleep(IDLE_S)
            if forwarder.forwarded == before:
                return

    def _service_number(self, name: str) -> ServiceNumber:
        number = self._core.view.service_numbers().get(name)
        if number is None:
            raise UnknownServiceError(service=name)
        return number

    def _on_agent_refused(self, endpoint: Endpoint) -> None:
        process_id = self._process_by_endpoint.get(endpoint)
        if process_id is not None:
            self._core.membership.port_closed(process_id)

    def _apply_list(self, name: str) -> None:
        if self._router is None or self._forwarder is None:
            return
        # Client accounts and plans matter only to agents, and new routes clear the decision caches.
        if name not in _ROUTING_LISTS:
            return
        view = self._core.view
        codec = view.token_codec()
        if name == "services" and codec is not None:
            self._router.set_codec(codec)
        if name == "vms":
            self._forwarder.set_agents(view.endpoints_by_agent())
            self._process_by_endpoint = {
                Endpoint.parse(vm.address): ProcessId(vm.name) for vm in view.vms.agents
            }
        self._apply_routes()

    def _apply_routes(self) -> None:
        if self._router is None or self._forwarder is None:
            return
        routes = build_routes(self._core.view, self._core.membership.view)
        self._router.set_routes(routes=routes, services=self._core.view.service_numbers().values())
        suspects = [r.agent_number for r in routes if r.state is AgentState.SUSPECT]
        self._forwarder.set_suspects(suspects)
