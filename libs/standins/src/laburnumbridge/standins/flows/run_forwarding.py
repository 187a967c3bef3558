"""Runs a forwarding process with the packet and platform codecs of the stand-ins."""

from __future__ import annotations

import sys
from pathlib import Path

from laburnumbridge.forwarding.run_process import run_process
from laburnumbridge.standins.flows.platform_stand_in import StandInPlatformCodec
from laburnumbridge.standins.flows.stand_in_packets import StandInPacketCodec


def main(role: str, settings: str) -> None:
    """Run as ``role`` with the settings file at the path ``settings``."""
    run_process(
        role=role,
        settings_path=Path(settings),
        packet_codec=StandInPacketCodec(),
        platform_codec=StandInPlatformCodec(),
    )


if __name__ == "__main__":
    main(*sys.argv[1:])
