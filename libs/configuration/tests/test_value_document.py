from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from laburnumbridge.configuration import ValueDelta
from laburnumbridge.configuration import ValueDocument
from laburnumbridge.configuration.errors import MalformedDeltaError
from laburnumbridge.configuration.errors import MalformedValueError

ENTRIES = st.lists(
    st.fixed_dictionaries({"name": st.sampled_from("abcdefgh"), "plan": st.integers(0, 3)}),
    max_size=8,
    unique_by=lambda entry: entry["name"],
)
FIELD = ENTRIES | st.integers() | st.lists(st.integers(), max_size=2)
VALUES = st.dictionaries(st.sampled_from(["guests", "plans", "other"]), FIELD)


def parse(value: object) -> ValueDocument:
    return ValueDocument.parse(json.dumps(value).encode())


class TestValueDocument:
    @given(old=VALUES, new=VALUES)
    @settings(derandomize=True, deadline=None)
    def test_delta_turns_old_into_new_and_is_idempotent(self, old: object, new: object) -> None:
        # Guards against entries that a patch loses, moves or duplicates.
        delta = ValueDelta.decode(parse(old).delta_to(parse(new)).encode())
        patched = parse(old).apply(delta)
        assert patched.encode() == parse(new).encode()
        assert patched.apply(delta).encode() == parse(new).encode()

    def test_delta_of_one_entry_is_small(self) -> None:
        client_accounts = [{"name": f"g{n}", "plan": "a"} for n in range(2_000)]
        old = parse({"guests": client_accounts})
        client_accounts[7] = {"name": "g7", "plan": "b"}
        assert len(old.delta_to(parse({"guests": client_accounts})).encode()) < 100

    def test_key_order_and_white_space_do_not_change_the_text(self) -> None:
        spaced = b'{ "b": 1,\n "a": [{"plan": 1, "name": "x"}] }'
        text = ValueDocument.parse(spaced).encode()
        assert text == b'{"a":[{"name":"x","plan":1}],"b":1}'

    @pytest.mark.parametrize("payload", [b"", b"[]", b"{", b"\xff", b"[" * 100_000])
    def test_malformed_payload_raises_a_typed_error(self, payload: bytes) -> None:
        with pytest.raises(MalformedValueError):
            ValueDocument.parse(payload)

    @given(data=st.binary(max_size=60))
    @settings(derandomize=True, deadline=None)
    def test_random_delta_applies_or_raises_a_typed_error(self, data: bytes) -> None:
        try:
            parse({"guests": []}).apply(ValueDelta.decode(data)).encode()
        except MalformedDeltaError:
            return
