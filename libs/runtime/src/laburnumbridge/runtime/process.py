"""Base class of processes, and the function that runs one."""

from __future__ import annotations

import asyncio
import signal
from abc import ABC
from abc import abstractmethod

import uvloop


class Process(ABC):
    """A process that serves between ``start`` and ``close``."""

    @abstractmethod
    async def start(self) -> None:
        """Start serving; returns when the process is ready."""

    @abstractmethod
    async def close(self) -> None:
        """Drain, then release all resources."""


async def serve_until_signal(process: Process) -> None:
    """Run a process until SIGTERM or SIGINT; a second signal ends the drain early."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    starting = asyncio.create_task(process.start())
    first_signal = asyncio.create_task(stopping.wait())
    await asyncio.wait({starting, first_signal}, return_when=asyncio.FIRST_COMPLETED)
    if starting.done():
        starting.result()
        await first_signal
    else:
        starting.cancel()
    stopping.clear()
    closing = asyncio.create_task(process.close())
    second_signal = asyncio.create_task(stopping.wait())
    await asyncio.wait({closing, second_signal}, return_when=asyncio.FIRST_COMPLETED)
    second_signal.cancel()
    if closing.done():
        closing.result()
    else:
        closing.cancel()


def run(process: Process) -> None:
    """Run a process on a new event loop."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve_until_signal(process))
