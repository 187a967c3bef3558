"""Runs one forwarding process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.forwarding.decision_log import DecisionLog
from laburnumbridge.forwarding.errors import InvalidSettingsError
from laburnumbridge.forwarding.errors import SocketUnavailableError
from laburnumbridge.forwarding.errors import UnknownRoleError
from laburnumbridge.forwarding.event_loop import EventLoop
from laburnumbridge.forwarding.flow_agent import FlowAgent
from laburnumbridge.forwarding.flow_balancer import FlowBalancer
from laburnumbridge.forwarding.forwarding_settings import load_forwarding_settings
from laburnumbridge.forwarding.socket_network import SocketNetwork

if TYPE_CHECKING:
    from pathlib import Path

    from laburnumbridge.catalog import PlatformCodec
    from laburnumbridge.flows import PacketCodec
    from laburnumbridge.forwarding.forwarding_process import ForwardingProcess

_PROCESS_BY_ROLE: dict[str, type[ForwardingProcess]] = {
    "balancer": FlowBalancer,
    "agent": FlowAgent,
}


def run_process(
    *,
    role: str,
    settings_path: Path,
    packet_codec: PacketCodec,
    platform_codec: PlatformCodec,
) -> None:
    """Serve as ``role`` until a signal stops the process.

    Raises UnknownRoleError, InvalidSettingsError or SocketUnavailableError.
    """
    if role not in _PROCESS_BY_ROLE:
        raise UnknownRoleError(role=role, roles=tuple(_PROCESS_BY_ROLE))
    settings = load_forwarding_settings(settings_path)
    if role == "agent" and settings.upstream is None:
        raise InvalidSettingsError(
            path=str(settings_path), field="upstream", reason="an agent needs its upstream"
        )
    loop = EventLoop()
    process = _PROCESS_BY_ROLE[role](
        loop=loop,
        network=SocketNetwork(loop=loop),
        log=DecisionLog(process=settings.process),
        settings=settings,
        settings_path=settings_path,
        packet_codec=packet_codec,
        platform_codec=platform_codec,
    )
    try:
        process.start()
    except OSError as error:
        process.close()
        raise SocketUnavailableError(
            endpoint=settings.address, reason=error.strerror or str(error)
        ) from error
    try:
        process.run()
    finally:
        process.close()
