from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from laburnumbridge.core import AgentNumber
from laburnumbridge.core import Incarnation
from laburnumbridge.core import ServiceNumber
from laburnumbridge.routing import CONNECTION_ID_BYTES
from laburnumbridge.routing import RoutingToken
from laburnumbridge.routing import TokenCodec
from laburnumbridge.routing.errors import InvalidRoutingKeyError
from laburnumbridge.routing.errors import TokenFieldError

OLD = bytes(range(16))
NEW = bytes(range(16, 32))


def make_token(
    agent: int = 5, incarnation: int = 9, service: int = 3, nonce: int = 1
) -> RoutingToken:
    return RoutingToken(
        agent_number=AgentNumber(agent),
        incarnation=Incarnation(incarnation),
        service_number=ServiceNumber(service),
        nonce=nonce,
    )


class TestTokenCodec:
    @given(
        agent=st.integers(0, 2**24 - 1),
        incarnation=st.integers(0, 2**32 - 1),
        service=st.integers(0, 2**16 - 1),
        nonce=st.integers(0, 2**24 - 1),
    )
    @settings(derandomize=True, deadline=None)
    def test_decode_returns_what_was_encoded(
        self, agent: int, incarnation: int, service: int, nonce: int
    ) -> None:
        codec = TokenCodec(keys_by_number={4: OLD}, current_number=4)
        token = make_token(agent, incarnation, service, nonce)
        connection_id = codec.encode(token)
        assert len(connection_id) == CONNECTION_ID_BYTES
        assert codec.decode(connection_id) == token

    def test_an_id_of_the_previous_key_decodes_after_a_rotation(self) -> None:
        # Guards against a key rotation that breaks open flows.
        before = TokenCodec(keys_by_number={4: OLD}, current_number=4)
        after = TokenCodec(keys_by_number={4: OLD, 5: NEW}, current_number=5)
        assert after.decode(before.encode(make_token())) == make_token()
        assert after.encode(make_token())[0] == 5

    @given(st.binary(max_size=24))
    @settings(derandomize=True, deadline=None)
    def test_a_forged_id_has_no_token(self, connection_id: bytes) -> None:
        codec = TokenCodec(keys_by_number={4: OLD}, current_number=4)
        assert codec.decode(connection_id) is None

    def test_reset_token_depends_on_id_and_key(self) -> None:
        old = TokenCodec(keys_by_number={4: OLD}, current_number=4)
        new = TokenCodec(keys_by_number={4: NEW}, current_number=4)
        first = old.encode(make_token(nonce=1))
        second = old.encode(make_token(nonce=2))
        assert len({old.reset_token(first), old.reset_token(second), new.reset_token(first)}) == 3

    def test_invalid_keys_and_fields_raise_typed_errors(self) -> None:
        with pytest.raises(InvalidRoutingKeyError):
            TokenCodec(keys_by_number={4: b"short"}, current_number=4)
        with pytest.raises(InvalidRoutingKeyError):
            TokenCodec(keys_by_number={4: OLD}, current_number=5)
        with pytest.raises(InvalidRoutingKeyError):
            TokenCodec(keys_by_number={256: OLD}, current_number=256)
        with pytest.raises(TokenFieldError):
            make_token(agent=2**24)
