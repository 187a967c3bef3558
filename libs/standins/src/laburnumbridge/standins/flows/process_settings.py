"""Settings of forwarding processes in fleets of the stand-ins."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.forwarding.endpoints import Endpoint

PACKET_PORT = 8172
PEER_PORT = 7720
READY_PORT = 8167
METRICS_PORT = 9464
CONTROL_PORT = 8166
UPSTREAM_PORT = 8080
OUTPUT_PORT = 8162
SERVICE: Endpoint = ("198.18.0.1", 443)
OTHER_SERVICE: Endpoint = ("198.18.0.9", 443)
SERVICE_NAME = "desk"
SECOND_SERVICE_NAME = "archive"
STOP_GRACE_S = 6


def process_settings(
    address: str,
    *,
    platform: Endpoint,
    seeds: list[str],
    is_agent: bool,
    service: str = SERVICE_NAME,
    failure_domain: str = "north",
) -> dict[str, object]:
    """Return the settings of the process at ``address``; ports are the same on all VMs.

    ``service`` is that of an agent's upstream.
    """
    settings: dict[str, object] = {
        "process": f"vm-{address}",
        "failure_domain": failure_domain,
        "address": address,
        "packet_endpoint": f"{address}:{PACKET_PORT}",
        "peer_port": PEER_PORT,
        "ready_endpoint": f"{address}:{READY_PORT}",
        "metrics_port": METRICS_PORT,
        "platform_endpoint": f"{platform[0]}:{platform[1]}",
        "seeds": seeds,
        "flow_max_age_s": 60,
        "stop_grace_s": STOP_GRACE_S,
    }
    if is_agent:
        settings["upstream"] = {
            "service": service,
            "endpoint": f"{address}:{UPSTREAM_PORT}",
            "output_endpoint": f"{address}:{OUTPUT_PORT}",
        }
    else:
        settings["control_endpoint"] = f"{address}:{CONTROL_PORT}"
    return settings
