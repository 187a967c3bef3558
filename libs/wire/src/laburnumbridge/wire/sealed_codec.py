"""Control datagrams sealed with AES-GCM.

Layout: version (1 byte), key number (1), incarnation (4), salt (4), counter (8), length of the
sender (1), sender (UTF-8), ciphertext, 16-byte tag. The header and the receiver's identifier are
authenticated but not encrypted, so a datagram can't be replayed to another process.

Each sender and incarnation has its own AES key, derived by HKDF-SHA256 from the shared secret.
The nonce is the salt, drawn at start, with the counter: it stays unique without coordination, also
when a process restarts within the second that its incarnation stands for.
"""

from __future__ import annotations

import os
import struct
from collections import Counter
from collections import OrderedDict
from typing import TYPE_CHECKING
from typing import Any
from typing import Generic
from typing import TypeVar

import msgspec
from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.kdf.hkdf import HKDF

from laburnumbridge.core import Incarnation
from laburnumbridge.core import ProcessId
from laburnumbridge.wire.datagram_fault import DatagramFault
from laburnumbridge.wire.errors import DatagramRejectedError
from laburnumbridge.wire.errors import DatagramTooLargeError
from laburnumbridge.wire.errors import InvalidSealingKeysError
from laburnumbridge.wire.errors import InvalidSenderError
from laburnumbridge.wire.opened_datagram import OpenedDatagram
from laburnumbridge.wire.replay_window import ReplayWindow

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from laburnumbridge.wire.sealing_key import SealingKey

M = TypeVar("M")

SEALING_KEY_BYTES = 32
MAX_SENDER_BYTES = 64
MAX_KEY_NUMBER = 255
# A datagram fits into one Ethernet frame, so no message is lost with one of its fragments.
MAX_DATAGRAM_BYTES = 1_400
# More than the 9,280 processes of the full size, with room for those replaced within days.
MAX_SENDERS = 16_384

_VERSION = 1
_HEADER = struct.Struct(">BBI4sQB")
_SALT_BYTES = 4
_TAG_BYTES = 16
_AES_KEY_BYTES = 32


