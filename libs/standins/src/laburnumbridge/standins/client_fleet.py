"""Many clients with long flows and requests, and counts of what happens to them."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from laburnumbridge.standins.client import connect
from laburnumbridge.standins.errors import FlowBrokenError
from laburnumbridge.standins.errors import TruncatedAnswerError
from laburnumbridge.standins.harness import SERVER_NAME

if TYPE_CHECKING:
    from laburnumbridge.standins.client import QuicClientFlow
    from laburnumbridge.standins.harness import Harness

READING_INTERVAL_S = 1.0
RECONNECT_DELAY_S = 0.05
MAX_CONCURRENT_HANDSHAKES = 20


@dataclass(slots=True)
class ClientOutcomes:
    """Counts of the flows, readings and requests of a fleet's clients.

    ``broken_at`` holds the event loop's time of each break, in seconds.
    """

    opened: int = 0
    broken: int = 0
    reconnected: int = 0
    moved: int = 0
    wrong_service: int = 0
    readings_sent: int = 0
    readings_answered: int = 0
    requests_run: int = 0
    requests_cut: int = 0
    requests_unknown: int = 0
    refused_by_reason: Counter[str] = field(default_factory=Counter)
    break_reasons: Counter[str] = field(default_factory=Counter)
    broken_by_upstream: Counter[str] = field(default_factory=Counter)
    flows_by_upstream: Counter[str] = field(default_factory=Counter)
    broken_at: list[float] = field(default_factory=list)

    @property
    def imbalance(self) -> float:
        """Maximum divided by mean of the open flows, over upstreams that have any, or 0."""
        counts = [count for count in self.flows_by_upstream.values() if count]
        return max(counts) * len(counts) / sum(counts) if counts else 0.0


class ClientFleet:
    """Opens ``flows`` long flows to a service; each sends a reading every second.

    A client whose flow breaks opens a new one. One that receives a GOAWAY opens the new flow
    before it closes the old one, which doesn't count as broken, unless ``follows_goaway`` is False.
    """

    def __init__(
        self,
        *,
        harness: Harness,
        service: str,
        flows: int,
        requests_per_s: float = 0.0,
        follows_goaway: bool = True,
    ) -> None:
        self._harness = harness
        self._service = service
        self._flows = flows
        self._requests_per_s = requests_per_s
        self._follows_goaway = follows_goaway
        self._opening = asyncio.Semaphore(MAX_CONCURRENT_HANDSHAKES)
        self._tasks: list[asyncio.Task[None]] = []
        self._ready = 0
        self._all_ready = asyncio.Event()
        self.outcomes = ClientOutcomes()

    async def start(self) -> None:
        """Open all flows and wait for the first answer on each."""
        self._tasks = [asyncio.create_task(self._keep_flow()) for _ in range(self._flows)]
        if self._requests_per_s:
            self._tasks.append(asyncio.create_task(self._send_requests()))
        if self._flows:
            await self._all_ready.wait()

    async def close(self) -> None:
        """End all flows."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _connect(self) -> QuicClientFlow:
        while True:
            try:
                async with self._opening:
                    return await connect(
                        self._harness.service_address(self._service),
                        authority=self._harness.root_certificate,
                        server_name=SERVER_NAME,
                    )
            except FlowBrokenError:
                await asyncio.sleep(RECONNECT_DELAY_S)

    async def _keep_flow(self) -> None:
        first = True
        flow: QuicClientFlow | None = None
        while True:
            flow = flow or await self._connect()
            self.outcomes.opened += 1
            self.outcomes.reconnected += not first
            flow = await self._stream(flow, is_first=first)
            first = False

    async def _stream(self, flow: QuicClientFlow, *, is_first: bool) -> QuicClientFlow | None:
        """Send readings until the flow breaks (None) or is replaced (the new flow)."""
        upstream = ""
        try:
            stream_id, answer = flow.open_request("POST", "/readings", body=None)
            sequence = 0
            while True:
                sequence += 1
                flow.send(stream_id, f"{sequence}\n".encode())
                self.outcomes.readings_sent += 1
                line = await answer.body.get()
                if isinstance(line, Exception):
                    raise line
                if line is None:
                    raise TruncatedAnswerError(error_code=0)
                name = line.decode().split()[0]
                self.outcomes.readings_answered += 1
                self.outcomes.wrong_service += not name.startswith(self._service)
                if not upstream:
                    upstream = name
                    self.outcomes.flows_by_upstream[upstream] += 1
                    self._count_ready(is_first=is_first)
                if flow.goaway_received and self._follows_goaway:
                    replacement = await self._connect()
                    self.outcomes.moved += 1
                    flow.send(stream_id, b"", end=True)
                    flow.disconnect()
                    return replacement
                await asyncio.sleep(READING_INTERVAL_S)
                if flow.broken is not None:
                    raise FlowBrokenError(reason=flow.broken)
        except (FlowBrokenError, TruncatedAnswerError) as error:
            self.outcomes.broken += 1
            self.outcomes.broken_by_upstream[upstream] += 1
            self.outcomes.break_reasons[str(error)] += 1
            self.outcomes.broken_at.append(asyncio.get_running_loop().time())
            if flow.broken is None:
                flow.disconnect()
            return None
        finally:
            if upstream:
                self.outcomes.flows_by_upstream[upstream] -= 1

    def _count_ready(self, *, is_first: bool) -> None:
        self._ready += is_first
        if self._ready == self._flows:
            self._all_ready.set()

    async def _send_requests(self) -> None:
        """Send requests at the given rate, over one flow at a time."""
        flow: QuicClientFlow | None = None
        number = 0
        while True:
            if flow is None or flow.broken is not None or flow.goaway_received:
                flow = await self._connect()
            number += 1
            self._tasks.append(asyncio.create_task(self._request(flow, number)))
            await asyncio.sleep(1 / self._requests_per_s)

    async def _request(self, flow: QuicClientFlow, number: int) -> None:
        with contextlib.suppress(FlowBrokenError):
            try:
                path = f"/requests/{self._service}-{number}"
                head, _ = await flow.request("POST", path, body=b"{}")
            except TruncatedAnswerError:
                self.outcomes.requests_cut += 1
                return
            if "laburnumbridge-refusal" in head:
                reason = head["laburnumbridge-refusal"].split(";")[0].removeprefix("reason=")
                self.outcomes.refused_by_reason[reason] += 1
            elif head.get("laburnumbridge-outcome") == "unknown":
                self.outcomes.requests_unknown += 1
            else:
                self.outcomes.requests_run += 1
                self.outcomes.wrong_service += head.get("service") != self._service
            return
        self.outcomes.requests_unknown += 1
