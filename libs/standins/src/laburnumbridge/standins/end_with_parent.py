"""Ends the processes of a harness with it."""

from __future__ import annotations

import ctypes
import signal

PR_SET_PDEATHSIG = 1
"""Option of Linux's prctl: the signal that a process gets when its parent ends."""


def end_with_parent() -> None:
    """Have the kernel end this process when its parent is gone, however that ended.

    Call it in the new process, before the program starts.
    """
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
