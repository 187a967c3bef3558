"""Forwards datagrams between clients and agents."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from laburnumbridge.routing import Drop
from laburnumbridge.routing import RouteToAgent
from laburnumbridge.routing import SendStatelessReset
from laburnumbridge.runtime.forwarding_path.stateless_reset import build_stateless_reset
from laburnumbridge.runtime.forwarding_path.suspect_packets import SuspectPackets
from laburnumbridge.runtime.forwarding_path.udp_socket import UdpSocket
from laburnumbridge.wire import Endpoint
from laburnumbridge.wire import FrameKind
from laburnumbridge.wire import FrameRejectedError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from laburnumbridge.core import AgentNumber
    from laburnumbridge.core import ServiceNumber
    from laburnumbridge.routing import Router
    from laburnumbridge.wire import Encapsulation

HEADER_CACHE_ENTRIES = 100_000


class ServiceSocket:
    """Socket towards clients at the address of one service."""

    def __init__(
        self, *, forwarder: BalancerForwarder, service_number: ServiceNumber, address: Endpoint
    ) -> None:
        self._forwarder = forwarder
        self._service_number = service_number
        self._header_by_client: dict[tuple[str, int], bytes] = {}
        self._suspect_packets = SuspectPackets()
        self.socket = UdpSocket(address=address, on_datagram=self._on_datagram)

    def set_suspects(self, suspects: Iterable[AgentNumber]) -> None:
        """Replace the suspected agents, and reset flows of those that are now gone.

        A flow is reset by its kept packet, without waiting for the client's next one.
        """
        for client, packet in self._suspect_packets.set_suspects(suspects):
            decision = self._forwarder.router.route(packet, self._service_number)
            if isinstance(decision, SendStatelessReset):
                self._send_reset(decision, packet, client)

    def _on_datagram(self, data: bytes, client: tuple[str, int]) -> None:
        forwarder = self._forwarder
        decision = forwarder.router.route(data, self._service_number)
        if isinstance(decision, RouteToAgent):
            header = self._header_by_client.get(client) or self._build_header(client)
            forwarder.send_to_agent(header + data, decision.agent_number)
            if decision.agent_number in self._suspect_packets.suspects:
                self._suspect_packets.keep(decision.agent_number, client, data)
            return
        if isinstance(decision, Drop):
            forwarder.dropped[decision.reason.value] += 1
            return
        self._send_reset(decision, data, client)

    def _send_reset(
        self, decision: SendStatelessReset, trigger: bytes, client: tuple[str, int]
    ) -> None:
        reset = build_stateless_reset(token=decision.token, triggering_bytes=len(trigger))
        if reset is not None:
            self._forwarder.resets_sent += 1
            self.socket.send(reset, client)

    def _build_header(self, client: tuple[str, int]) -> bytes:
        header = self._forwarder.encapsulation.header(
            FrameKind.TO_AGENT, self._service_number, Endpoint(*client), None
        )
        if len(self._header_by_client) >= HEADER_CACHE_ENTRIES:
            self._header_by_client.clear()
        self._header_by_client[client] = header
        return header


class BalancerForwarder:
    """Forwards between one socket per service, towards clients, and one towards the agents."""

    def __init__(
        self,
        *,
        router: Router,
        encapsulation: Encapsulation,
        address: Endpoint,
        address_by_service: Mapping[ServiceNumber, Endpoint],
        on_agent_refused: Callable[[Endpoint], None] | None = None,
    ) -> None:
        self.router = router
        self.encapsulation = encapsulation
        self.dropped: Counter[str] = Counter()
        self.resets_sent = 0
        self.forwarded = 0
        self._endpoint_by_agent: dict[AgentNumber, Endpoint] = {}
        self._agent_socket = UdpSocket(
            address=address, on_datagram=self._on_agent_datagram, on_refused=on_agent_refused
        )
        self._service_sockets = {
            number: ServiceSocket(forwarder=self, service_number=number, address=local)
            for number, local in address_by_service.items()
        }

    def set_agents(self, endpoint_by_agent: Mapping[AgentNumber, Endpoint]) -> None:
        """Replace the addresses of the agents."""
        self._endpoint_by_agent = dict(endpoint_by_agent)

    def set_suspects(self, suspects: Iterable[AgentNumber]) -> None:
        """Replace the suspected agents; the router must have its new routes before."""
        suspected = frozenset(suspects)
        for service in self._service_sockets.values():
            service.set_suspects(suspected)

    def start(self) -> None:
        """Bind all addresses."""
        self._agent_socket.start()
        for service in self._service_sockets.values():
            service.socket.start()

    def close(self) -> None:
        """Release all addresses."""
        for service in self._service_sockets.values():
            service.socket.close()
        self._agent_socket.close()

    def send_to_agent(self, data: bytes, agent_number: AgentNumber) -> None:
        """Send an encapsulated datagram to an agent; drop and count it without an address."""
        endpoint = self._endpoint_by_agent.get(agent_number)
        if endpoint is None:
            self.dropped["no_address"] += 1
            return
        self.forwarded += 1
        self._agent_socket.send(data, endpoint)

    def _on_agent_datagram(self, data: bytes, _address: tuple[str, int]) -> None:
        try:
            frame = self.encapsulation.decode(data)
        except FrameRejectedError as error:
            self.dropped[error.fault.value] += 1
            return
        service = self._service_sockets.get(frame.service_number)
        if frame.kind is not FrameKind.TO_GUEST or service is None:
            self.dropped["wrong_direction"] += 1
            return
        service.socket.send(frame.datagram, frame.client)
