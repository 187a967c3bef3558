from __future__ import annotations

from laburnumbridge.configuration import ValueDigest
from laburnumbridge.core import ProcessId
from laburnumbridge.runtime.published_lists.peer_versions import ASKED_AT_ONCE
from laburnumbridge.runtime.published_lists.peer_versions import PeerVersions

OWN = ProcessId("balancer-1")
PEERS = [ProcessId(f"agent-{number}") for number in range(7)]


def plans(version: int) -> tuple[ValueDigest, ...]:
    return (ValueDigest("plans", version, b"", None, 0, 0.0),)


class TestPeerVersions:
    def test_newer_version_of_a_peer_must_come_into_force_first(self) -> None:
        # Guards P8: a process that started with the answer of a stale platform must not serve.
        told = PeerVersions(own=OWN)
        told.heard(PEERS[0], plans(3))
        told.heard(PEERS[1], plans(2))
        assert not told.suffice(peers=len(PEERS), versions={"plans": 2})
        assert told.suffice(peers=len(PEERS), versions={"plans": 3})

    def test_one_peer_or_one_that_knows_nothing_is_not_enough(self) -> None:
        # Guards against the answer of a peer that has itself just started.
        told = PeerVersions(own=OWN)
        told.heard(PEERS[0], plans(2))
        told.heard(PEERS[1], plans(0))
        assert not told.suffice(peers=len(PEERS), versions={"plans": 2})
        assert told.suffice(peers=1, versions={"plans": 2})

    def test_every_peer_is_asked_in_turn(self) -> None:
        # Guards against a process that asks the same dead peers again and again.
        told = PeerVersions(own=OWN)
        asked = [told.next_peers(PEERS) for _ in range(3)]
        assert {len(peers) for peers in asked} == {ASKED_AT_ONCE}
        assert set().union(*asked) == set(PEERS)
        assert told.next_peers([]) == []

    def test_process_without_peers_does_not_wait(self) -> None:
        # Guards against a first process that waits for nobody.
        assert PeerVersions(own=OWN).suffice(peers=0, versions={"plans": 1})
