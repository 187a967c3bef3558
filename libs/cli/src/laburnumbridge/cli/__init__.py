"""The laburnumbridge command."""

from __future__ import annotations

import os

# gRPC reads this when it is imported. Without it, every failed handshake is a line of its own on
# standard error, between the JSON lines of a process or beside the one line of an error.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
