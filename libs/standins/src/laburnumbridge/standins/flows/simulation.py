"""Simulated time, event loops and network."""

from __future__ import annotations

import heapq
from collections import Counter
from collections import deque
from typing import TYPE_CHECKING

from laburnumbridge.forwarding.network import ByteStream
from laburnumbridge.forwarding.network import DatagramPort
from laburnumbridge.forwarding.network import Loop
from laburnumbridge.forwarding.network import Network
from laburnumbridge.forwarding.network import StreamEnd
from laburnumbridge.forwarding.network import StreamListener
from laburnumbridge.forwarding.network import Timer

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.forwarding.endpoints import Endpoint

LATENCY_S = 0.0005
LATENCY_WITHIN_VM_S = 0.00005
CHUNK_BYTES = 4_096
"""Streams take turns on a limited link with chunks of this size."""


class Simulation:
    """Runs events in the order of simulated time and carries bytes between addresses.

    ``partition`` separates two addresses, the callback ``should_drop`` decides which datagrams are
    lost, and an address in ``isolated`` neither sends nor receives. ``stream_bytes_by_address``
    counts the bytes that streams sent, by address of the sender. ``set_rate`` limits the link of a
    VM for streams; datagrams aren't delayed by it.
    """

    def __init__(self) -> None:
        self.now = 1000.0
        self.isolated: set[str] = set()
        self.should_drop: Callable[[bytes, Endpoint], bool] = lambda _datagram, _endpoint: False
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self.stream_bytes_by_address: Counter[str] = Counter()
        self._partitions: set[frozenset[str]] = set()
        self.ports: dict[Endpoint, SimulatedDatagramPort] = {}
        self.listeners: dict[Endpoint, SimulatedListener] = {}
        self._links_by_address: dict[str, tuple[SimulatedLink, SimulatedLink]] = {}

    def set_rate(self, address: str, bytes_per_s: float) -> None:
        """Limit what the streams of ``address`` send and what they receive."""
        self._links_by_address[address] = (
            SimulatedLink(simulation=self, bytes_per_s=bytes_per_s),
            SimulatedLink(simulation=self, bytes_per_s=bytes_per_s),
        )

    def is_limited(self, address: str) -> bool:
        """Return whether ``set_rate`` was called for ``address``."""
        return address in self._links_by_address

    def carry(
        self, source: str, target: str, *, stream: object, size: int, event: Callable[[], None]
    ) -> None:
        """Run ``event`` when ``size`` bytes of ``stream`` have passed both links."""

        def arrive() -> None:
            self._pass_link(target, 1, stream, size, event)

        def depart() -> None:
            self.schedule(self.latency_s(source, target), arrive)

        self._pass_link(source, 0, stream, size, depart)

    def _pass_link(
        self, address: str, direction: int, stream: object, size: int, event: Callable[[], None]
    ) -> None:
        links = self._links_by_address.get(address)
        if links is None:
            event()
        else:
            links[direction].carry(stream, size, event)

    def schedule(self, delay_s: float, event: Callable[[], None]) -> None:
        """Run ``event`` after ``delay_s`` of simulated time."""
        self._sequence += 1
        heapq.heappush(self._events, (self.now + delay_s, self._sequence, event))

    def run_for(self, seconds: float) -> None:
        """Advance simulated time by ``seconds`` and run all events that are due until then."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            due, _, event = heapq.heappop(self._events)
            self.now = max(self.now, due)
            event()
        self.now = end

    def partition(self, first: str, second: str) -> None:
        """Drop everything between two addresses until ``heal``."""
        self._partitions.add(frozenset((first, second)))

    def heal(self) -> None:
        """End all partitions."""
        self._partitions.clear()

    def is_connected(self, first: str, second: str) -> bool:
        """Return whether neither address is isolated and no partition separates them."""
        if first in self.isolated or second in self.isolated:
            return False
        return frozenset((first, second)) not in self._partitions

    @staticmethod
    def latency_s(first: str, second: str) -> float:
        """Return the one-way delay in seconds."""
        return LATENCY_WITHIN_VM_S if first == second else LATENCY_S


class SimulatedLink:
    """One direction of a VM's link. Streams take turns, so each gets its share of the rate."""

    def __init__(self, *, simulation: Simulation, bytes_per_s: float) -> None:
        self._simulation = simulation
        self._bytes_per_s = bytes_per_s
        self._waiting_by_stream: dict[object, deque[tuple[int, Callable[[], None]]]] = {}
        self._is_busy = False

    def carry(self, stream: object, size: int, event: Callable[[], None]) -> None:
        """Run ``event`` when ``size`` bytes have been sent."""
        self._waiting_by_stream.setdefault(stream, deque()).append((size, event))
        if not self._is_busy:
            self._send_next()

    def _send_next(self) -> None:
        self._is_busy = bool(self._waiting_by_stream)
        if not self._is_busy:
            return
        stream = next(iter(self._waiting_by_stream))
        chunks = self._waiting_by_stream.pop(stream)
        size, event = chunks.popleft()
        if chunks:
            self._waiting_by_stream[stream] = chunks

        def complete() -> None:
            event()
            self._send_next()

        self._simulation.schedule(size / self._bytes_per_s, complete)


