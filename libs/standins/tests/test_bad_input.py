"""Malformed and forged datagrams at every socket, with processes on loopback."""

from __future__ import annotations

import asyncio
import random
import socket
from typing import TYPE_CHECKING

import msgspec
from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection

from laburnumbridge.core import Incarnation
from laburnumbridge.core import ProcessId
from laburnumbridge.core import ServiceNumber
from laburnumbridge.runtime.control.control_link import Envelope
from laburnumbridge.standins.client_fleet import ClientFleet
from laburnumbridge.standins.harness import CONTROL_KEY
from laburnumbridge.standins.harness import CONTROL_PORT
from laburnumbridge.standins.harness import DATAGRAM_PORT
from laburnumbridge.standins.harness import LINK_KEY
from laburnumbridge.standins.harness import SERVICE_PORT
from laburnumbridge.standins.harness import Harness
from laburnumbridge.standins.harness import ServicePlan
from laburnumbridge.wire import Encapsulation
from laburnumbridge.wire import Endpoint
from laburnumbridge.wire import FrameKind
from laburnumbridge.wire import SealedCodec
from laburnumbridge.wire import SealingKey

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

SERVICE = "workshop-desk"
SEED = 20_261_204
DATAGRAMS_PER_PORT = 1_000
MAX_DATAGRAM_BYTES = 9_000
# With the pause after each batch, datagrams don't overflow the sockets' buffers.
BATCH_SIZE = 50
BATCH_PAUSE_S = 0.02
FLOWS = 20
# Longer than the idle timeout of a flow, so that a flow that was lost without notice counts as
# broken.
OBSERVATION_S = 10.0
# Only ends a test that hangs.
HANG_TIMEOUT_S = 30.0


class BadDatagrams:
    """Draws malformed and forged datagrams from a seed.

    The salts of sealed datagrams and the keys of the QUIC handshake come from their libraries and
    differ between runs; the sequence of faults is the same in each run.
    """

    def __init__(self, *, seed: int) -> None:
        self._random = random.Random(seed)
        self._link = Encapsulation(link_key=bytes.fromhex(LINK_KEY))
        self._forged_link = Encapsulation(link_key=bytes(16))
        self._initial = self._first_datagram()

    def draw(self, count: int) -> Iterator[bytes]:
        """Yield datagrams of all kinds in turn."""
        kinds = (
            self._random_bytes,
            self._truncated_initial,
            self._changed_initial,
            self._forged_token,
            self._frame,
            self._sealed,
        )
        for index in range(count):
            yield kinds[index % len(kinds)]()

    def _bytes(self, low: int, high: int) -> bytes:
        return self._random.randbytes(self._random.randint(low, high))

    def _random_bytes(self) -> bytes:
        return self._bytes(0, MAX_DATAGRAM_BYTES)

    def _truncated_initial(self) -> bytes:
        return self._initial[: self._random.randint(0, len(self._initial))]

    def _changed_initial(self) -> bytes:
        changed = bytearray(self._initial)
        for _ in range(self._random.randint(1, 8)):
            # Faults of the header matter more than those of the encrypted rest.
            changed[self._random.randrange(self._random.choice((40, len(changed))))] ^= 1 << (
                self._random.randrange(8)
            )
        return bytes(changed)

    def _forged_token(self) -> bytes:
        return bytes([0x40 | self._random.randrange(64), 1]) + self._bytes(0, 1_300)

    def _frame(self) -> bytes:
        """Return a frame with a valid or invalid tag around bad content, often truncated."""
        link = self._random.choice((self._link, self._forged_link))
        kind = self._random.choice(list(FrameKind))
        balancer = Endpoint("127.236.99.2", 9) if kind is FrameKind.HANDOFF else None
        service = ServiceNumber(self._random.choice((1, 1, 2, 65_535)))
        header = link.header(kind, service, Endpoint("127.236.99.1", 9), balancer)
        content = self._random.choice((self._forged_token, self._changed_initial))()
        frame = header + content
        return frame[: self._random.choice((len(frame), self._random.randint(0, len(frame))))]

    def _sealed(self) -> bytes:
        """Return a control datagram under a valid or invalid key, with a malformed body."""
        secret = self._random.choice((bytes.fromhex(CONTROL_KEY), bytes(32)))
        codec: SealedCodec[object] = SealedCodec(
            sender=ProcessId(self._random.choice((f"{SERVICE}-1", "balancer-1", "nobody"))),
            incarnation=Incarnation(self._random.randrange(1 << 32)),
            keys=[SealingKey(1, secret, current=True)],
            message_type=object,
        )
        kind = self._random.randrange(60)
        content = self._random.choice((b"\x90", b"\x80", b"\x91\xc0", b"\xff", self._bytes(1, 60)))
        body = self._random.choice((b"", [1, 2], Envelope(kind, msgspec.Raw(content))))
        receiver = self._random.choice((f"{SERVICE}-2", "balancer-1"))
        sealed = codec.seal(body, receiver=ProcessId(receiver))
        return sealed[: self._random.choice((len(sealed), self._random.randint(0, len(sealed))))]

    @staticmethod
    def _first_datagram() -> bytes:
        configuration = QuicConfiguration(is_client=True, alpn_protocols=H3_ALPN)
        quic = QuicConnection(configuration=configuration)
        quic.connect(("127.236.99.1", 9), now=0.0)
        return quic.datagrams_to_send(now=0.0)[0][0]


