"""Reads the status, decisions or metrics of many processes concurrently."""

from __future__ import annotations

import asyncio
from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

import grpc
import grpc.aio

from laburnumbridge.core import InvalidInputError
from laburnumbridge.telemetry import decode_answer
from laburnumbridge.telemetry import decode_snapshot
from laburnumbridge.telemetry import format_subject
from laburnumbridge.wire import control_pb2
from laburnumbridge.wire import control_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Sequence

    from laburnumbridge.telemetry import ExplainAnswer
    from laburnumbridge.telemetry import ProcessSnapshot
    from laburnumbridge.telemetry import SubjectKind
    from laburnumbridge.wire import ChannelPool
    from laburnumbridge.wire import Endpoint

T = TypeVar("T")
T_co = TypeVar("T_co", covariant=True)

TIMEOUT_S = 3.0
CONCURRENCY = 64
# The pool keeps replaced channels until its next reload, so it is reloaded after this many calls.
CALLS_BETWEEN_RELOADS = 256


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetProcess:
    """Process of the list of VMs, with its control address."""

    name: str
    endpoint: Endpoint


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply(Generic[T_co]):
    """Response of a process, or the reason why there is none; exactly one of them is set."""

    process: FleetProcess
    content: T_co | None = None
    failure: str | None = None


class OtherProcessAnsweredError(InvalidInputError):
    """The address, from a lagging list of VMs, now belongs to another process."""

    def __init__(self, *, expected: str, actual: str) -> None:
        super().__init__(f"{actual!r} answers at the address of {expected!r}")
        self.expected = expected
        self.actual = actual


class FleetReader(ABC):
    """Reads from processes; yields one reply for each, in order of arrival."""

    @abstractmethod
    def status(
        self, processes: Sequence[FleetProcess]
    ) -> AsyncGenerator[Reply[ProcessSnapshot], None]:
        """Read snapshots without series."""

    @abstractmethod
    def metrics(
        self, processes: Sequence[FleetProcess]
    ) -> AsyncGenerator[Reply[ProcessSnapshot], None]:
        """Read snapshots with series."""

    @abstractmethod
    def explain(
        self, processes: Sequence[FleetProcess], *, kind: SubjectKind, identifier: str
    ) -> AsyncGenerator[Reply[ExplainAnswer], None]:
        """Read the decisions about a subject."""

    @abstractmethod
    async def close(self) -> None:
        """Release all connections."""


class GrpcFleetReader(FleetReader):
    """Reads over gRPC with mutual TLS.

    ``timeout_s`` limits one call including its connection, ``concurrency`` the number of open
    calls. The reader owns ``pool`` and closes it.
    """

    def __init__(
        self,
        *,
        pool: ChannelPool,
        timeout_s: float = TIMEOUT_S,
        concurrency: int = CONCURRENCY,
    ) -> None:
        self._pool = pool
        self._timeout_s = timeout_s
        self._concurrency = concurrency
        self._calls = 0

    def status(
        self, processes: Sequence[FleetProcess]
    ) -> AsyncGenerator[Reply[ProcessSnapshot], None]:
        """Call Status at each process."""

        async def call(process: FleetProcess) -> ProcessSnapshot:
            answer = await self._stub(process).Status(
                control_pb2.StatusRequest(), timeout=self._timeout_s
            )
            return _check_name(process, decode_snapshot(answer.json, process=process.name))

        return self._call_all(processes, call)

    def metrics(
        self, processes: Sequence[FleetProcess]
    ) -> AsyncGenerator[Reply[ProcessSnapshot], None]:
        """Call Metrics at each process."""

        async def call(process: FleetProcess) -> ProcessSnapshot:
            answer = await self._stub(process).Metrics(
                control_pb2.MetricsRequest(), timeout=self._timeout_s
            )
            return _check_name(process, decode_snapshot(answer.json, process=process.name))

        return self._call_all(processes, call)

    def explain(
        self, processes: Sequence[FleetProcess], *, kind: SubjectKind, identifier: str
    ) -> AsyncGenerator[Reply[ExplainAnswer], None]:
        """Call Explain at each process."""
        request = control_pb2.ExplainRequest(subject=format_subject(kind, identifier))

        async def call(process: FleetProcess) -> ExplainAnswer:
            answer = await self._stub(process).Explain(request, timeout=self._timeout_s)
            found = decode_answer(answer.json, process=process.name)
            if found.process != process.name:
                raise OtherProcessAnsweredError(expected=process.name, actual=found.process)
            return found

        return self._call_all(processes, call)

    async def close(self) -> None:
        """Close the pool of channels."""
        await self._pool.close()

    def _stub(self, process: FleetProcess) -> control_pb2_grpc.ControlStub:
        channel = self._pool.channel(process.endpoint)
        # The generated stub has no annotations.
        return control_pb2_grpc.ControlStub(channel)  # type: ignore[no-untyped-call]

    async def _call_all(
        self,
        processes: Sequence[FleetProcess],
        call: Callable[[FleetProcess], Awaitable[T]],
    ) -> AsyncGenerator[Reply[T], None]:
        # A bounded queue keeps workers from running ahead of a slow caller.
        replies: asyncio.Queue[Reply[T]] = asyncio.Queue(maxsize=self._concurrency)
        remaining = iter(processes)
        count = min(self._concurrency, len(processes))
        workers = [asyncio.create_task(self._work(remaining, call, replies)) for _ in range(count)]
        try:
            for _ in processes:
                yield await replies.get()
        finally:
            for worker in workers:
                worker.cancel()
            await asyncio.gather(*workers, return_exceptions=True)

    async def _work(
        self,
        remaining: Iterator[FleetProcess],
        call: Callable[[FleetProcess], Awaitable[T]],
        replies: asyncio.Queue[Reply[T]],
    ) -> None:
        for process in remaining:
            await replies.put(await self._call_one(process, call))
            self._calls += 1
            if self._calls % CALLS_BETWEEN_RELOADS == 0:
                await self._pool.reload()

    async def _call_one(
        self, process: FleetProcess, call: Callable[[FleetProcess], Awaitable[T]]
    ) -> Reply[T]:
        try:
            content = await call(process)
        except grpc.aio.AioRpcError as error:
            return Reply(process=process, failure=self._describe(error))
        except InvalidInputError as error:
            return Reply(process=process, failure=str(error))
        return Reply(process=process, content=content)

    def _describe(self, error: grpc.aio.AioRpcError) -> str:
        if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
            return f"no answer within {self._timeout_s:g} s"
        # gRPC writes a general message before the cause.
        cause = (error.details() or "").rpartition("last error: ")[2]
        details = " ".join(cause.split())
        return f"{error.code().name.lower()}: {details}" if details else error.code().name.lower()


def _check_name(process: FleetProcess, snapshot: ProcessSnapshot) -> ProcessSnapshot:
    # Without this check, a process reached at two addresses would be counted twice.
    if snapshot.facts.name != process.name:
        raise OtherProcessAnsweredError(expected=process.name, actual=snapshot.facts.name)
    return snapshot
