from __future__ import annotations

import pytest

from laburnumbridge.telemetry import Decision
from laburnumbridge.telemetry import DecisionRecord
from laburnumbridge.telemetry import DecisionsRejectedError
from laburnumbridge.telemetry import Event
from laburnumbridge.telemetry import ExplainAnswer
from laburnumbridge.telemetry import InvalidSubjectError
from laburnumbridge.telemetry import SubjectKind
from laburnumbridge.telemetry import decode_answer
from laburnumbridge.telemetry import encode_answer
from laburnumbridge.telemetry import format_subject
from laburnumbridge.telemetry import parse_subject


class TestExplainAnswer:
    def test_encoding_and_decoding_preserves_decisions(self) -> None:
        decision = Decision(
            at=5.5,
            event=Event.REQUEST_REFUSED,
            cause="queue_full",
            subjects={SubjectKind.PLAN: "public"},
            important=True,
        )
        answer = ExplainAnswer(process="agent-1", decisions=(DecisionRecord.of(decision),))
        assert decode_answer(encode_answer(answer), process="agent-1") == answer
        assert answer.decisions[0].number == 501

    @pytest.mark.parametrize("payload", [b"", b"[]", b'{"process": 1}', b"[" * 100_000])
    def test_malformed_input_is_a_typed_error(self, payload: bytes) -> None:
        with pytest.raises(DecisionsRejectedError, match="agent-7"):
            decode_answer(payload, process="agent-7")


class TestSubject:
    def test_an_identifier_may_hold_the_separator(self) -> None:
        text = format_subject(SubjectKind.UPSTREAM, "[2001:db8::1]:80")
        assert parse_subject(text) == (SubjectKind.UPSTREAM, "[2001:db8::1]:80")

    @pytest.mark.parametrize("text", ["", "request", "request:", "guest:x", ":x"])
    def test_anything_else_is_a_typed_error(self, text: str) -> None:
        with pytest.raises(InvalidSubjectError):
            parse_subject(text)