class SealedCodec(Generic[M]):
    """Seals messages of one process and opens those of others.

    ``message_type`` is what ``msgspec`` decodes: a Struct or a union of tagged Structs. No state
    is kept for a sender before one of its datagrams is authenticated.
    """

    def __init__(
        self,
        *,
        sender: ProcessId,
        incarnation: Incarnation,
        keys: Iterable[SealingKey],
        message_type: Any,
        max_senders: int = MAX_SENDERS,
    ) -> None:
        self._sender = _pack_sender(sender)
        self._incarnation = incarnation
        self._salt = os.urandom(_SALT_BYTES)
        self._counter = 0
        self._max_senders = max_senders
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[M] = msgspec.msgpack.Decoder(message_type)
        self._rejected: Counter[DatagramFault] = Counter()
        self._window_by_sender: OrderedDict[bytes, ReplayWindow] = OrderedDict()
        self._cipher_by_sender: OrderedDict[tuple[int, bytes, int], AESGCM] = OrderedDict()
        self.set_keys(keys)

    @property
    def rejected_by_fault(self) -> Mapping[DatagramFault, int]:
        """How many datagrams were rejected, by fault."""
        return self._rejected

    def set_keys(self, keys: Iterable[SealingKey]) -> None:
        """Replace the keys; replay windows and the send counter are kept.

        Raises InvalidSealingKeysError and keeps the earlier keys where the new ones are unusable.
        """
        listed = list(keys)
        key_by_number = {key.number: key for key in listed}
        current = [key for key in listed if key.current]
        usable = all(
            len(key.secret) == SEALING_KEY_BYTES and 0 <= key.number <= MAX_KEY_NUMBER
            for key in listed
        )
        if len(current) != 1 or len(key_by_number) != len(listed) or not usable:
            numbers = tuple(key.number for key in listed)
            raise InvalidSealingKeysError(numbers=numbers, current=len(current))
        self._key_by_number = key_by_number
        self._current = current[0]
        self._cipher_by_sender.clear()
        self._own_cipher = _derive(self._current, self._sender, self._incarnation)

    def seal(self, message: M, *, receiver: ProcessId) -> bytes:
        """Return the datagram that carries ``message`` to ``receiver``.

        Raises DatagramTooLargeError where it would exceed ``MAX_DATAGRAM_BYTES``.
        """
        plain = self._encoder.encode(message)
        size = _HEADER.size + len(self._sender) + len(plain) + _TAG_BYTES
        if size > MAX_DATAGRAM_BYTES:
            raise DatagramTooLargeError(size=size, limit=MAX_DATAGRAM_BYTES)
        self._counter += 1
        header = _HEADER.pack(
            _VERSION,
            self._current.number,
            self._incarnation,
            self._salt,
            self._counter,
            len(self._sender),
        )
        header += self._sender
        nonce = self._salt + self._counter.to_bytes(8, "big")
        return header + self._own_cipher.encrypt(nonce, plain, header + receiver.encode())

    def open(self, data: bytes) -> OpenedDatagram[M]:
        """Return the message in ``data`` with its sender.

        Raises DatagramRejectedError, and counts the fault, where the datagram is malformed, not
        authentic, addressed to another process, or not fresh.
        """
        try:
            return self._open(data)
        except DatagramRejectedError as error:
            self._rejected[error.fault] += 1
            raise

    def _open(self, data: bytes) -> OpenedDatagram[M]:
        if len(data) > MAX_DATAGRAM_BYTES:
            raise DatagramRejectedError(fault=DatagramFault.OVERSIZE)
        if len(data) < _HEADER.size:
            raise DatagramRejectedError(fault=DatagramFault.TRUNCATED)
        version, number, incarnation, salt, counter, length = _HEADER.unpack_from(data)
        if version != _VERSION:
            raise DatagramRejectedError(fault=DatagramFault.UNKNOWN_VERSION)
        end = _HEADER.size + length
        if len(data) < end + _TAG_BYTES:
            raise DatagramRejectedError(fault=DatagramFault.TRUNCATED)
        sender = data[_HEADER.size : end]
        window = self._window_by_sender.get(sender)
        self._check_fresh(window, incarnation, counter)
        cipher = self._cipher(number, sender, incarnation)
        plain = self._decrypt(cipher, salt + counter.to_bytes(8, "big"), data, end)
        self._record_counter(sender, window, incarnation, counter)
        self._cache_cipher((number, sender, incarnation), cipher)
        return self._decode(plain, sender, incarnation, counter)

    def _check_fresh(self, window: ReplayWindow | None, incarnation: int, counter: int) -> None:
        if window is None:
            return
        fault = window.fault(incarnation=incarnation, counter=counter)
        if fault is not None:
            raise DatagramRejectedError(fault=fault)

    def _cipher(self, number: int, sender: bytes, incarnation: int) -> AESGCM:
        key = self._key_by_number.get(number)
        if key is None:
            raise DatagramRejectedError(fault=DatagramFault.UNKNOWN_KEY)
        cached = self._cipher_by_sender.get((number, sender, incarnation))
        return cached or _derive(key, sender, incarnation)

    def _decrypt(self, cipher: AESGCM, nonce: bytes, data: bytes, end: int) -> bytes:
        try:
            return cipher.decrypt(nonce, data[end:], data[:end] + self._sender)
        except InvalidTag:
            raise DatagramRejectedError(fault=DatagramFault.FORGED) from None

    def _record_counter(
        self, sender: bytes, window: ReplayWindow | None, incarnation: int, counter: int
    ) -> None:
        if window is None:
            window = ReplayWindow(incarnation=incarnation)
            self._window_by_sender[sender] = window
        window.record(incarnation=incarnation, counter=counter)
        self._window_by_sender.move_to_end(sender)
        if len(self._window_by_sender) > self._max_senders:
            self._window_by_sender.popitem(last=False)

    def _cache_cipher(self, fields: tuple[int, bytes, int], cipher: AESGCM) -> None:
        self._cipher_by_sender[fields] = cipher
        self._cipher_by_sender.move_to_end(fields)
        if len(self._cipher_by_sender) > self._max_senders:
            self._cipher_by_sender.popitem(last=False)

    def _decode(
        self, plain: bytes, sender: bytes, incarnation: int, counter: int
    ) -> OpenedDatagram[M]:
        try:
            message = self._decoder.decode(plain)
            name = ProcessId(sender.decode())
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
            raise DatagramRejectedError(fault=DatagramFault.MALFORMED) from None
        return OpenedDatagram(name, Incarnation(incarnation), counter, message)


def _pack_sender(sender: ProcessId) -> bytes:
    packed = sender.encode()
    if not 0 < len(packed) <= MAX_SENDER_BYTES:
        raise InvalidSenderError(size=len(packed), limit=MAX_SENDER_BYTES)
    return packed


def _derive(key: SealingKey, sender: bytes, incarnation: int) -> AESGCM:
    info = b"laburnumbridge control v1\0" + incarnation.to_bytes(4, "big") + sender
    derived = HKDF(algorithm=SHA256(), length=_AES_KEY_BYTES, salt=None, info=info)
    return AESGCM(derived.derive(key.secret))
