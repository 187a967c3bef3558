"""Processes and drivers, which connect the decision modules to sockets, clocks and loops."""

from __future__ import annotations

from laburnumbridge.runtime.agent_process import AgentProcess
from laburnumbridge.runtime.balancer_process import BalancerProcess
from laburnumbridge.runtime.process import Process
from laburnumbridge.runtime.process import run

__all__ = ["AgentProcess", "BalancerProcess", "Process", "run"]
