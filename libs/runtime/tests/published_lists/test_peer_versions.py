from __future__ import annotations

from laburnumbridge.configuration import ValueDigest
from laburnumbridge.core import ProcessId
from laburnumbridge.runtime.published_lists.peer_versions import PEERS_PER_ROUND
from laburnumbridge.runtime.published_lists.peer_versions import PeerVersions

OWN = ProcessId("balancer-1")
PEERS = [ProcessId(f"agent-{number}") for number in range(7)]


def plans(version: int) -> tuple[ValueDigest, ...]:
    return (ValueDigest("plans", version, b"", None, 0, 0.0),)


class TestPeerVersions:
    def test_newer_version_of_a_peer_must_come_into_force_first(self) -> None:
        # Guards P8 against a process that serves with the outdated values of a stale platform.
        peer_versions = PeerVersions(own=OWN)
        peer_versions.record(PEERS[0], plans(3))
        peer_versions.record(PEERS[1], plans(2))
        assert not peer_versions.are_sufficient(peers=len(PEERS), versions={"plans": 2})
        assert peer_versions.are_sufficient(peers=len(PEERS), versions={"plans": 3})

    def test_one_peer_with_values_is_not_enough_where_there_are_several(self) -> None:
        # Guards against relying on a peer that has itself just started.
        peer_versions = PeerVersions(own=OWN)
        peer_versions.record(PEERS[0], plans(2))
        peer_versions.record(PEERS[1], plans(0))
        assert not peer_versions.are_sufficient(peers=len(PEERS), versions={"plans": 2})
        assert peer_versions.are_sufficient(peers=1, versions={"plans": 2})

    def test_every_peer_is_queried_in_turn(self) -> None:
        # Guards against a process that queries the same unavailable peers again and again.
        peer_versions = PeerVersions(own=OWN)
        rounds = [peer_versions.next_peers(PEERS) for _ in range(3)]
        assert {len(peers) for peers in rounds} == {PEERS_PER_ROUND}
        assert set().union(*rounds) == set(PEERS)
        assert peer_versions.next_peers([]) == []

    def test_process_without_peers_does_not_wait(self) -> None:
        # Guards against the first process of a fleet waiting for peers that don't exist.
        assert PeerVersions(own=OWN).are_sufficient(peers=0, versions={"plans": 1})
