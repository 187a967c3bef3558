from __future__ import annotations

import pytest

from laburnumbridge.configuration import ActivateValue
from laburnumbridge.configuration import CandidateValidated
from laburnumbridge.configuration import ConfigurationRelay
from laburnumbridge.configuration import Member
from laburnumbridge.configuration import MembersChanged
from laburnumbridge.configuration import PeerDigest
from laburnumbridge.configuration import PeerRequest
from laburnumbridge.configuration import PeerValue
from laburnumbridge.configuration import PlatformAnswer
from laburnumbridge.configuration import PlatformNotModified
from laburnumbridge.configuration import ReadPlatform
from laburnumbridge.configuration import ReportConflict
from laburnumbridge.configuration import RequestValue
from laburnumbridge.configuration import SendDigest
from laburnumbridge.configuration import SendValue
from laburnumbridge.configuration import StartServing
from laburnumbridge.configuration import Tick
from laburnumbridge.configuration import ValidateCandidate
from laburnumbridge.configuration import ValueDigest
from laburnumbridge.configuration import ValueDocument
from laburnumbridge.configuration.errors import UnknownValueError
from laburnumbridge.configuration.value_document import digest_of
from laburnumbridge.core import FailureDomain
from laburnumbridge.core import Incarnation
from laburnumbridge.core import ProcessId

PEER = ProcessId("peer")


def value(version: int, content: str = "") -> bytes:
    client_accounts = [{"name": f"g{n}", "plan": "a"} for n in range(50)]
    client_accounts[version % 50]["plan"] = f"b{version}{content}"
    return ValueDocument.parse(
        b'{"guests":%s}' % str(client_accounts).replace("'", '"').encode()
    ).encode()


def digest(version: int, content: str = "") -> ValueDigest:
    return ValueDigest("guests", version, digest_of(value(version, content)), PEER, version, 0.0)


class Driver:
    def __init__(self, *, invalid: tuple[int, ...] = ()) -> None:
        self.relay = ConfigurationRelay(
            process=ProcessId("own"),
            incarnation=Incarnation(1),
            failure_domain=FailureDomain("d"),
            seed=1,
            names=("guests",),
        )
        self.invalid = invalid
        members = (Member(ProcessId("own"), FailureDomain("d")), Member(PEER, FailureDomain("d")))
        self.send(MembersChanged(members), 0.0)

    def send(self, event, now=1.0):
        actions = self.relay.handle(event, now)
        for action in list(actions):
            if isinstance(action, ValidateCandidate):
                valid = action.version not in self.invalid
                result = CandidateValidated(action.name, action.version, action.digest, valid)
                actions += self.send(result, now)
        return actions

    def platform(self, version, content="", now=1.0):
        return self.send(PlatformAnswer("guests", version, value(version, content)), now)

    def announce(self, announced, now=1.0):
        return self.send(PeerDigest(PEER, (announced,)), now)


