"""Base of the processes of the system."""

from __future__ import annotations

import asyncio
import signal
from abc import ABC
from abc import abstractmethod

import uvloop


class Process(ABC):
    """Something that serves between ``start`` and ``close``."""

    @abstractmethod
    async def start(self) -> None:
        """Begin to serve; returns once the process is ready."""

    @abstractmethod
    async def close(self) -> None:
        """Drain, then release everything."""


async def serve_until_signal(process: Process) -> None:
    """Run a process until SIGTERM or SIGINT; a second signal ends the drain early."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    starting = asyncio.create_task(process.start())
    stopped = asyncio.create_task(stopping.wait())
    await asyncio.wait({starting, stopped}, return_when=asyncio.FIRST_COMPLETED)
    if starting.done():
        starting.result()
        await stopped
    else:
        starting.cancel()
    stopping.clear()
    closing = asyncio.create_task(process.close())
    hurried = asyncio.create_task(stopping.wait())
    await asyncio.wait({closing, hurried}, return_when=asyncio.FIRST_COMPLETED)
    hurried.cancel()
    if closing.done():
        closing.result()
    else:
        closing.cancel()


def run(process: Process) -> None:
    """Run a process on a new event loop."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve_until_signal(process))
