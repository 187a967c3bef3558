"""Encoding of recorded decisions for transfer between processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from laburnumbridge.telemetry.decision import SubjectKind
from laburnumbridge.telemetry.errors import DecisionsRejectedError
from laburnumbridge.telemetry.errors import InvalidSubjectError

if TYPE_CHECKING:
    from laburnumbridge.telemetry.decision import Decision


class DecisionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Decision with its event by name, so that events of other releases can be read."""

    at: float
    event: str
    number: int
    level: str
    cause: str
    subjects: dict[str, str] = {}
    important: bool = False

    @classmethod
    def of(cls, decision: Decision) -> DecisionRecord:
        """Return the record of a decision."""
        return cls(
            at=decision.at,
            event=decision.event.name.lower(),
            number=decision.event.number,
            level=decision.event.level,
            cause=decision.cause,
            subjects={kind.value: name for kind, name in decision.subjects.items()},
            important=decision.important,
        )


class ExplainAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Decisions that a process keeps about a subject, oldest first.

    ``omitted`` is the number of older decisions that are left out.
    """

    process: str
    decisions: tuple[DecisionRecord, ...] = ()
    omitted: int = 0


_DECODER = msgspec.json.Decoder(ExplainAnswer)


def encode_answer(answer: ExplainAnswer) -> bytes:
    """Return the answer as JSON."""
    return msgspec.json.encode(answer)


def decode_answer(data: bytes, *, process: str) -> ExplainAnswer:
    """Decode the answer of ``process``; raises DecisionsRejectedError."""
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise DecisionsRejectedError(process=process, reason=str(error)) from error


def format_subject(kind: SubjectKind, identifier: str) -> str:
    """Return a subject as ``kind:identifier``."""
    return f"{kind.value}:{identifier}"


def parse_subject(text: str) -> tuple[SubjectKind, str]:
    """Return the parts of ``kind:identifier``; raises InvalidSubjectError."""
    kind, separator, identifier = text.partition(":")
    kinds = tuple(member.value for member in SubjectKind)
    if not separator or not identifier or kind not in kinds:
        raise InvalidSubjectError(subject=text, kinds=kinds)
    return SubjectKind(kind), identifier
