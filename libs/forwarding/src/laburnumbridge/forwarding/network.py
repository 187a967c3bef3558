"""What a process needs of the network and of time, as interfaces."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.forwarding.endpoints import Endpoint


class Timer:
    """A call that is due; ``cancel`` takes it back."""

    __slots__ = ("callback", "due")

    def __init__(self, *, due: float, callback: Callable[[], None]) -> None:
        self.due = due
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Don't make the call."""
        self.callback = None


class Loop(ABC):
    """Time, timers and signals of one process."""

    @abstractmethod
    def now(self) -> float:
        """Return monotonic seconds."""

    @abstractmethod
    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Timer:
        """Call ``callback`` once after ``delay_s``."""

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
        """Release what the loop holds."""

    def call_every(self, interval_s: float, callback: Callable[[], None]) -> None:
        """Call ``callback`` each ``interval_s`` until the loop ends."""

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
        """Send one datagram without blocking; False if it was dropped here."""

    @abstractmethod
    def close(self) -> None:
        """Close the socket."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamEnd:
    """Why a connection ended; ``is_refused`` means that no process listens there."""

    reason: str
    is_refused: bool = False


class ByteStream(ABC):
    """A TCP connection.

    Whoever connects or accepts sets the callbacks at once; none is called before that. ``on_end``
    is called at most once, and not after ``close``.
    """

    def __init__(self) -> None:
        self.on_connected: Callable[[], None] = lambda: None
        self.on_data: Callable[[bytes], None] = lambda _data: None
        self.on_end: Callable[[StreamEnd], None] = lambda _end: None

    @abstractmethod
    def send(self, data: bytes) -> None:
        """Send or queue ``data``; a queue over its limit ends the connection."""

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

    ``on_fault`` is told of errors that no caller sees: the operation and the system's reason. Set
    it before sockets are started.
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
        """Begin to connect; a failure comes as ``on_end``."""