class SimulatedLoop(Loop):
    """The loop of one process.

    Events that are due while the process is paused run after the pause; none run after it has
    ended.
    """

    def __init__(self, *, simulation: Simulation, address: str) -> None:
        self.simulation = simulation
        self.address = address
        self.is_alive = True
        self.paused_until = 0.0
        self._handler_by_signal: dict[int, Callable[[], None]] = {}
        self.on_stop: Callable[[], None] = lambda: None

    def now(self) -> float:
        """Return the simulated time in seconds."""
        return self.simulation.now

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Timer:
        """Call ``callback`` once after ``delay_s`` of simulated time."""
        timer = Timer(due=self.simulation.now + delay_s, callback=callback)

        def run() -> None:
            if timer.callback is not None:
                timer.callback()

        self.simulation.schedule(delay_s, lambda: self.deliver(run))
        return timer

    def deliver(self, event: Callable[[], None]) -> None:
        """Run ``event`` in the process, after the pause if it is paused."""
        if not self.is_alive:
            return
        if self.simulation.now < self.paused_until:
            self.simulation.schedule(
                self.paused_until - self.simulation.now, lambda: self.deliver(event)
            )
            return
        self.guard(event)

    def on_signal(self, number: int, handler: Callable[[], None]) -> None:
        """Register ``handler`` for the signal ``number``."""
        self._handler_by_signal[number] = handler

    def signal(self, number: int) -> None:
        """Schedule the handler of the signal ``number`` at the current time."""
        self.simulation.schedule(0.0, lambda: self.deliver(self._handler_by_signal[number]))

    def run(self) -> None:
        """Do nothing: the simulation runs the events."""

    def stop(self) -> None:
        """Call ``on_stop``, since the process has requested its end."""
        self.on_stop()

    def close(self) -> None:
        """End the process."""
        self.is_alive = False


class SimulatedDatagramPort(DatagramPort):
    """A UDP socket of a simulated process."""

    def __init__(
        self,
        *,
        loop: SimulatedLoop,
        endpoint: Endpoint,
        on_datagram: Callable[[bytes, Endpoint], None],
    ) -> None:
        self._loop = loop
        self.endpoint = endpoint
        self._on_datagram = on_datagram

    def start(self) -> None:
        """Bind the socket."""
        self._loop.simulation.ports[self.endpoint] = self

    def close(self) -> None:
        """Release the endpoint."""
        if self._loop.simulation.ports.get(self.endpoint) is self:
            del self._loop.simulation.ports[self.endpoint]

    def send(self, datagram: bytes, endpoint: Endpoint) -> bool:
        """Send a datagram; always True, also for one that is lost."""
        simulation = self._loop.simulation
        source = self.endpoint
        if not simulation.is_connected(source[0], endpoint[0]) or simulation.should_drop(
            datagram, endpoint
        ):
            return True  # the sender can't detect the loss

        def arrive() -> None:
            port = simulation.ports.get(endpoint)
            if port is not None and simulation.is_connected(source[0], endpoint[0]):
                port._loop.deliver(lambda: port._on_datagram(datagram, source))

        simulation.schedule(simulation.latency_s(source[0], endpoint[0]), arrive)
        return True


