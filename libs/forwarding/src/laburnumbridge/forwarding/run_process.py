"""Runs one forwarding process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.forwarding.decision_log import DecisionLog
from laburnumbridge.forwarding.errors import InvalidSettingsError
from laburnumbridge.forwarding.errors import SocketUnavailableError
from laburnumbridge.forwarding.errors import UnknownRoleError
from laburnumbridge.forwarding.event_loop import EventLoop
from laburnumbridge.forwarding.forwarding_settings import load_forwarding_settings
from laburnumbridge.forwarding.socket_network import SocketNetwork

if TYPE_CHECKING:
    from os import PathLike

    from laburnumbridge.catalog import PlatformCodec
    from laburnumbridge.flows import PacketCodec
    from laburnumbridge.forwarding.forwarding_process import ForwardingProcess

ROLES = ("balancer", "agent")


def process_type(role: str) -> type[ForwardingProcess]:
    """Return the class of the role; only its modules are imported, which shortens the start."""
    if role == "agent":
        from laburnumbridge.forwarding.flow_agent import FlowAgent

        return FlowAgent
    from laburnumbridge.forwarding.flow_balancer import FlowBalancer

    return FlowBalancer


def run_process(
    *,
    role: str,
    settings_path: str | PathLike[str],
    packet_codec: PacketCodec,
    platform_codec: PlatformCodec,
) -> None:
    """Serve as ``role`` until a signal stops the process.

    Raises UnknownRoleError, InvalidSettingsError or SocketUnavailableError.
    """
    if role not in ROLES:
        raise UnknownRoleError(role=role, roles=ROLES)
    settings = load_forwarding_settings(settings_path)
    if role == "agent" and settings.upstream is None:
        raise InvalidSettingsError(
            path=str(settings_path), field="upstream", reason="an agent needs its upstream"
        )
    loop = EventLoop()
    process = process_type(role)(
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
