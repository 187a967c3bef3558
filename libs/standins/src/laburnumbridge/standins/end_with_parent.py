"""Ends the processes of a harness when the harness ends."""

from __future__ import annotations

import ctypes
import signal

PR_SET_PDEATHSIG = 1
"""Option of Linux's prctl: the signal that a process receives when its parent ends."""


def end_with_parent() -> None:
    """Have the kernel kill this process when its parent ends, also when the parent is killed.

    Call it in the new process, before the program starts.
    """
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
