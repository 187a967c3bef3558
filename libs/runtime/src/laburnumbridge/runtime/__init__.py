"""Drivers and processes: sockets, clocks and event loops around the decisions."""

from __future__ import annotations

from laburnumbridge.runtime.agent_process import AgentProcess
from laburnumbridge.runtime.balancer_process import BalancerProcess
from laburnumbridge.runtime.process import Process
from laburnumbridge.runtime.process import run

__all__ = ["AgentProcess", "BalancerProcess", "Process", "run"]
