"""Interfaces of the network and the event loop that a process uses."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING
from typing import Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.forwarding.endpoints import Endpoint


class Timer:
    """A scheduled call; ``due`` is its time on the loop's clock, in seconds."""

    __slots__ = ("callback", "due")

    def __init__(self, *, due: float, callback: Callable[[], None]) -> None:
        self.due = due
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancel the call."""
        self.callback = None


class Loop(ABC):
    """Event loop of one process: clock, timers and signals.

    ``on_error`` gets unexpected errors of guarded calls. While it is None they are raised, so an
    error at the start ends the process.
    """

    on_error: Callable[[Exception], None] | None = None

    def guard(self, callback: Callable[..., None], *arguments: Any) -> bool:
        """Call ``callback``; return False if it failed with an unexpected error."""
        try:
            callback(*arguments)
        except Exception as error:
            if self.on_error is None:
                raise
            self.on_error(error)
            return False
        return True

    @abstractmethod
    def now(self) -> float:
        """Return monotonic seconds."""

    @abstractmethod
    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Timer:
        """Call ``callback`` once after ``delay_s`` seconds."""

    @abstractmethod
    def on_signal(self, number: int, handler: Callable[[], None]) -> None:
        """Call ``handler`` after the signal arrives."""

    @abstractmethod
    def run(self) -> None:
        """Run until ``stop`` is called."""

    @abstractmethod
    def stop(self) -> None:
        """End ``run`` after the current call."""

    @abstractmethod
    def close(self) -> None:
        """Release the loop's resources."""

    def call_every(self, interval_s: float, callback: Callable[[], None]) -> None:
        """Call ``callback`` each ``interval_s`` seconds until the loop ends."""

        def run() -> None:
            self.call_later(interval_s, run)
            callback()

        self.call_later(interval_s, run)


class DatagramPort(ABC):
    """A UDP socket."""

    @abstractmethod
    def start(self) -> None:
        """Bind the socket. Raises OSError."""

    @abstractmethod
    def send(self, datagram: bytes, endpoint: Endpoint) -> bool:
        """Send one datagram without blocking; return False if it was dropped on this side."""

    @abstractmethod
    def close(self) -> None:
        """Close the socket."""


class StreamEnd(msgspec.Struct, frozen=True, kw_only=True):
    """Reason for the end of a connection; if ``is_refused``, no process listens at the endpoint."""

    reason: str
    is_refused: bool = False


class ByteStream(ABC):
    """A TCP connection.

    Code that connects or accepts sets the callbacks at once; none is called before that.
    ``on_end`` is called at most once, and not after ``close``.
    """

    def __init__(self) -> None:
        self.on_connected: Callable[[], None] = lambda: None
        self.on_data: Callable[[bytes], None] = lambda _data: None
        self.on_end: Callable[[StreamEnd], None] = lambda _end: None

    @abstractmethod
    def send(self, data: bytes) -> None:
        """Send ``data`` or queue it; a queue above its limit ends the connection."""

    @abstractmethod
    def close(self) -> None:
        """Close the connection."""


class StreamListener(ABC):
    """A listening TCP socket."""

    @abstractmethod
    def start(self) -> None:
        """Listen. Raises OSError."""

    @abstractmethod
    def close(self) -> None:
        """Stop listening."""


class Network(ABC):
    """Opens sockets.

    ``on_fault`` is called with errors that aren't raised: the operation and the system's reason.
    Set it before sockets are started.
    """

    def __init__(self) -> None:
        self.on_fault: Callable[[str, str], None] = lambda _operation, _reason: None

    @abstractmethod
    def datagram_port(
        self, endpoint: Endpoint, on_datagram: Callable[[bytes, Endpoint], None]
    ) -> DatagramPort:
        """Return an unbound UDP socket."""

    @abstractmethod
    def listener(
        self, endpoint: Endpoint, on_connection: Callable[[ByteStream, Endpoint], None]
    ) -> StreamListener:
        """Return a TCP listener that isn't started."""

    @abstractmethod
    def connect(self, endpoint: Endpoint) -> ByteStream:
        """Start to connect; a failure is reported by ``on_end``."""
