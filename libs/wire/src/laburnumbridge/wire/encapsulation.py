"""Encapsulation of client datagrams between balancer and agent.

Layout: version (1 byte), kind (1), service number (2), length of the endpoint field (1), client
endpoint, and for a handoff the balancer's endpoint (same length), then an 8-byte SipHash-2-4 tag
over all of these, then the client's datagram. The datagram itself is protected by QUIC.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

import siphash24

from laburnumbridge.core import ServiceNumber
from laburnumbridge.wire.endpoint import Endpoint
from laburnumbridge.wire.errors import FrameFault
from laburnumbridge.wire.errors import FrameRejectedError
from laburnumbridge.wire.errors import InvalidLinkKeyError

LINK_KEY_BYTES = 16

_VERSION = 1
_FIXED_BYTES = 5
_TAG_BYTES = 8
_HEADER_CACHE_ENTRIES = 100_000


class FrameKind(IntEnum):
    """Direction of an encapsulated datagram."""

    TO_AGENT = 1
    TO_GUEST = 2
    HANDOFF = 3


@dataclass(frozen=True, slots=True)
class Frame:
    """A decoded frame; ``balancer`` is None except in a handoff between agents."""

    kind: FrameKind
    service_number: ServiceNumber
    client: Endpoint
    datagram: bytes
    balancer: Endpoint | None = None


class Encapsulation:
    """Encodes and decodes frames under one link key.

    Headers repeat for every packet of a flow, so both directions keep a bounded cache of them.
    """

    def __init__(self, *, link_key: bytes) -> None:
        if len(link_key) != LINK_KEY_BYTES:
            raise InvalidLinkKeyError(length=len(link_key), wanted=LINK_KEY_BYTES)
        self._key = link_key
        self._header_by_fields: dict[tuple[int, int, Endpoint, Endpoint | None], bytes] = {}
        self._fields_by_header: dict[
            bytes, tuple[FrameKind, ServiceNumber, Endpoint, Endpoint | None]
        ] = {}

    def header(
        self,
        kind: FrameKind,
        service_number: ServiceNumber,
        client: Endpoint,
        balancer: Endpoint | None = None,
    ) -> bytes:
        """Return the bytes that go before the client's datagram."""
        fields = (kind, service_number, client, balancer)
        header = self._header_by_fields.get(fields)
        if header is None:
            header = self._build_header(kind, service_number, client, balancer)
            if len(self._header_by_fields) >= _HEADER_CACHE_ENTRIES:
                self._header_by_fields.clear()
            self._header_by_fields[fields] = header
        return header

    def encode(self, frame: Frame) -> bytes:
        """Return the frame's bytes."""
        header = self.header(frame.kind, frame.service_number, frame.client, frame.balancer)
        return header + frame.datagram

    def decode(self, data: bytes) -> Frame:
        """Return the frame in ``data``.

        Raises FrameRejectedError where it is malformed or its tag doesn't match.
        """
        if len(data) < _FIXED_BYTES:
            raise FrameRejectedError(fault=FrameFault.TRUNCATED)
        endpoints = 2 if data[1] == FrameKind.HANDOFF else 1
        end = _FIXED_BYTES + data[4] * endpoints + _TAG_BYTES
        if len(data) < end:
            raise FrameRejectedError(fault=FrameFault.TRUNCATED)
        header = data[:end]
        fields = self._fields_by_header.get(header)
        if fields is None:
            fields = self._parse_header(header)
            if len(self._fields_by_header) >= _HEADER_CACHE_ENTRIES:
                self._fields_by_header.clear()
            self._fields_by_header[header] = fields
        return Frame(fields[0], fields[1], fields[2], data[end:], fields[3])

    def _tag(self, data: bytes) -> bytes:
        digest: bytes = siphash24.siphash24(data, key=self._key).digest()
        return digest

    def _build_header(
        self,
        kind: FrameKind,
        service_number: ServiceNumber,
        client: Endpoint,
        balancer: Endpoint | None,
    ) -> bytes:
        packed = client.pack()
        fixed = bytes([_VERSION, kind]) + service_number.to_bytes(2, "big") + bytes([len(packed)])
        fields = fixed + packed + (balancer.pack() if balancer else b"")
        return fields + self._tag(fields)

    def _parse_header(
        self, header: bytes
    ) -> tuple[FrameKind, ServiceNumber, Endpoint, Endpoint | None]:
        fields = header[:-_TAG_BYTES]
        if fields[0] != _VERSION:
            raise FrameRejectedError(fault=FrameFault.UNKNOWN_VERSION)
        if self._tag(fields) != header[-_TAG_BYTES:]:
            raise FrameRejectedError(fault=FrameFault.BAD_TAG)
        try:
            kind = FrameKind(fields[1])
        except ValueError:
            raise FrameRejectedError(fault=FrameFault.UNKNOWN_KIND) from None
        endpoint_end = _FIXED_BYTES + fields[4]
        client = Endpoint.unpack(fields[_FIXED_BYTES:endpoint_end])
        balancer = Endpoint.unpack(fields[endpoint_end:]) if kind is FrameKind.HANDOFF else None
        return kind, ServiceNumber(int.from_bytes(fields[2:4], "big")), client, balancer
