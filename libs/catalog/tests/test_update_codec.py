from __future__ import annotations

import zlib

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from msgspec.structs import replace

from laburnumbridge.catalog import CatalogUpdate
from laburnumbridge.catalog import MalformedUpdateError
from laburnumbridge.catalog import Revision
from laburnumbridge.catalog import Route
from laburnumbridge.catalog import RoutingConfiguration
from laburnumbridge.catalog import ServiceShare
from laburnumbridge.catalog import ServiceWarmUp
from laburnumbridge.catalog import UpdateDecoder
from laburnumbridge.catalog import UpstreamRemoval
from laburnumbridge.catalog import encode_update
from laburnumbridge.catalog.configuration_changes import apply_change
from laburnumbridge.catalog.configuration_changes import diff_configurations
from laburnumbridge.catalog.update_codec import COMPRESSED_FLAG
from laburnumbridge.catalog.update_codec import MAX_UPDATE_BYTES
from laburnumbridge.standins.flows.platform_data import make_entry


def at(number: int, *, era: int = 1) -> Revision:
    return Revision(era, number)


UPDATE = CatalogUpdate(
    revision=at(9),
    confirmed_age_ms=20,
    confirmed_by="0/a",
    entries=(
        replace(make_entry("10.0.0.1", slots=4, is_draining=True), name="up-1", revision=at(5)),
    ),
    removals=(UpstreamRemoval(name="up-2", revision=at(6)),),
    configuration=RoutingConfiguration(
        version=3,
        routes=(
            Route(
                name="r",
                address="198.18.0.1",
                port=443,
                shares=(ServiceShare(service="desk", weight=1),),
                is_retryable=True,
                is_transfer=False,
            ),
        )
        * 10,
        idle_timeout_ms=15_000,
    ),
)


class TestUpdateDecoder:
    @pytest.mark.parametrize("size", [1, 3, 7, 10_000])
    @pytest.mark.parametrize("compress", [False, True])
    def test_updates_are_decoded_from_chunks_of_any_size(self, size, compress):
        # Guards against updates that are lost or mixed at the boundary of two reads.
        data = encode_update(UPDATE, compress=compress) * 3
        decoder = UpdateDecoder()
        updates = []
        for start in range(0, len(data), size):
            updates += decoder.feed(data[start : start + size])
        assert updates == [UPDATE] * 3

    def test_only_long_updates_are_compressed(self):
        # Guards against processor time for heartbeats, which fit in one packet anyway.
        heartbeat = CatalogUpdate(revision=at(1), confirmed_age_ms=1)
        assert encode_update(heartbeat, compress=True) == encode_update(heartbeat)
        assert len(encode_update(UPDATE, compress=True)) < len(encode_update(UPDATE)) / 2

    @pytest.mark.parametrize(
        "body",
        [
            zlib.compress(bytes(MAX_UPDATE_BYTES + 1)),
            zlib.compress(bytes(5_000))[:-1],
            zlib.compress(b"\x80") + b"more",
            b"\x78\x01 is no deflated text",
            b"",
        ],
        ids=["too long", "truncated", "trailing bytes", "corrupt", "empty"],
    )
    def test_a_compressed_body_that_cant_be_inflated_is_refused(self, body):
        # Guards against a peer that fills the memory, and against a decoder that waits for more.
        prefix = (len(body) | COMPRESSED_FLAG).to_bytes(4, "big")
        with pytest.raises(MalformedUpdateError):
            UpdateDecoder().feed(prefix + body)

    def test_an_excessive_length_is_refused(self):
        # Guards against a decoder that waits for gigabytes.
        with pytest.raises(MalformedUpdateError):
            UpdateDecoder().feed(b"\xff\xff\xff\xff")

    @settings(derandomize=True, max_examples=200)
    @given(st.binary(max_size=60), st.sampled_from([0, COMPRESSED_FLAG]))
    def test_random_bytes_raise_the_typed_error_only(self, body, flag):
        # Guards against a process that exits on a peer's corrupt stream.
        try:
            UpdateDecoder().feed((len(body) | flag).to_bytes(4, "big") + body)
        except MalformedUpdateError:
            return


class TestConfigurationChanges:
    @pytest.mark.parametrize("services", [("desk",), ("desk", "archive"), ()])
    def test_a_change_carries_the_services(self, services):
        # Guards against a peer that ignores the upstreams of a service that was added.
        base = RoutingConfiguration(
            version=1, routes=(), idle_timeout_ms=1, services=("desk", "archive")
        )
        newer = replace(base, version=2, services=services)
        assert apply_change(base, diff_configurations(base, newer)) == newer

    def test_a_change_carries_the_warm_ups(self):
        # Guards against an agent that keeps the limit of an earlier configuration.
        base = RoutingConfiguration(version=1, routes=(), idle_timeout_ms=1)
        warm_up = ServiceWarmUp(service="desk", warm_up_s=2.0, openings_per_s=0.0)
        for warm_ups in ((warm_up,), ()):
            newer = replace(base, version=base.version + 1, warm_ups=warm_ups)
            assert apply_change(base, diff_configurations(base, newer)) == newer
            base = newer