class SimulatedStream(ByteStream):
    """One end of a simulated TCP connection."""

    def __init__(self, *, loop: SimulatedLoop, remote_address: str) -> None:
        super().__init__()
        self.loop = loop
        self.remote_address = remote_address
        self.peer: SimulatedStream | None = None
        self.is_open = True
        self._unsent: list[bytes] = []

    def send(self, data: bytes) -> None:
        """Send bytes; a partition at their arrival drops them and doesn't end the stream."""
        if not self.is_open:
            return
        if self.peer is None:
            self._unsent.append(data)
            return
        peer = self.peer
        simulation = self.loop.simulation
        simulation.stream_bytes_by_address[self.loop.address] += len(data)
        addresses = (self.loop.address, self.remote_address)
        size = CHUNK_BYTES if any(map(simulation.is_limited, addresses)) else max(len(data), 1)
        for start in range(0, len(data), size):
            self._carry_chunk(peer, data[start : start + size])

    def close(self) -> None:
        """Close this end; the other end receives the end of the stream unless it is unreachable."""
        if not self.is_open:
            return
        self.is_open = False
        if self.peer is not None:
            peer = self.peer
            self._carry(lambda: peer.end(StreamEnd(reason="closed by peer")))

    def receive(self, data: bytes) -> None:
        """Pass bytes that have arrived to ``on_data`` while this end is open."""
        if self.is_open:
            self.on_data(data)

    def end(self, end: StreamEnd) -> None:
        """Report the end of the connection to ``on_end``, once."""
        if self.is_open:
            self.is_open = False
            self.on_end(end)

    def established(self, peer: SimulatedStream) -> None:
        """Connect to ``peer`` and send the bytes that were queued until now."""
        if not self.is_open:
            return
        self.peer = peer
        self.on_connected()
        for data in self._unsent:
            self.send(data)
        self._unsent.clear()

    def _carry_chunk(self, peer: SimulatedStream, chunk: bytes) -> None:
        self._carry(lambda: peer.receive(chunk), size=len(chunk))

    def _carry(self, event: Callable[[], None], *, size: int = 0) -> None:
        simulation = self.loop.simulation
        peer = self.peer
        assert peer is not None

        def arrive() -> None:
            if simulation.is_connected(self.loop.address, peer.loop.address):
                peer.loop.deliver(event)

        simulation.carry(self.loop.address, peer.loop.address, stream=self, size=size, event=arrive)


class SimulatedListener(StreamListener):
    """A listening TCP socket of a simulated process."""

    def __init__(
        self,
        *,
        loop: SimulatedLoop,
        endpoint: Endpoint,
        on_connection: Callable[[ByteStream, Endpoint], None],
    ) -> None:
        self.loop = loop
        self.endpoint = endpoint
        self.on_connection = on_connection

    def start(self) -> None:
        """Listen."""
        self.loop.simulation.listeners[self.endpoint] = self

    def close(self) -> None:
        """Stop listening."""
        if self.loop.simulation.listeners.get(self.endpoint) is self:
            del self.loop.simulation.listeners[self.endpoint]


class SimulatedNetwork(Network):
    """The network interface of one simulated process."""

    def __init__(self, *, loop: SimulatedLoop) -> None:
        super().__init__()
        self._loop = loop
        self._streams: list[SimulatedStream] = []

    def datagram_port(
        self, endpoint: Endpoint, on_datagram: Callable[[bytes, Endpoint], None]
    ) -> SimulatedDatagramPort:
        """Return an unbound UDP socket."""
        return SimulatedDatagramPort(loop=self._loop, endpoint=endpoint, on_datagram=on_datagram)

    def listener(
        self, endpoint: Endpoint, on_connection: Callable[[ByteStream, Endpoint], None]
    ) -> SimulatedListener:
        """Return a listener that isn't started."""
        return SimulatedListener(loop=self._loop, endpoint=endpoint, on_connection=on_connection)

    def connect(self, endpoint: Endpoint) -> ByteStream:
        """Return a stream that connects after one round trip.

        Connecting to an unreachable address has no result, not even an error.
        """
        loop = self._loop
        simulation = loop.simulation
        stream = SimulatedStream(loop=loop, remote_address=endpoint[0])

        def arrive() -> None:
            if not simulation.is_connected(loop.address, endpoint[0]) or not stream.is_open:
                return
            listener = simulation.listeners.get(endpoint)
            if listener is None or not listener.loop.is_alive:
                end = StreamEnd(reason="connect failed: ECONNREFUSED", is_refused=True)
                loop.deliver(lambda: stream.end(end))
                return
            accepted = SimulatedStream(loop=listener.loop, remote_address=loop.address)
            accepted.peer = stream
            listener.loop.deliver(lambda: listener.on_connection(accepted, (loop.address, 1)))
            loop.deliver(lambda: stream.established(accepted))

        simulation.schedule(2 * simulation.latency_s(loop.address, endpoint[0]), arrive)
        return stream
