from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from laburnumbridge.core import Incarnation
from laburnumbridge.core import ProcessId
from laburnumbridge.wire import DatagramFault
from laburnumbridge.wire import DatagramRejectedError
from laburnumbridge.wire import DatagramTooLargeError
from laburnumbridge.wire import SealedCodec
from laburnumbridge.wire import SealingKey
from laburnumbridge.wire.errors import InvalidSealingKeysError

OLD = SealingKey(1, bytes(range(32)), True)
NEW = SealingKey(2, bytes(range(32, 64)), True)
RECEIVER = ProcessId("b")


class Probe(msgspec.Struct, tag="probe", frozen=True):
    text: str


def make(name: str = "a", incarnation: int = 7, *keys: SealingKey, **more: int) -> SealedCodec:
    return SealedCodec(
        sender=ProcessId(name),
        incarnation=Incarnation(incarnation),
        keys=keys or (OLD,),
        message_type=Probe,
        **more,
    )


def fault_of(codec: SealedCodec, data: bytes) -> DatagramFault | None:
    try:
        codec.open(data)
    except DatagramRejectedError as error:
        return error.fault
    return None


class TestSealedCodec:
    def test_opened_message_names_its_sender(self) -> None:
        opened = make("b").open(make().seal(Probe("x"), receiver=RECEIVER))
        assert (opened.sender, opened.incarnation, opened.message) == ("a", 7, Probe("x"))

    @given(position=st.integers(0, 59), mask=st.integers(1, 255))
    @settings(derandomize=True, deadline=None)
    def test_changed_byte_is_rejected_and_changes_nothing(self, position: int, mask: int) -> None:
        # Guards against a header field that is left out of the authenticated data.
        data = make().seal(Probe("a" * 20), receiver=RECEIVER)
        receiver = make("b")
        forged = bytearray(data)
        forged[position % len(data)] ^= mask
        assert fault_of(receiver, bytes(forged)) is not None
        assert sum(receiver.rejected_by_fault.values()) == 1
        assert fault_of(receiver, data) is None

    @given(data=st.binary(max_size=1_500))
    @settings(derandomize=True, deadline=None)
    def test_random_bytes_are_rejected(self, data: bytes) -> None:
        assert fault_of(make("b"), data) is not None

    def test_every_truncation_and_excess_is_rejected(self) -> None:
        data = make().seal(Probe("x"), receiver=RECEIVER)
        receiver = make("b")
        assert all(fault_of(receiver, data[:end]) is not None for end in range(len(data)))
        assert fault_of(receiver, data + bytes(1_400)) is DatagramFault.OVERSIZE
        assert fault_of(receiver, data) is None

    def test_replay_is_rejected_in_any_order(self) -> None:
        sender, receiver = make(), make("b")
        sent = [sender.seal(Probe(str(n)), receiver=RECEIVER) for n in range(1_100)]
        assert fault_of(receiver, sent[1]) is None
        assert fault_of(receiver, sent[0]) is None
        assert fault_of(receiver, sent[0]) is DatagramFault.REPLAYED
        assert fault_of(receiver, sent[-1]) is None
        assert fault_of(receiver, sent[2]) is DatagramFault.BEHIND_WINDOW
        assert fault_of(receiver, sent[100]) is None
        assert fault_of(receiver, sent[100]) is DatagramFault.REPLAYED

    def test_replay_to_another_process_is_rejected(self) -> None:
        # Guards against a captured datagram that is replayed to a process that has not received it.
        assert fault_of(make("c"), make().seal(Probe("x"), receiver=RECEIVER)) is (
            DatagramFault.FORGED
        )

    def test_older_incarnation_is_rejected_after_a_newer_one(self) -> None:
        receiver = make("b")
        old = make("a", 7)
        first, second = (old.seal(Probe("x"), receiver=RECEIVER) for _ in range(2))
        assert fault_of(receiver, first) is None
        assert fault_of(receiver, make("a", 8).seal(Probe("y"), receiver=RECEIVER)) is None
        assert fault_of(receiver, second) is DatagramFault.OLD_INCARNATION

    def test_keys_rotate_without_loss(self) -> None:
        old_only = SealingKey(1, OLD.secret)
        sender, receiver = make(), make("b", 7, OLD, SealingKey(2, NEW.secret))
        assert fault_of(receiver, sender.seal(Probe("1"), receiver=RECEIVER)) is None
        sender.set_keys([old_only, NEW])
        rotated = sender.seal(Probe("2"), receiver=RECEIVER)
        assert fault_of(receiver, rotated) is None
        assert fault_of(receiver, rotated) is DatagramFault.REPLAYED
        receiver.set_keys([NEW])
        late = make("c", 7).seal(Probe("3"), receiver=RECEIVER)
        assert fault_of(receiver, late) is DatagramFault.UNKNOWN_KEY

    @pytest.mark.parametrize(
        "keys",
        [[], [OLD, NEW], [SealingKey(1, b"short", True)], [SealingKey(256, bytes(32), True)]],
    )
    def test_unusable_keys_keep_the_earlier_ones(self, keys: list[SealingKey]) -> None:
        codec = make()
        with pytest.raises(InvalidSealingKeysError):
            codec.set_keys(keys)
        assert fault_of(make("b"), codec.seal(Probe("x"), receiver=RECEIVER)) is None

    def test_authentic_message_of_another_type_is_malformed(self) -> None:
        class Other(msgspec.Struct, tag="other"):
            number: int

        data = make().seal(Other(1), receiver=RECEIVER)
        assert fault_of(make("b"), data) is DatagramFault.MALFORMED

    def test_memory_for_senders_is_bounded(self) -> None:
        receiver = make("b", 7, max_senders=4)
        for n in range(20):
            assert fault_of(receiver, make(f"s{n}").seal(Probe("x"), receiver=RECEIVER)) is None
        assert len(receiver._window_by_sender) == 4
        assert len(receiver._cipher_by_sender) == 4

    def test_message_beyond_the_limit_is_not_sealed(self) -> None:
        with pytest.raises(DatagramTooLargeError):
            make().seal(Probe("x" * 1_400), receiver=RECEIVER)

    def test_authentic_message_that_nests_deeply_is_malformed(self) -> None:
        # Guards against a RecursionError, which the receivers of datagrams don't expect.
        class Nested(msgspec.Struct, tag="probe"):
            note: msgspec.Raw

        data = make().seal(Nested(msgspec.Raw(b"\x91" * 1_100 + b"\xc0")), receiver=RECEIVER)
        assert fault_of(make("b"), data) is DatagramFault.MALFORMED
