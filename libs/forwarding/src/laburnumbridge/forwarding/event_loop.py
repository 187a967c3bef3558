"""Event loop on epoll."""

from __future__ import annotations

import heapq
import select
import signal
import time
from typing import TYPE_CHECKING

from laburnumbridge.forwarding.network import Loop
from laburnumbridge.forwarding.network import Timer

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_POLL_S = 0.2
"""Longest wait in one poll, so that a signal is handled after this time at the latest."""


class EventLoop(Loop):
    """Runs callbacks for readable and writable descriptors, due timers and signals.

    asyncio isn't used here: importing it alone takes 11 MB of resident memory, half of what a
    process on the platform's path may use.
    """

    def __init__(self) -> None:
        self._poll = select.epoll()
        self._reader_by_fd: dict[int, Callable[[], None]] = {}
        self._writer_by_fd: dict[int, Callable[[], None]] = {}
        self._timers: list[tuple[float, int, Timer]] = []
        self._sequence = 0
        self._is_running = False
        self._pending_signals: list[int] = []
        self._handler_by_signal: dict[int, Callable[[], None]] = {}

    def now(self) -> float:
        """Return monotonic seconds, which include the time while the VM is suspended.

        So ages are correct after a suspension, and an old view isn't taken for a fresh one.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def on_signal(self, number: int, handler: Callable[[], None]) -> None:
        """Call ``handler`` in the loop after the signal ``number`` arrives."""
        self._handler_by_signal[number] = handler
        signal.signal(number, lambda received, _frame: self._pending_signals.append(received))

    def watch(
        self,
        fd: int,
        *,
        reader: Callable[[], None] | None = None,
        writer: Callable[[], None] | None = None,
    ) -> None:
        """Set the callbacks for a readable or writable ``fd``; they replace the earlier ones."""
        is_watched = fd in self._reader_by_fd or fd in self._writer_by_fd
        for table, callback in ((self._reader_by_fd, reader), (self._writer_by_fd, writer)):
            if callback is None:
                table.pop(fd, None)
            else:
                table[fd] = callback
        mask = (select.EPOLLIN if reader else 0) | (select.EPOLLOUT if writer else 0)
        if is_watched:
            self._poll.modify(fd, mask)
        else:
            self._poll.register(fd, mask)

    def unwatch(self, fd: int) -> None:
        """Remove ``fd`` from the loop; call this before closing it."""
        if fd in self._reader_by_fd or fd in self._writer_by_fd:
            self._poll.unregister(fd)
        self._reader_by_fd.pop(fd, None)
        self._writer_by_fd.pop(fd, None)

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Timer:
        """Call ``callback`` once after ``delay_s`` seconds."""
        timer = Timer(due=self.now() + delay_s, callback=callback)
        self._sequence += 1
        heapq.heappush(self._timers, (timer.due, self._sequence, timer))
        return timer

    def run(self) -> None:
        """Run until ``stop`` is called."""
        self._is_running = True
        while self._is_running:
            self._poll_once()
            self._run_signals()
            self._run_timers()

    def stop(self) -> None:
        """End ``run`` after the current callback."""
        self._is_running = False

    def close(self) -> None:
        """Close the loop's epoll descriptor."""
        self._poll.close()

    def _poll_once(self) -> None:
        wait_s = MAX_POLL_S
        if self._timers:
            wait_s = min(wait_s, max(0.0, self._timers[0][0] - self.now()))
        for fd, mask in self._poll.poll(wait_s):
            if mask & ~select.EPOLLOUT:
                callback = self._reader_by_fd.get(fd) or self._writer_by_fd.get(fd)
                if callback:
                    self.guard(callback)
            if mask & select.EPOLLOUT:
                callback = self._writer_by_fd.get(fd)
                if callback:
                    self.guard(callback)

    def _run_signals(self) -> None:
        while self._pending_signals:
            self.guard(self._handler_by_signal[self._pending_signals.pop(0)])

    def _run_timers(self) -> None:
        now = self.now()
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            if timer.callback is not None:
                self.guard(timer.callback)
