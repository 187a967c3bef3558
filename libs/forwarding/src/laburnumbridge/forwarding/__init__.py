"""Processes that forward flows without ending them."""

from __future__ import annotations

from laburnumbridge.forwarding.run_process import run_process

__all__ = ["run_process"]