class TestBadInput:
    async def test_processes_survive_and_keep_serving(self, tmp_path: Path) -> None:
        # Guards against an exception that ends a process or its read loop, and against bad input
        # that reaches an upstream, breaks a flow or changes the state of a process.
        harness = Harness(
            folder=tmp_path,
            services=(ServicePlan(name=SERVICE, upstreams=2),),
            balancers=1,
        )
        fleet = ClientFleet(harness=harness, service=SERVICE, flows=FLOWS)
        later_fleet = ClientFleet(harness=harness, service=SERVICE, flows=FLOWS)
        try:
            await harness.start()
            async with asyncio.timeout(HANG_TIMEOUT_S):
                await fleet.start()
            await self._send_all(harness)
            await asyncio.sleep(OBSERVATION_S)
            async with asyncio.timeout(HANG_TIMEOUT_S):
                await later_fleet.start()
            self._assert_running(harness)
            runs = [await harness.upstream_runs(f"{SERVICE}-{n}") for n in (1, 2)]
        finally:
            await asyncio.gather(fleet.close(), later_fleet.close())
            await harness.close()
        assert (fleet.outcomes.broken, later_fleet.outcomes.broken) == (0, 0)
        assert runs == [{}, {}]
        assert self._tracebacks(tmp_path) == []

    async def _send_all(self, harness: Harness) -> None:
        balancer = harness.machines_by_name["balancer-1"].host
        agent = harness.machines_by_name[f"{SERVICE}-2"].host
        targets = [(balancer, SERVICE_PORT), (balancer, DATAGRAM_PORT), (balancer, CONTROL_PORT)]
        targets += [(agent, DATAGRAM_PORT), (agent, CONTROL_PORT)]
        bad = BadDatagrams(seed=SEED)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.bind(("127.236.99.1", 0))
            for target in targets:
                for index, datagram in enumerate(bad.draw(DATAGRAMS_PER_PORT)):
                    sender.sendto(datagram, target)
                    if index % BATCH_SIZE == 0:
                        await asyncio.sleep(BATCH_PAUSE_S)

    @staticmethod
    def _assert_running(harness: Harness) -> None:
        for machine in harness.machines_by_name.values():
            assert [process.poll() for process in machine.processes] == [None] * len(
                machine.processes
            ), machine.name

    @staticmethod
    def _tracebacks(folder: Path) -> list[str]:
        logs = (log.read_text() for log in folder.glob("*.log"))
        return [text[text.index("Traceback") :][:2_000] for text in logs if "Traceback" in text]
