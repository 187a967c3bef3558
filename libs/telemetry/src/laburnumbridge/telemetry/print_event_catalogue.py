"""Prints the documentation page of log events when run with ``python -m``."""

from __future__ import annotations

from laburnumbridge.telemetry.event_catalogue import render_event_catalogue

if __name__ == "__main__":
    print(render_event_catalogue(), end="")
