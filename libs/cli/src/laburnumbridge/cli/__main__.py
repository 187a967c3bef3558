"""Runs the command as ``python -m laburnumbridge.cli``."""

from __future__ import annotations

from laburnumbridge.cli.application import main

main()
