"""Queue of the parts of a response between an upstream and a client."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.core import Refusal
    from laburnumbridge.requests import StoredAnswer

# Chunks, of up to 256 KiB each, that may be queued for a slow client.
CHUNKS_IN_FLIGHT = 8


@dataclass(frozen=True, slots=True)
class StartStep:
    """Status and headers."""

    status: int
    headers: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class BodyStep:
    """A part of the body."""

    chunk: bytes


@dataclass(frozen=True, slots=True)
class FinishStep:
    """The response is complete."""


@dataclass(frozen=True, slots=True)
class CutStep:
    """The response ends before it is complete."""


@dataclass(frozen=True, slots=True)
class ReplayStep:
    """The stored response of an earlier run."""

    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class RefuseStep:
    """The request was not run."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class UnknownStep:
    """The request may have run."""


@dataclass(frozen=True, slots=True)
class StatusStep:
    """A status that doesn't say whether the request ran."""

    status: int


AnswerStep = (
    StartStep | BodyStep | FinishStep | CutStep | ReplayStep | RefuseStep | UnknownStep | StatusStep
)


class AnswerSteps:
    """Queue of steps in which only chunks of the body count towards the limit."""

    def __init__(self) -> None:
        self._steps: asyncio.Queue[AnswerStep] = asyncio.Queue()
        self._free_chunks = asyncio.Semaphore(CHUNKS_IN_FLIGHT)
        self._is_abandoned = False

    def put(self, step: AnswerStep) -> None:
        """Add a step without waiting."""
        self._steps.put_nowait(step)

    async def put_chunk(self, chunk: bytes) -> None:
        """Add a part of the body; wait while CHUNKS_IN_FLIGHT are queued.

        Drops the chunk after ``abandon``.
        """
        if self._is_abandoned:
            return
        await self._free_chunks.acquire()
        self._steps.put_nowait(BodyStep(chunk))

    async def get(self) -> AnswerStep:
        """Wait for the next step and return it."""
        step = await self._steps.get()
        if isinstance(step, BodyStep):
            self._free_chunks.release()
        return step

    def abandon(self) -> None:
        """Let the writer continue without a reader; later chunks are dropped."""
        self._is_abandoned = True
        self._free_chunks.release()
