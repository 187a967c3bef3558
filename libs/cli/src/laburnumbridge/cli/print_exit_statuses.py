"""Prints the page about exit statuses, as ``python -m``."""

from __future__ import annotations

from laburnumbridge.cli.exit_status import render_exit_statuses

if __name__ == "__main__":
    print(render_exit_statuses(), end="")
