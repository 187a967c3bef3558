"""Formats and links between the processes of the system."""

from __future__ import annotations

from laburnumbridge.wire.encapsulation import Encapsulation
from laburnumbridge.wire.encapsulation import Frame
from laburnumbridge.wire.encapsulation import FrameKind
from laburnumbridge.wire.endpoint import Endpoint
from laburnumbridge.wire.errors import FrameFault
from laburnumbridge.wire.errors import FrameRejectedError

__all__ = ["Encapsulation", "Endpoint", "Frame", "FrameFault", "FrameKind", "FrameRejectedError"]
