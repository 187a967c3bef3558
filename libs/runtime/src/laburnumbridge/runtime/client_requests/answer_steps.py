"""The parts of an answer on their way from an upstream to a client."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.core import Refusal
    from laburnumbridge.requests import StoredAnswer

# Chunks of up to 256 KiB that may wait for a slow client.
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
    """The answer is whole."""


@dataclass(frozen=True, slots=True)
class CutStep:
    """The answer ends before it is whole."""


@dataclass(frozen=True, slots=True)
class ReplayStep:
    """The stored answer of an earlier run."""

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
    """A status that proves nothing about a run."""

    status: int


AnswerStep = (
    StartStep | BodyStep | FinishStep | CutStep | ReplayStep | RefuseStep | UnknownStep | StatusStep
)


class AnswerSteps:
    """A queue of steps in which only the chunks of the body wait for room."""

    def __init__(self) -> None:
        self._steps: asyncio.Queue[AnswerStep] = asyncio.Queue()
        self._room = asyncio.Semaphore(CHUNKS_IN_FLIGHT)
        self._reader_gone = False

    def put(self, step: AnswerStep) -> None:
        """Add a step at once."""
        self._steps.put_nowait(step)

    async def put_chunk(self, chunk: bytes) -> None:
        """Add a part of the body; waits while the reader is behind."""
        if self._reader_gone:
            return
        await self._room.acquire()
        self._steps.put_nowait(BodyStep(chunk))

    async def get(self) -> AnswerStep:
        """Return the next step."""
        step = await self._steps.get()
        if isinstance(step, BodyStep):
            self._room.release()
        return step

    def abandon(self) -> None:
        """Let the writer go on without a reader."""
        self._reader_gone = True
        self._room.release()