def of_type(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


class TestConfigurationRelay:
    def test_older_answers_are_counted_and_ignored(self) -> None:
        # Guards against a stale platform or peer that restores an earlier list (P8).
        driver = Driver()
        driver.platform(5)
        assert of_type(driver.platform(4), ActivateValue) == []
        late = PeerValue(PEER, "guests", 3, digest_of(value(3)), value(3))
        assert of_type(driver.send(late), ActivateValue) == []
        counters = driver.relay.counters
        assert (counters.stale_platform_answers, counters.stale_peer_values) == (1, 1)
        assert driver.relay.version("guests") == 5

    def test_ignored_answer_delays_the_next_read(self) -> None:
        # Guards against a busy loop if the platform answers every watch with an old version.
        driver = Driver()
        driver.platform(5)
        reads = 0
        for step in range(400):
            now = 2.0 + step * 0.1
            for _ in of_type(driver.send(Tick(), now), ReadPlatform):
                reads += 1
                driver.platform(4, now=now)
        assert reads <= 15

    @pytest.mark.parametrize("from_peer", [False, True])
    def test_other_content_under_the_same_version_is_a_conflict(self, from_peer: bool) -> None:
        driver = Driver()
        driver.platform(5)
        actions = driver.announce(digest(5, "x")) if from_peer else driver.platform(5, "x")
        assert [c.source for c in of_type(actions, ReportConflict)] == [PEER if from_peer else None]
        assert driver.relay.counters.conflicts == 1
        assert of_type(actions, (ActivateValue, RequestValue)) == []

    def test_invalid_version_is_neither_announced_nor_read_again(self) -> None:
        driver = Driver(invalid=(6,))
        driver.platform(5)
        assert of_type(driver.platform(6), ActivateValue) == []
        assert of_type(driver.announce(digest(6)), RequestValue) == []
        sent = []
        for step in range(100):
            now = 2.0 + step / 4
            sent += driver.send(Tick(), now)
            driver.send(PlatformNotModified("guests"), now)
        assert {read.after for read in of_type(sent, ReadPlatform)} == {6}
        assert {d.digests[0].version for d in of_type(sent, SendDigest)} == {5}
        assert of_type(driver.platform(7, now=30.0), ActivateValue) != []

    def test_invalid_number_from_a_peer_does_not_hide_the_platform(self) -> None:
        # Guards against an invalid version with a high number from a peer that hides later versions
        # of the platform.
        driver = Driver(invalid=(900,))
        driver.platform(5)
        driver.announce(digest(900))
        driver.send(PeerValue(PEER, "guests", 900, digest_of(value(900)), value(900)))
        driver.send(PlatformNotModified("guests"))
        reads = [
            r for n in range(80) for r in of_type(driver.send(Tick(), 2 + n / 4), ReadPlatform)
        ]
        assert {read.after for read in reads} == {5}

    def test_delta_mismatch_requests_the_whole_value(self) -> None:
        sender, receiver = Driver(), Driver()
        for driver in (sender, receiver):
            driver.platform(1)
        sender.platform(2)
        sender.platform(3)
        sent = of_type(sender.send(PeerRequest(PEER, "guests", 1)), SendValue)[0]
        assert sent.payload is None
        forged = PeerValue(PEER, "guests", 3, b"x" * 16, None, sent.deltas)
        assert [r.base_version for r in of_type(receiver.send(forged), RequestValue)] == [0]
        genuine = PeerValue(PEER, "guests", 3, sent.digest, None, sent.deltas)
        assert of_type(receiver.send(genuine), ActivateValue)[0].payload == value(3)

    def test_delta_from_an_earlier_base_applies_to_a_version_that_the_sender_skipped(self) -> None:
        # Guards against whole values that are sent in a burst because processes skip different
        # versions.
        sender, receiver = Driver(), Driver()
        sender.send(PlatformAnswer("guests", 1, b'{"guests":[]}'))
        receiver.send(PlatformAnswer("guests", 2, b'{"guests":[{"name":"a"}]}'))
        sender.send(PlatformAnswer("guests", 3, b'{"guests":[{"name":"a"},{"name":"b"}]}'))
        sent = of_type(sender.send(PeerRequest(PEER, "guests", 2)), SendValue)[0]
        got = PeerValue(PEER, "guests", 3, sent.digest, sent.payload, sent.deltas)
        assert of_type(receiver.send(got), ActivateValue) != []
        assert receiver.relay.counters.delta_mismatches == 0

    def test_start_takes_the_higher_of_peer_and_platform(self) -> None:
        driver = Driver()
        driver.announce(digest(7))
        actions = driver.platform(6)
        assert of_type(actions, StartServing) == []
        whole = PeerValue(PEER, "guests", 7, digest_of(value(7)), value(7))
        assert of_type(driver.send(whole), StartServing) != []
        assert driver.relay.version("guests") == 7

    def test_start_without_the_platform_waits_a_bounded_time(self) -> None:
        driver = Driver()
        old = ValueDigest("guests", 7, digest_of(value(7)), PEER, 1, heard_s=3_600.0)
        driver.announce(old)
        whole = PeerValue(PEER, "guests", 7, digest_of(value(7)), value(7))
        assert of_type(driver.send(whole, 1.0), StartServing) == []
        assert of_type(driver.send(Tick(), 10.9), StartServing) == []
        assert of_type(driver.send(Tick(), 11.1), StartServing) != []

    def test_start_without_platform_and_peers_retries_and_does_not_serve(self) -> None:
        driver = Driver()
        late = [a for n in range(400) for a in driver.send(Tick(), 100 + n / 4)]
        assert not driver.relay.serving
        assert len(of_type(late, ReadPlatform)) >= 5
        assert len(of_type(late, SendDigest)) >= 50

    def test_confirmation_of_a_newer_version_does_not_confirm_the_one_in_force(self) -> None:
        # Guards against a process that is behind but doesn't read, and keeps others from reading.
        driver = Driver()
        driver.platform(1, now=1.0)
        request = PeerDigest(PEER, (digest(2),), reply_wanted=True)
        reply = of_type(driver.send(request, 20.0), SendDigest)[0].digests[0]
        assert (reply.version, reply.confirmed_by) == (1, "own")
        driver.send(PeerValue(PEER, "guests", 2, digest_of(value(2)), value(2)), 20.6)
        reply = of_type(driver.send(request, 21.0), SendDigest)[0].digests[0]
        assert (reply.version, reply.confirmed_by) == (2, PEER)

    def test_unknown_value_is_a_typed_error(self) -> None:
        with pytest.raises(UnknownValueError):
            Driver().send(PlatformNotModified("other"))


class TestComparisonBeforeServing:
    """A stale platform may answer every read before any peer answers."""

    OTHERS = tuple(ProcessId(f"peer-{number}") for number in range(7))

    def start(self) -> Driver:
        driver = Driver()
        own = Member(ProcessId("own"), FailureDomain("d"))
        others = tuple(Member(name, FailureDomain("d")) for name in self.OTHERS)
        driver.send(MembersChanged((own, *others)), 0.0)
        driver.platform(2)
        return driver

    def announce(self, driver: Driver, peer: ProcessId, version: int):
        announced = digest(version) if version else ValueDigest("guests", 0, b"")
        return driver.send(PeerDigest(peer, (announced,)))

    def test_newer_version_of_a_peer_comes_into_force_before_serving(self) -> None:
        # Guards against a process that serves with the answer of a stale platform (P8).
        driver = self.start()
        actions = self.announce(driver, self.OTHERS[0], 3) + self.announce(
            driver, self.OTHERS[1], 2
        )
        assert of_type(actions + driver.send(Tick(), 1.5), StartServing) == []
        newer = PeerValue(self.OTHERS[0], "guests", 3, digest_of(value(3)), value(3))
        assert of_type(driver.send(newer, 1.6) + driver.send(Tick(), 1.7), StartServing) != []
        assert driver.relay.version("guests") == 3

    def test_one_peer_and_one_without_versions_are_not_enough(self) -> None:
        # Guards against a comparison with a peer that has itself just started.
        driver = self.start()
        actions = self.announce(driver, self.OTHERS[0], 2) + self.announce(
            driver, self.OTHERS[1], 0
        )
        assert of_type(actions + driver.send(Tick(), 1.5), StartServing) == []
        actions = self.announce(driver, self.OTHERS[2], 2)
        assert of_type(actions + driver.send(Tick(), 1.6), StartServing) != []

    def test_every_peer_receives_a_request_in_time(self) -> None:
        # Guards against a process that sends requests only to the same dead peers.
        driver = self.start()
        sent = [d for n in range(36) for d in of_type(driver.send(Tick(), n / 4), SendDigest)]
        assert {d.peer for d in sent if d.reply_wanted} == set(self.OTHERS)

    def test_process_without_peers_does_not_wait(self) -> None:
        # Guards against the first process of a fleet waiting for peers that don't exist.
        driver = Driver()
        driver.send(MembersChanged((Member(ProcessId("own"), FailureDomain("d")),)), 0.0)
        assert of_type(driver.platform(1) + driver.send(Tick(), 1.1), StartServing) != []
