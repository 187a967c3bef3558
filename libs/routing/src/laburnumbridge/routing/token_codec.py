"""Encodes routing tokens into connection IDs and back."""

from __future__ import annotations

import hmac
from hashlib import sha256
from typing import TYPE_CHECKING

from cryptography.hazmat.primitives.ciphers import Cipher
from cryptography.hazmat.primitives.ciphers import algorithms
from cryptography.hazmat.primitives.ciphers import modes

from laburnumbridge.core import AgentNumber
from laburnumbridge.core import Incarnation
from laburnumbridge.core import ServiceNumber
from laburnumbridge.routing.errors import InvalidRoutingKeyError
from laburnumbridge.routing.routing_token import RoutingToken

if TYPE_CHECKING:
    from collections.abc import Mapping

CONNECTION_ID_BYTES = 17
KEY_BYTES = 16
RESET_TOKEN_BYTES = 16
# Agent number (3 bytes), incarnation (4) and service number (2).
HOLDER_BYTES = 9

_CHECK_BYTES = 4
_CHECK = bytes(_CHECK_BYTES)
_KEY_NUMBER_LIMIT = 256


class TokenCodec:
    """Encodes with the current key and decodes with every key in force.

    A connection ID is one byte with the key number and one AES-128 block. The block ends in 32
    zero bits, which a forged ID matches with probability 2^-32. ECB is safe here because each
    block is a single, unique message: the nonce never repeats within an incarnation.
    """

    def __init__(self, *, keys_by_number: Mapping[int, bytes], current_number: int) -> None:
        for number, key in keys_by_number.items():
            if not 0 <= number < _KEY_NUMBER_LIMIT:
                raise InvalidRoutingKeyError(number=number, reason="number is not in 0..255")
            if len(key) != KEY_BYTES:
                raise InvalidRoutingKeyError(number=number, reason=f"key is not {KEY_BYTES} bytes")
        if current_number not in keys_by_number:
            raise InvalidRoutingKeyError(number=current_number, reason="current key is missing")
        self._keys_by_number = dict(keys_by_number)
        self._prefix = bytes([current_number])
        # An ECB context carries no state from block to block, so one context serves all calls;
        # building one costs ten times as much as a block.
        ciphers = {n: Cipher(algorithms.AES(k), modes.ECB()) for n, k in keys_by_number.items()}
        self._encrypt = ciphers[current_number].encryptor().update
        self._decrypt_by_number = {n: c.decryptor().update for n, c in ciphers.items()}

    def encode(self, token: RoutingToken) -> bytes:
        """Return the connection ID (17 bytes) that carries ``token``."""
        block = (
            token.agent_number.to_bytes(3, "big")
            + token.incarnation.to_bytes(4, "big")
            + token.service_number.to_bytes(2, "big")
            + token.nonce.to_bytes(3, "big")
            + _CHECK
        )
        return self._prefix + self._encrypt(block)

    def open(self, connection_id: bytes) -> bytes | None:
        """Return the decrypted fields of an ID, or None if no key in force made it.

        The first HOLDER_BYTES are the same for all flows of one agent incarnation.
        """
        if len(connection_id) != CONNECTION_ID_BYTES:
            return None
        decrypt = self._decrypt_by_number.get(connection_id[0])
        if decrypt is None:
            return None
        block = decrypt(connection_id[1:])
        return block if block.endswith(_CHECK) else None

    def decode(self, connection_id: bytes) -> RoutingToken | None:
        """Return the token of a connection ID, or None if no key in force made it."""
        block = self.open(connection_id)
        if block is None:
            return None
        return RoutingToken(
            agent_number=AgentNumber(int.from_bytes(block[0:3], "big")),
            incarnation=Incarnation(int.from_bytes(block[3:7], "big")),
            service_number=ServiceNumber(int.from_bytes(block[7:9], "big")),
            nonce=int.from_bytes(block[9:12], "big"),
        )

    def reset_token(self, connection_id: bytes) -> bytes:
        """Return the stateless reset token (16 bytes, RFC 9000 section 10.3) of an ID.

        It derives from the key that the ID names, so any holder of the keys can reset a flow
        whose agent is gone. The result for an ID with an unknown key number is that of the
        current key.
        """
        number = connection_id[0] if connection_id else self._prefix[0]
        key = self._keys_by_number.get(number, self._keys_by_number[self._prefix[0]])
        return hmac.digest(key, b"stateless reset" + connection_id, sha256)[:RESET_TOKEN_BYTES]
