"""Prints the page that documents the exit statuses; run it with ``python -m``."""

from __future__ import annotations

from laburnumbridge.cli.exit_status import render_exit_statuses

if __name__ == "__main__":
    print(render_exit_statuses(), end="")
