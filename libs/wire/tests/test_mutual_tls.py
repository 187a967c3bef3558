from __future__ import annotations

import asyncio
import datetime
from typing import TYPE_CHECKING

import grpc
import grpc.aio
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from laburnumbridge.wire import Certificates
from laburnumbridge.wire import CertificateSource
from laburnumbridge.wire import ChannelPool
from laburnumbridge.wire import Endpoint
from laburnumbridge.wire import FileCertificateSource
from laburnumbridge.wire import ServerCertificates
from laburnumbridge.wire import control_pb2
from laburnumbridge.wire import control_pb2_grpc
from laburnumbridge.wire.errors import CertificateUnreadableError
from laburnumbridge.wire.errors import InvalidCertificateError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path


def pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)


class Authority:
    def __init__(self) -> None:
        self._key = ec.generate_private_key(ec.SECP256R1())
        self.certificate = self._sign(self._key, "authority", True)

    def _sign(self, key: ec.EllipticCurvePrivateKey, name: str, ca: bool) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        builder = x509.CertificateBuilder(
            issuer_name=x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "authority")]),
            subject_name=x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)]),
            public_key=key.public_key(),
            serial_number=x509.random_serial_number(),
            not_valid_before=now - datetime.timedelta(days=1),
            not_valid_after=now + datetime.timedelta(days=1),
        )
        builder = builder.add_extension(x509.BasicConstraints(ca, None), critical=True)
        builder = builder.add_extension(x509.SubjectAlternativeName([x509.DNSName(name)]), False)
        return builder.sign(self._key, hashes.SHA256())

    def issue(self, name: str = "laburnumbridge") -> Certificates:
        key = ec.generate_private_key(ec.SECP256R1())
        private = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        return Certificates(pem(self.certificate), pem(self._sign(key, name, False)), private)


class FakeCertificateSource(CertificateSource):
    def __init__(self, certificates: Certificates) -> None:
        self.certificates: Certificates | None = certificates

    def load(self) -> Certificates:
        if self.certificates is None:
            raise CertificateUnreadableError(path="key", cause="gone")
        return self.certificates


class FakeControl(control_pb2_grpc.ControlServicer):
    def __init__(self) -> None:
        self.payloads: list[bytes] = []
        self.started = asyncio.Event()
        self.released = asyncio.Event()

    async def Explain(self, request, context):  # noqa: N802
        self.payloads.append(request.subject.encode())
        if request.subject == "slow":
            self.started.set()
            await self.released.wait()
        return control_pb2.JsonResponse(json=request.subject.encode())


class Link:
    def __init__(self) -> None:
        self.authority = Authority()
        self.source = FakeCertificateSource(self.authority.issue())
        self.certificates = ServerCertificates(source=self.source)
        self.control = FakeControl()
        self.server = grpc.aio.server()
        control_pb2_grpc.add_ControlServicer_to_server(self.control, self.server)
        port = self.server.add_secure_port("127.0.0.1:0", self.certificates.credentials())
        self.endpoint = Endpoint("127.0.0.1", port)

    async def call(self, pool: ChannelPool, payload: bytes = b"x") -> bytes:
        stub = control_pb2_grpc.ControlStub(pool.channel(self.endpoint))
        answer = await stub.Explain(control_pb2.ExplainRequest(subject=payload.decode()))
        return answer.json


@pytest.fixture
async def link() -> AsyncIterator[Link]:
    link = Link()
    await link.server.start()
    yield link
    await link.server.stop(None)


class TestMutualTls:
    async def test_peer_of_the_same_authority_is_served(self, link: Link) -> None:
        pool = ChannelPool(source=FakeCertificateSource(link.authority.issue()))
        assert await link.call(pool) == b"x"
        await pool.close()

    @pytest.mark.parametrize("trusting", [False, True])
    async def test_client_of_another_authority_is_rejected(
        self, link: Link, trusting: bool
    ) -> None:
        # ``trusting`` makes the client accept the server, so that only the server can refuse.
        foreign = Authority().issue()
        roots = link.source.certificates.authorities if trusting else foreign.authorities
        bad = Certificates(roots, foreign.chain, foreign.private_key)
        pool = ChannelPool(source=FakeCertificateSource(bad))
        with pytest.raises(grpc.aio.AioRpcError):
            await link.call(pool)
        assert link.control.payloads == []
        await pool.close()

    async def test_server_without_the_name_of_the_fleet_is_refused(self, link: Link) -> None:
        link.source.certificates = link.authority.issue("elsewhere")
        pool = ChannelPool(source=FakeCertificateSource(link.authority.issue()))
        with pytest.raises(grpc.aio.AioRpcError):
            await link.call(pool)
        assert link.control.payloads == []
        await pool.close()

    async def test_reload_keeps_the_call_in_progress_and_uses_the_new_authority(
        self, link: Link
    ) -> None:
        client_source = FakeCertificateSource(link.authority.issue())
        pool = ChannelPool(source=client_source)
        slow = asyncio.ensure_future(link.call(pool, b"slow"))
        await link.control.started.wait()
        successor = Authority()
        link.source.certificates = successor.issue()
        client_source.certificates = successor.issue()
        reload = asyncio.ensure_future(pool.reload())
        await asyncio.sleep(0)
        assert await link.call(pool, b"new") == b"new"
        assert link.certificates.reloads == 1
        link.control.released.set()
        assert await slow == b"slow"
        assert await reload is True
        await pool.close()

    async def test_failing_source_keeps_the_certificates_in_use(self, link: Link) -> None:
        client_source = FakeCertificateSource(link.authority.issue())
        pool = ChannelPool(source=client_source)
        link.source.certificates = None
        client_source.certificates = None
        assert await pool.reload() is False
        assert await link.call(pool) == b"x"
        assert (pool.failed_reloads, link.certificates.failed_reloads) == (1, 1)
        await pool.close()


class TestFileCertificateSource:
    def test_key_of_another_certificate_is_refused(self, tmp_path: Path) -> None:
        # Guards against a reload between the replacement of the chain and of its key.
        authority = Authority()
        first, second = authority.issue(), authority.issue()
        paths = [tmp_path / name for name in ("ca.pem", "chain.pem", "key.pem")]
        source = FileCertificateSource(authorities=paths[0], chain=paths[1], private_key=paths[2])
        with pytest.raises(CertificateUnreadableError):
            source.load()
        for path, data in zip(
            paths, (first.authorities, first.chain, second.private_key), strict=True
        ):
            path.write_bytes(data)
        with pytest.raises(InvalidCertificateError):
            source.load()
        paths[1].write_bytes(second.chain)
        assert source.load() == second
